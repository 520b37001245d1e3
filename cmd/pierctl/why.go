package main

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/entry"
)

func init() { register(whyCommand) }

func whyCommand(env *environment) *ffcli.Command {
	return &ffcli.Command{
		Name:       "why",
		ShortUsage: "pierctl why CUSTOMER KEY",
		ShortHelp:  "tells what became of a call with an idempotency key",
		LongHelp:   "Example:\n  pierctl why importer hold-4711",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return flag.ErrHelp
			}
			instances, err := env.instances(ctx)
			if err != nil {
				return err
			}
			query := url.Values{"customer": {args[0]}, "key": {args[1]}}
			last := error(&exitError{exitFailed, "no instance is registered"})
			for _, i := range instances {
				var w entry.OperationStatus
				if last = env.ask(ctx, http.MethodGet, i, "/why", query, &w); last == nil {
					env.printf("%s\n", explain(w))
					return nil
				}
			}
			return last
		},
	}
}

func explain(w entry.OperationStatus) string {
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
