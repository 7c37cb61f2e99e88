// Command bronzestair is the command-line tool for operators.
//
// # Usage
//
//	bronzestair demo [-json]
//	bronzestair status -operator-addresses 127.0.0.1:8082
//	bronzestair books -caller lodge-7 -month 2026-12
//	bronzestair settings check entry.jsonc
//	bronzestair explain -address 10.0.0.7:9101 -host jobs.example -path /seats/ -job job.json
//	bronzestair load -against 127.0.0.1:9001
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

	"bronzestair/io/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bronzestair:", err)
		os.Exit(1)
	}
}

// root returns the root command with all subcommands.
func root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "bronzestair",
		ShortUsage: "bronzestair <command> [flags]",
		ShortHelp:  "Runs and inspects a fleet.",
		FlagSet:    flag.NewFlagSet("bronzestair", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			demoCommand(),
			statusCommand(),
			booksCommand(),
			configCommand(),
			settingsCommand(),
			loadCommand(),
			experimentCommand(),
			explainCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// newFlags returns the flag set of a command and the options for parsing it, by
// which every flag can also be set by an environment variable.
func newFlags(name string) (*flag.FlagSet, []ff.Option) {
	return flag.NewFlagSet("bronzestair "+name, flag.ContinueOnError), []ff.Option{ff.WithEnvVarPrefix(command.EnvPrefix)}
}
