// Command bronzestair is the operators' command line.
//
// # Usage
//
//	bronzestair demo [-json]
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// envPrefix starts the environment variables that set flags.
const envPrefix = "BRONZESTAIR"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bronzestair:", err)
		os.Exit(1)
	}
}

// root returns the whole command line.
func root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "bronzestair",
		ShortUsage: "bronzestair <command> [flags]",
		ShortHelp:  "Runs and inspects a fleet.",
		FlagSet:    flag.NewFlagSet("bronzestair", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			demoCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// newFlags returns a flag set and the options that every command uses.
func newFlags(name string) (*flag.FlagSet, []ff.Option) {
	return flag.NewFlagSet("bronzestair "+name, flag.ContinueOnError), []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}
