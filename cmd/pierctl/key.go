package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { registerCommand(keyCommand) }

const clusterKeyBytes = 16 // the least that instances accept

func keyCommand(c *cli) *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "pierctl key",
		ShortHelp:  "makes a new cluster key",
		LongHelp: "Prints a random cluster key for the settings of all instances of a cluster (key, or -key).\n" +
			"Instances with different keys do not hear each other.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return flag.ErrHelp
			}
			key := make([]byte, clusterKeyBytes)
			if _, err := rand.Read(key); err != nil {
				return err
			}
			c.printf("%s\n", hex.EncodeToString(key))
			return nil
		},
	}
}
