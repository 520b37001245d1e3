package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/trace"
)

func init() { registerCommand(traceCommand) }

func traceCommand(c *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "pierctl trace REQUEST LOG...",
		ShortHelp:  "explains from the logs of instances how a request ended",
		LongHelp:   "Example:\n  pierctl trace 9c41d07be2a35f68 entry-*.log",
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return flag.ErrHelp
			}
			var logs []io.Reader
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return &exitError{exitUsage, err.Error()}
				}
				defer func() { _ = file.Close() }()
				logs = append(logs, file)
			}
			found, err := trace.Read(args[0], logs...)
			if err != nil {
				return err
			}
			found.Print(c.out)
			return nil
		},
	}
}
