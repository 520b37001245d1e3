package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/platform"
)

const platformHelp = `Serves callers on the users' platform, with the settings that it provides.

A SIGTERM begins a planned stop within the grace period of the settings.

Exit codes: 0 after a planned stop, 1 after a failure, 2 for wrong settings.`

// settingsVariable names the settings file where no flag does.
const settingsVariable = "CORIANDERPIER_SETTINGS"

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("corianderpier platform", flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(settingsVariable), "settings file; "+settingsVariable+" unless given")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "corianderpier platform [flags]", LongHelp: platformHelp, FlagSet: fs,
		ShortHelp: "serve on the users' platform",
		Exec:      func(ctx context.Context, _ []string) error { return servePlatform(ctx, *path) },
	}
}

func servePlatform(ctx context.Context, path string) error {
	settings, problems := platform.ReadSettings(path)
	if len(problems) > 0 {
		return mistakes(problems)
	}
	flush, err := logTo(os.Stdout, settings.Level, settings.Name)
	if err != nil {
		return err
	}
	defer flush()
	i := &platform.Instance{Settings: settings}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)
	defer stop()
	onTerm(i.Drain)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			slog.Info("settings changed", "path", path)
		}
	}()
	return i.Run(ctx)
}
