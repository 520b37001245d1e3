package main

import (
	"context"
	"text/tabwriter"

	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/member"
)

func init() { register(statusCommand) }

func statusCommand(env *environment) *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "pierctl status",
		ShortHelp:  "lists the entry instances and what they have in force",
		LongHelp:   "Example:\n  pierctl status",
		Exec: func(ctx context.Context, _ []string) error {
			instances, err := env.instances(ctx)
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(env.out, 0, 4, 2, ' ', 0)
			_, _ = fmt.Fprintln(table, "INSTANCE\tZONE\tSTATE\tCONFIG\tTARGETS\tACTIVE\tSEES")
			for _, i := range instances {
				s, err := env.status(ctx, i)
				if err != nil {
					_, _ = fmt.Fprintf(table, "%s\t-\tno answer\t-\t-\t-\t-\n", i.Name)
					continue
				}
				state := "ready"
				switch {
				case s.Draining:
					state = "draining"
				case s.Isolated:
					state = "isolated"
				case !s.Ready:
					state = "not ready"
				}
				view := member.View{Members: s.Members}
				_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", s.Name, s.Zone, state, s.ConfigVersion, s.InstanceListVersion, s.ActiveRequests, len(view.Live()))
			}
			return table.Flush()
		},
	}
}
