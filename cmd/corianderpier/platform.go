package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/platform"
)

const platformHelp = `Serves callers on the users' platform, with the settings that it provides.

A SIGTERM begins a planned stop within the grace period of the settings.

Exit codes: 0 after a planned stop, 1 after a failure, 2 for wrong settings.`

// reloadPeriod is the time between looks at the settings file.
const reloadPeriod = 2 * time.Second

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
	flush, err := logTo(os.Stdout, settings.LogLevel, settings.Name)
	if err != nil {
		return err
	}
	defer flush()
	i := &platform.Instance{Settings: settings}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)
	defer stop()
	onTerm(i.Drain)
	go reload(ctx, i, path)
	return i.Run(ctx)
}

// reload takes the settings into use when a SIGHUP comes or the file has changed.
func reload(ctx context.Context, i *platform.Instance, path string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	read := changed(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if at := changed(path); at.Equal(read) {
				continue
			}
		}
		read = changed(path)
		settings, problems := platform.ReadSettings(path)
		if len(problems) > 0 {
			slog.Error("changed settings refused", "path", path, "problem", problems[0].String())
			continue
		}
		i.Reload(settings)
	}
}

// changed returns when a file was last written, or the zero time if that cannot be told.
func changed(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		slog.Warn("settings file not found", "path", path, "error", err.Error())
		return time.Time{}
	}
	return info.ModTime()
}
