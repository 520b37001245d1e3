package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/platform"
)

const platformHelp = `Serves callers on the users' platform, with the settings that it provides.

SIGTERM starts a graceful shutdown within the grace period of the settings.

Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.`

// settingsPollInterval is the time between checks whether the settings file has changed.
const settingsPollInterval = 2 * time.Second

// settingsEnvVar is the environment variable that holds the path of the settings file if no flag does.
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
	flush, err := startLogging(os.Stdout, settings.LogLevel, settings.Name)
	if err != nil {
		return err
	}
	defer flush()
	if settings.HasExampleKey() {
		slog.Warn("example cluster key in use, which everybody can read; make one by pierctl key", "setting", "key", "path", path)
	}
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	instance := &platform.Instance{Settings: settings}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)
	defer stop()
	onSIGTERM(instance.Drain)
	go reload(ctx, instance, path)
	return instance.Run(ctx)
}

// reload applies the settings file again after a SIGHUP or a change of the file, and keeps the present settings if the
// new ones are invalid.
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
			slog.Error("changed settings are invalid; keeping the present ones", "path", path, "problem", problems[0].String())
			continue
		}
		instance.Reload(settings)
	}
}

// modTime returns when a file was last modified, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		slog.Warn("cannot stat the settings file", "path", path, "error", err.Error())
		return time.Time{}
	}
	return info.ModTime()
}
