package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/load"
)

const runHelp = `Arrivals are drawn from the seed before the run, so that the same flags give the
same arrivals. Customers are named customer-0, customer-1 and so on; each class
of prompt lengths has a profile.

Example:
  pierload run -entries 127.0.0.1:7070 -tokens 500000 -length 30s -json out.json -svg out.svg`

// runFlags holds the flags of the command run.
type runFlags struct {
	entryAddrs, shortProfile, mediumProfile, longProfile, reportFile, plotFile string
	shape                                                                      load.Workload
	deadline                                                                   time.Duration
	warmup                                                                     time.Duration
}

// report is the content of the file named by the flag json.
type report struct {
	Seed     uint64         `json:"seed"`
	Arrivals int            `json:"arrivals"`
	Classes  []load.Summary `json:"classes"`
}

func runCommand() *ffcli.Command {
	var f runFlags
	fs := flag.NewFlagSet("run", flag.ContinueOnError)
	fs.StringVar(&f.entryAddrs, "entries", "127.0.0.1:7070", "addresses of entry instances, comma-separated")
	fs.StringVar(&f.shortProfile, "short", "short", "profile for prompts up to 8,000 tokens")
	fs.StringVar(&f.mediumProfile, "medium", "medium", "profile for prompts up to 100,000 tokens")
	fs.StringVar(&f.longProfile, "long", "long", "profile for longer prompts")
	fs.StringVar(&f.reportFile, "json", "", "JSON file for the report")
	fs.StringVar(&f.plotFile, "svg", "", "SVG file for the distribution of the time to first token")
	fs.Uint64Var(&f.shape.Seed, "seed", 1, "seed of the arrivals")
	fs.DurationVar(&f.shape.Duration, "length", 30*time.Second, "length of the run")
	fs.Float64Var(&f.shape.TokensPerSecond, "tokens", 100_000, "offered load, in prompt tokens per second")
	fs.IntVar(&f.shape.Customers, "customers", 10, "number of customers")
	fs.IntVar(&f.shape.MaxOutputTokens, "output", 40, "tokens to generate for each prompt")
	fs.DurationVar(&f.deadline, "deadline", 15*time.Second, "time within which an answer counts as in time")
	fs.DurationVar(&f.warmup, "warmup", 0, "time at the start whose arrivals are not counted")
	return &ffcli.Command{
		Name: "run", ShortUsage: "pierload run [flags]", ShortHelp: "sends an open-loop load and reports what callers see",
		LongHelp: runHelp, FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error { return run(ctx, f) },
	}
}

func run(ctx context.Context, f runFlags) error {
	if f.shape.Customers < 1 || f.shape.TokensPerSecond <= 0 || f.shape.MaxOutputTokens < 1 {
		return errors.New("-customers, -tokens and -output must be above zero")
	}
	plan := load.Plan(f.shape)
	profiles := map[load.Class]string{load.Short: f.shortProfile, load.Medium: f.mediumProfile, load.Long: f.longProfile}
	runner := &load.Runner{
		EntryAddrs: strings.Split(f.entryAddrs, ","), Warmup: f.warmup,
		ProfileFor: func(c load.Class) string { return profiles[c] },
	}
	results := runner.Run(ctx, plan)
	classes := load.Summarise(results, func(load.Class) time.Duration { return f.deadline })
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, load.TableHeader())
	for _, s := range classes {
		_, _ = fmt.Fprintln(table, s.TableRow("run"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := writeReport(f.reportFile, report{Seed: f.shape.Seed, Arrivals: len(plan), Classes: classes}); err != nil {
		return err
	}
	return writePlot(f.plotFile, fmt.Sprintf("%.0f prompt tokens a second, seed %d", f.shape.TokensPerSecond, f.shape.Seed), results)
}

func writeReport(path string, report report) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

func writePlot(path, title string, results []load.Result) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := load.Plot(file, title, results); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
