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

// flushTimeout bounds how long the end of the program waits for a reader of its logs.
const flushTimeout = 200 * time.Millisecond

const help = `Serves callers and routes their requests to targets.

A SIGTERM begins a planned stop: callers are sent to other instances, admitted
requests are finished, then the program ends. A SIGINT ends it at once.

Each flag may also be given in the environment (PIER_NAME for -name) or in a
JSON file named by -settings.

Example:
  corianderpier -name entry-a -zone hobart-a -store http://127.0.0.1:7000 \
    -instances http://127.0.0.1:7001 -key "$KEY"

Exit codes: 0 after a planned stop, 1 after a failure, 2 for wrong settings.`

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

type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func serve(ctx context.Context, settings entry.Settings) error {
	if problems := settings.Check(); len(problems) > 0 {
		return mistakes(problems)
	}
	flush, err := logTo(os.Stderr, settings.LogLevel, settings.Name)
	if err != nil {
		return err
	}
	defer flush()
	e := &entry.Instance{Settings: settings}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)
	defer stop()
	onTerm(e.Drain)
	return e.Run(ctx)
}

func mistakes(problems []config.Problem) error {
	text := "corianderpier: the settings have mistakes"
	for _, p := range problems {
		text += "\n  " + p.String()
	}
	return usageError{text}
}

// logTo has structured logs written to a file; the function that it returns writes what is still queued.
func logTo(out *os.File, level, name string) (func(), error) {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		return nil, usageError{err.Error()}
	}
	queue := logs.NewQueue(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		queue.Run(ctx)
		close(done)
	}()
	slog.SetDefault(slog.New(logs.NewHandler(queue, parsed)).With("instance", name))
	return func() {
		cancel()
		select {
		case <-done:
		case <-time.After(flushTimeout): // nobody reads the output
		}
	}, nil
}

// onTerm calls a function when the process is asked to stop.
func onTerm(f func()) {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		<-term
		f()
	}()
}
