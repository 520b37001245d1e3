package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	applyPollInterval = 200 * time.Millisecond
	applyTimeout      = 30 * time.Second // to find out whether a write without an answer took effect
)

func init() { registerCommand(applyCommand) }

func applyCommand(c *cli) *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	base := fs.Uint64("base", 0, "version that the file was edited from; 0 for the current one")
	within := fs.Duration("within", 5*time.Second, "time for all instances to activate the change")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "pierctl apply [-base VERSION] FILE",
		ShortHelp:  "checks and stores a configuration, and reports how many instances have activated it",
		LongHelp:   "Of two concurrent changes the first wins; the other fails and prints the winning configuration.\n\nExample:\n  pierctl apply -base 17 config.json",
		FlagSet:    fs,
		Exec: func(ctx context.Context, files []string) error {
			if len(files) != 1 {
				return flag.ErrHelp
			}
			data, err := c.readConfig(files[0])
			if err != nil {
				return err
			}
			version, err := c.apply(ctx, *base, data)
			if err != nil {
				return err
			}
			c.printf("version %d accepted\n", version)
			return c.waitUntilActive(ctx, version, *within)
		},
	}
}

// apply replaces the base version, or the current one if base is zero. A write whose answer is lost may have taken
// effect, so apply reads the configuration back before it tries again.
func (c *cli) apply(ctx context.Context, base uint64, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	before, err := c.currentConfig(ctx)
	if err != nil {
		return 0, err
	}
	if base == 0 {
		base = before.Version
	}
	if before.Version != base {
		return 0, conflictError(base, before)
	}
	for {
		version, err := c.storeClient().Put(ctx, config.ObjectName, base, data)
		if err == nil {
			return version, nil
		}
		if store.Is(err, store.Refused) || store.Is(err, store.TooLarge) {
			return 0, err
		}
		now, readErr := c.currentConfig(ctx)
		switch {
		case readErr == nil && now.Version > base && bytes.Equal(now.Value, data):
			return now.Version, nil
		case readErr == nil && now.Version > base:
			return 0, conflictError(base, now)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("unknown whether the change was stored: %w", err)
		case <-time.After(applyPollInterval):
		}
	}
}

func conflictError(base uint64, now store.Object) error {
	text := fmt.Sprintf("another change came first: version %d was to be replaced, but the current version is %d", base, now.Version)
	return &exitError{exitConflict, text + "\n" + canonicalJSON(now.Value)}
}

// waitUntilActive waits until all instances have activated the version, or until the time is up, and prints how many have.
func (c *cli) waitUntilActive(ctx context.Context, version uint64, within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		instances, err := c.listInstances(ctx)
		if err != nil {
			return err
		}
		var outdated []string
		for _, i := range instances {
			status, err := c.instanceStatus(ctx, i)
			if err != nil || status.ConfigVersion < version {
				outdated = append(outdated, i.Name)
			}
		}
		if len(outdated) == 0 {
			c.printf("in force on %d of %d instances\n", len(instances), len(instances))
			return nil
		}
		if time.Now().After(deadline) {
			c.printf("in force on %d of %d instances\n", len(instances)-len(outdated), len(instances))
			return &exitError{exitNotActive, fmt.Sprintf("not in force on %v", outdated)}
		}
		time.Sleep(applyPollInterval)
	}
}
