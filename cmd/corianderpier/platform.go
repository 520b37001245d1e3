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

// settingsPollInterval is the time between looks at the settings file.
const settingsPollInterval = 2 * time.Second

// settingsEnvVar names the settings file where no flag does.
const settingsEnvVar = "CORIANDERPIER_SETTINGS"

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("corianderpier platform", flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(settingsEnvVar), "settings file; "+settingsEnvVar+" unless given")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "corianderpier platform [flags]", LongHelp: platformHelp, FlagSet: fs,
		ShortHelp: "serve on the users' platform",
		Exec:      func(ctx context.Context, _ []string) error { return servePlatform(ctx, *path) },
	}
}

func servePlatform(ctx context.Context, path string) error {
	settings, problems := platform.ReadSettings(path)
	if len(problems) > 0 {
		return settingsError(problems)
	}
	flush, err := startLogging(os.Stdout, settings.Level, settings.Name)
	if err != nil {
		return err
	}
	defer flush()
	instance := &platform.Instance{Settings: settings}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)
	defer stop()
	onSIGTERM(instance.Drain)
	go reload(ctx, instance, path)
	return instance.Run(ctx)
}

// reload takes the settings into use when a SIGHUP comes or the file has changed.
func reload(ctx context.Context, instance *platform.Instance, path string) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if at := modTime(path); at.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		settings, problems := platform.ReadSettings(path)
		if len(problems) > 0 {
			slog.Error("changed settings refused", "path", path, "problem", problems[0].String())
			continue
		}
		instance.Reload(settings)
	}
}

// modTime returns when a file was last written, or the zero time if that cannot be told.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		slog.Warn("settings file not found", "path", path, "error", err.Error())
		return time.Time{}
	}
	return info.ModTime()
}
