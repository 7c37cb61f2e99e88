// Command bronzestaird is the daemon of an entry instance. It forwards callers' HTTP
// requests to backend servers. The daemon bronzestair-entry schedules jobs on the users'
// platform instead.
//
// # Usage
//
//	bronzestaird -settings entry.jsonc
//
// On SIGTERM or SIGINT it shuts down gracefully: it stops reporting ready, accepts
// requests for the drain delay, lets the requests in flight complete, and writes the
// pending book lines to the platform.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"bronzestair"
	"bronzestair/core/intake"
	"bronzestair/core/settings"
	"bronzestair/io/command"
)

// gcPercent trades memory for CPU time: the live heap of a daemon is only a few
// megabytes. The environment variable GOGC takes precedence.
const gcPercent = 300

// limitedGCPercent applies instead if the memory of the instance is limited, so that garbage
// takes no more than what callers use.
const limitedGCPercent = 100

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bronzestaird:", err)
		os.Exit(1)
	}
}

// run serves until the context is done.
func run(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("bronzestaird", flag.ContinueOnError)
	var s settings.Settings
	s.Bind(flags)
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if s.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		if os.Getenv("GOGC") == "" {
			debug.SetGCPercent(limitedGCPercent)
		}
		debug.SetMemoryLimit(int64(intake.RuntimeMemory(intake.Bytes(s.MemoryMB) * intake.MiB)))
	}
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.LogLevel})).
		With("entry", s.Entry, "dataCentre", s.DataCentre)
	e, err := bronzestair.New(bronzestair.WithSettings(s), bronzestair.WithLogger(logger))
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
