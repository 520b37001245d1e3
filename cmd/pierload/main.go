package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/demo"
)

func main() {
	root := &ffcli.Command{
		Name:        "pierload",
		ShortUsage:  "pierload <command> [flags]",
		Subcommands: []*ffcli.Command{publishCommand(), demoCommand(), runCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "pierload:", err)
		os.Exit(1)
	}
}

func publishCommand() *ffcli.Command {
	fs := flag.NewFlagSet("publish", flag.ContinueOnError)
	storeURL := fs.String("store", "", "URL of the object API")
	siteDir := fs.String("site", "", "folder with config.json and site.json")
	engineAddrs := fs.String("engines", "", "addresses of the model engines, comma-separated")
	plainAddrs := fs.String("plains", "", "addresses of the plain services, comma-separated")
	return &ffcli.Command{
		Name: "publish", ShortHelp: "stores the configuration and the instance list of a site", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			site, err := demo.ReadSite(*siteDir + "/site.json")
			if err != nil {
				return err
			}
			data, err := os.ReadFile(*siteDir + "/config.json")
			if err != nil {
				return err
			}
			c, problems := config.Parse(data)
			if len(problems) > 0 {
				return errors.New(problems[0].String())
			}
			addrs := make(map[string][]string)
			for _, s := range c.Services {
				addrs[s.Name] = strings.Split(*plainAddrs, ",")
				if s.Kind == config.Engine {
					addrs[s.Name] = strings.Split(*engineAddrs, ",")
				}
			}
			return demo.Publish(ctx, *storeURL, c, site, addrs)
		},
	}
}

func demoCommand() *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	siteDir := fs.String("site", "", "folder with site.json")
	entryAddrs := fs.String("entries", "", "addresses of entry instances, comma-separated")
	plainAddrs := fs.String("plains", "", "addresses of the plain services, comma-separated")
	return &ffcli.Command{
		Name: "demo", ShortHelp: "sends the example requests of a site", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			site, err := demo.ReadSite(*siteDir + "/site.json")
			if err != nil {
				return err
			}
			return demo.Run(ctx, os.Stdout, site, strings.Split(*entryAddrs, ","), strings.Split(*plainAddrs, ","))
		},
	}
}
