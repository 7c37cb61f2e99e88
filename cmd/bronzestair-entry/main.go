// Command bronzestair-entry is the daemon of an entry on the users' platform. It accepts
// jobs, schedules them over pools of instances and maintains the instances. The daemon
// bronzestaird forwards HTTP requests to backend servers instead.
//
// # Usage
//
//	bronzestair-entry [-lookahead auto|on|off] # an environment variable names the settings file, see platform/README.md
//
// On SIGTERM or SIGINT it shuts down gracefully: it stops reporting ready, hands its pools
// over to other entries, and lets the requests in flight complete.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"bronzestair/core/intake"
	"bronzestair/io/logs"
	"bronzestair/platform"
)

const (
	// gcPercent trades memory for CPU time. The environment variable GOGC takes
	// precedence.
	gcPercent = 100
	// maxLogLinesPerSecond limits the rate of log lines.
	maxLogLinesPerSecond = 500
)

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	out := logs.NewWriter(os.Stdout, maxLogLinesPerSecond)
	err := run(out, os.Args[1:])
	out.Close()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bronzestair-entry:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT.
func run(out *logs.Writer, arguments []string) error {
	var options platform.EntryOptions
	flags := flag.NewFlagSet("bronzestair-entry", flag.ContinueOnError)
	flags.Var(&options.Lookahead, "lookahead", "whether to restart slow tasks of speculative steps elsewhere, to leave racks to tasks with data there and to follow forecasts of demand: auto, on or off; auto means on while the configuration has organisations")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	// Never stopped: a SIGHUP must not kill the process while it starts or shuts down.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fmt.Errorf("environment variable %s is not set", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if memory := settings.Memory(); memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(intake.RuntimeMemory(memory)))
	}
	logger := slog.New(slog.NewJSONHandler(out, nil)).With("entry", settings.Instance)
	entry, err := platform.NewEntry(settings, options, logger)
	if err != nil {
		return err
	}
	go watchSettings(ctx, sighup, path, settings, logger)
	return entry.Run(ctx)
}

// watchSettings checks the settings file on each SIGHUP. The settings are
// addresses and limits that are fixed for the life of the process; a change takes
// effect at the next start.
func watchSettings(ctx context.Context, sighup <-chan os.Signal, path string, current *platform.Settings, logger *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			logger.Error("settings file is invalid; settings in use are unchanged", "error", err)
			continue
		}
		logger.Info("settings file checked", "changed", !reflect.DeepEqual(next, current), "inUse", "from the next start")
	}
}
