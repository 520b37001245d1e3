package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/entry"
	"github.com/corianderpier/corianderpier/internal/logs"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// flushTimeout limits how long the program waits at its end for queued log lines to be written.
const flushTimeout = 200 * time.Millisecond

const help = `Serves callers and routes their requests to targets.

SIGTERM starts a graceful shutdown: callers are sent to other instances, admitted
requests are finished, then the program exits. SIGINT stops it at once.

Each flag may also be given in the environment (PIER_NAME for -name) or in a
JSON file named by -settings.

Example:
  corianderpier -name entry-a -zone hobart-a -store http://127.0.0.1:7000 \
    -instances http://127.0.0.1:7001 -key "$KEY"

Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.`

func main() {
	var settings entry.Settings
	fs := flag.NewFlagSet("corianderpier", flag.ContinueOnError)
	settings.RegisterFlags(fs)
	fs.String("settings", "", "JSON file with the flags of this program")
	command := &ffcli.Command{
		Name:        "corianderpier",
		ShortUsage:  "corianderpier [flags]",
		LongHelp:    help,
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{platformCommand()},
		Options: []ff.Option{
			ff.WithEnvVarPrefix("PIER"),
			ff.WithConfigFileFlag("settings"),
			ff.WithConfigFileParser(ff.JSONParser),
		},
		Exec: func(ctx context.Context, _ []string) error { return serve(ctx, settings) },
	}
	err := command.ParseAndRun(context.Background(), os.Args[1:])
	var usage usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "corianderpier:", err)
		os.Exit(exitFailed)
	}
}

// usageError is an error in the flags or settings; the program exits with exitUsage.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func serve(ctx context.Context, settings entry.Settings) error {
	if problems := settings.Check(); len(problems) > 0 {
		return settingsError(problems)
	}
	flush, err := startLogging(os.Stderr, settings.LogLevel, settings.Name)
	if err != nil {
		return err
	}
	defer flush()
	instance := &entry.Instance{Settings: settings}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)
	defer stop()
	onSIGTERM(instance.Drain)
	return instance.Run(ctx)
}

// settingsError lists all problems of the settings, one on each line.
func settingsError(problems []config.Problem) error {
	text := "corianderpier: invalid settings:"
	for _, p := range problems {
		text += "\n  " + p.String()
	}
	return usageError{text}
}

// startLogging makes slog write structured logs to out in the background. The returned function stops that, and waits up
// to flushTimeout until queued lines are written.
func startLogging(out *os.File, level, name string) (func(), error) {
	var logLevel slog.Level
	if err := logLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, usageError{err.Error()}
	}
	queue := logs.NewQueue(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		queue.Run(ctx)
		close(done)
	}()
	slog.SetDefault(slog.New(logs.NewHandler(queue, logLevel)).With("instance", name))
	return func() {
		cancel()
		select {
		case <-done:
		case <-time.After(flushTimeout): // the reader of the output has stopped reading
		}
	}, nil
}

// onSIGTERM calls f when the process receives its first SIGTERM.
func onSIGTERM(f func()) {
	sigterm := make(chan os.Signal, 1)
	signal.Notify(sigterm, syscall.SIGTERM)
	go func() {
		<-sigterm
		f()
	}()
}
