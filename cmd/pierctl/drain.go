package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { registerCommand(drainCommand) }

func drainCommand(c *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "pierctl drain INSTANCE",
		ShortHelp:  "starts the graceful shutdown of an entry instance",
		LongHelp:   "The instance sends callers to other instances, finishes admitted requests, and exits.\n\nExample:\n  pierctl drain entry-a",
		Exec: func(ctx context.Context, names []string) error {
			if len(names) != 1 {
				return flag.ErrHelp
			}
			instances, err := c.listInstances(ctx)
			if err != nil {
				return err
			}
			for _, i := range instances {
				if i.Name == names[0] {
					return c.callAdmin(ctx, http.MethodPost, i, "/drain", nil, nil)
				}
			}
			return &exitError{exitUsage, "no instance named " + names[0] + " is registered"}
		},
	}
}
