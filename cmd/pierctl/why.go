package main

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/entry"
)

func init() { registerCommand(whyCommand) }

func whyCommand(c *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "why",
		ShortUsage: "pierctl why CUSTOMER KEY",
		ShortHelp:  "explains the state of a call with an idempotency key",
		LongHelp:   "Example:\n  pierctl why importer hold-4711",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return flag.ErrHelp
			}
			instances, err := c.listInstances(ctx)
			if err != nil {
				return err
			}
			query := url.Values{"customer": {args[0]}, "key": {args[1]}}
			last := error(&exitError{exitFailed, "no instance is registered"})
			for _, i := range instances {
				var w entry.OperationStatus
				if last = c.callAdmin(ctx, http.MethodGet, i, "/why", query, &w); last == nil {
					c.printf("%s\n", explainOperation(w))
					return nil
				}
			}
			return last
		},
	}
}

// explainOperation describes an operation's state and whether it ran, in one line.
func explainOperation(w entry.OperationStatus) string {
	switch {
	case !w.Found:
		return "not in the log: it has not run, or its outcome is older than the retention period"
	case w.State == "done":
		return "done: attempt " + w.Attempt + " ran on " + w.Target
	case w.State == "sent":
		return "sent: attempt " + w.Attempt + " is running"
	default:
		return w.State + ": attempt " + w.Attempt + " may have run; it will not run again"
	}
}
