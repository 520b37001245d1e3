package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { registerCommand(checkCommand) }

func checkCommand(c *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "pierctl check FILE...",
		ShortHelp:  "reports every invalid value in configuration files",
		LongHelp:   "Example:\n  pierctl check examples/guild/config.json",
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return flag.ErrHelp
			}
			var last error
			for _, file := range files {
				if _, err := c.readConfig(file); err != nil {
					last = err
					continue
				}
				c.printf("%s: valid\n", file)
			}
			return last
		},
	}
}
