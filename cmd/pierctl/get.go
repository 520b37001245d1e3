package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { registerCommand(getCommand) }

func getCommand(c *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "pierctl get",
		ShortHelp:  "prints the configuration, and its version on standard error",
		LongHelp:   "Example:\n  pierctl get > config.json",
		Exec: func(ctx context.Context, _ []string) error {
			o, err := c.currentConfig(ctx)
			if err != nil {
				return err
			}
			if o.Version == 0 {
				return &exitError{exitFailed, "no configuration yet"}
			}
			c.printf("%s", canonicalJSON(o.Value))
			return printStderr("version %d", o.Version)
		},
	}
}
