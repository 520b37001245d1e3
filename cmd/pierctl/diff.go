package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { registerCommand(diffCommand) }

func diffCommand(c *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "pierctl diff FILE",
		ShortHelp:  "shows how a file differs from the current configuration",
		LongHelp:   "Example:\n  pierctl diff config.json",
		Exec: func(ctx context.Context, files []string) error {
			if len(files) != 1 {
				return flag.ErrHelp
			}
			data, err := c.readConfig(files[0])
			if err != nil {
				return err
			}
			o, err := c.currentConfig(ctx)
			if err != nil {
				return err
			}
			c.printf("%s", unifiedDiff(fmt.Sprintf("version %d", o.Version), o.Value, files[0], data))
			return nil
		},
	}
}

// printStderr prints a line to standard error, so that standard output holds only the configuration.
func printStderr(format string, args ...any) error {
	_, err := fmt.Fprintf(os.Stderr, format+"\n", args...)
	return err
}
