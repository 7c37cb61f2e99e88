package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/fleet"
	"bronzestair/core/settings"
	"bronzestair/io/command"
	"bronzestair/io/jsonc"
)

func settingsCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "settings",
		ShortUsage:  "bronzestair settings check [-kind daemon|fleet] FILE",
		ShortHelp:   "Checks settings files.",
		FlagSet:     flag.NewFlagSet("bronzestair settings", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{settingsCheckCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func settingsCheckCommand() *ffcli.Command {
	flags, options := newFlags("settings check")
	kind := flags.String("kind", "daemon", "kind of the file: daemon or fleet")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "bronzestair settings check [-kind daemon|fleet] FILE",
		ShortHelp:  "Reports every error in a settings file with its line and key.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return merry.Errorf("%d file arguments, want 1", len(args))
			}
			if err := checkSettings(*kind, args[0]); err != nil {
				return err
			}
			fmt.Println(args[0], "is good")
			return nil
		},
	}
}

func checkSettings(kind, name string) error {
	switch kind {
	case "daemon":
		return checkDaemonSettings(name)
	case "fleet":
		_, err := readFleet(name)
		return err
	}
	return merry.Errorf("kind %q is neither daemon nor fleet", kind)
}

func checkDaemonSettings(name string) error {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var s settings.Settings
	s.Bind(flags)
	if err := command.ParseFile(flags, name); err != nil {
		return err
	}
	return merry.Prepend(s.Check(), name)
}

// readFleet reads a fleet's configuration from a file and checks it.
func readFleet(name string) (*fleet.Fleet, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var f fleet.Fleet
	if err := jsonc.Unmarshal(name, data, &f); err != nil {
		return nil, err
	}
	f.ResolveLimits()
	return &f, merry.Prepend(f.Check(), name)
}
