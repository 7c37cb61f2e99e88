package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/fleet"
	"bronzestair/io/command"
	"bronzestair/io/jsonc"
	"bronzestair/io/platform"
	"bronzestair/standin"
)

const defaultLag = 2 * time.Second

func platformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	address := command.AddressFlag(flags, "address", "127.0.0.1:8090", "IP address and port to serve on")
	file := flags.String("fleet", "", "file with the fleet's configuration, JSON with comments")
	lag := flags.Duration("lag", defaultLag, "delay after which the instance list shows a change")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [-address A] [-fleet FILE] [-lag D]",
		ShortHelp:  "Serves the table service, the object store and the instance list.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("STANDIN")},
		Exec: func(ctx context.Context, _ []string) error {
			p := standin.NewPlatform(*lag)
			if *file != "" {
				if err := loadFleet(p, *file); err != nil {
					return err
				}
			}
			return serve(ctx, *address, p)
		},
	}
}

// loadFleet writes a configuration to the tables and its runners to the instance
// list.
func loadFleet(p *standin.Platform, name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	var f fleet.Fleet
	if err := jsonc.Unmarshal(name, data, &f); err != nil {
		return err
	}
	f.ResolveLimits()
	if err := f.Check(); err != nil {
		return merry.Prepend(err, name)
	}
	if err := p.SetFleet(f); err != nil {
		return err
	}
	var list []platform.Instance
	for _, r := range f.Runners {
		list = append(list, platform.Instance{ID: r.ID})
	}
	p.SetInstances(list)
	return nil
}
