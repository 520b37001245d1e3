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
	applyPause = 200 * time.Millisecond
	applyLimit = 30 * time.Second // for a lost answer to be settled
)

func init() { register(applyCommand) }

func applyCommand(env *environment) *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	base := fs.Uint64("base", 0, "version that the file was made from; 0 for the present one")
	within := fs.Duration("within", 5*time.Second, "time for the change to be in force everywhere")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "pierctl apply [-base VERSION] FILE",
		ShortHelp:  "checks a configuration, makes it the one in force and reports where it is",
		LongHelp:   "Of two racing changes one wins; the other is shown the winner.\n\nExample:\n  pierctl apply -base 17 config.json",
		FlagSet:    fs,
		Exec: func(ctx context.Context, files []string) error {
			if len(files) != 1 {
				return flag.ErrHelp
			}
			data, err := env.readConfig(files[0])
			if err != nil {
				return err
			}
			version, err := env.apply(ctx, *base, data)
			if err != nil {
				return err
			}
			env.printf("version %d accepted\n", version)
			return env.await(ctx, version, *within)
		},
	}
}

// apply replaces the base version and settles a lost answer by reading back.
func (e *environment) apply(ctx context.Context, base uint64, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	before, err := e.current(ctx)
	if err != nil {
		return 0, err
	}
	if base == 0 {
		base = before.Version
	}
	if before.Version != base {
		return 0, conflict(base, before)
	}
	for {
		version, err := e.client().Put(ctx, config.ObjectName, base, data)
		if err == nil {
			return version, nil
		}
		if store.Is(err, store.Refused) || store.Is(err, store.TooLarge) {
			return 0, err
		}
		now, readErr := e.current(ctx)
		switch {
		case readErr == nil && now.Version > base && bytes.Equal(now.Value, data):
			return now.Version, nil
		case readErr == nil && now.Version > base:
			return 0, conflict(base, now)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("not known whether the change was accepted: %w", err)
		case <-time.After(applyPause):
		}
	}
}

func conflict(base uint64, now store.Object) error {
	text := fmt.Sprintf("another change came first: version %d was to be replaced, version %d is there", base, now.Version)
	return &exitError{exitConflict, text + "\n" + canonical(now.Value)}
}

// await reports how many instances have the version in force.
func (e *environment) await(ctx context.Context, version uint64, within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		instances, err := e.instances(ctx)
		if err != nil {
			return err
		}
		var behind []string
		for _, i := range instances {
			status, err := e.status(ctx, i)
			if err != nil || status.ConfigVersion < version {
				behind = append(behind, i.Name)
			}
		}
		if len(behind) == 0 {
			e.printf("in force on %d of %d instances\n", len(instances), len(instances))
			return nil
		}
		if time.Now().After(deadline) {
			e.printf("in force on %d of %d instances\n", len(instances)-len(behind), len(instances))
			return &exitError{exitPartial, fmt.Sprintf("not in force on %v", behind)}
		}
		time.Sleep(applyPause)
	}
}
