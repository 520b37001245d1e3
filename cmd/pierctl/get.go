package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { registerCommand(getCommand) }

func getCommand(env *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "pierctl get",
		ShortHelp:  "prints the configuration, and its version on the error output",
		LongHelp:   "Example:\n  pierctl get > config.json",
		Exec: func(ctx context.Context, _ []string) error {
			o, err := env.currentConfig(ctx)
			if err != nil {
				return err
			}
			if o.Version == 0 {
				return &exitError{exitFailed, "no configuration yet"}
			}
			env.printf("%s", canonicalJSON(o.Value))
			return note("version %d", o.Version)
		},
	}
}
