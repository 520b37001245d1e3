package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitFailed        = 1
	exitUsage         = 2
	exitInvalidConfig = 3 // the configuration is invalid
	exitConflict      = 4 // a concurrent change was stored first
	exitNotActive     = 5 // stored, but not activated by all instances in time
)

const help = `Checks and applies the configuration, and inspects and drains entry instances.

Each flag may also be given in the environment (PIER_STORE for -store) or in a
JSON file named by -settings.

Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid configuration,
4 another change came first, 5 applied but not yet active on all instances.`

// commandFunc returns a subcommand. Each file with a subcommand registers it.
type commandFunc func(*cli) *ffcli.Command

var commands []commandFunc

func registerCommand(c commandFunc) { commands = append(commands, c) }

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func main() {
	shared := &cli{out: os.Stdout}
	fs := flag.NewFlagSet("pierctl", flag.ContinueOnError)
	fs.StringVar(&shared.storeURL, "store", "http://127.0.0.1:7000", "URL of the object API")
	fs.String("settings", "", "JSON file with the flags of this program")
	root := &ffcli.Command{
		Name:       "pierctl",
		ShortUsage: "pierctl [flags] <command>",
		LongHelp:   help,
		FlagSet:    fs,
		Options: []ff.Option{
			ff.WithEnvVarPrefix("PIER"),
			ff.WithConfigFileFlag("settings"),
			ff.WithConfigFileParser(ff.JSONParser),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, c := range commands {
		root.Subcommands = append(root.Subcommands, c(shared))
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	var exit *exitError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.As(err, &exit):
		fmt.Fprintln(os.Stderr, "pierctl:", exit.text)
		os.Exit(exit.code)
	default:
		fmt.Fprintln(os.Stderr, "pierctl:", err)
		os.Exit(exitFailed)
	}
}
