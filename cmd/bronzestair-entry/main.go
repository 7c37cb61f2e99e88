// Command bronzestair-entry is the daemon of an entry on the users' platform.
//
// # Usage
//
//	BRONZESTAIR_NODE_FILE=settings.json bronzestair-entry
//
// It ends gracefully on SIGTERM: readiness goes off, its pools pass to other
// entries, and no request in flight is cut off.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"bronzestair/io/logs"
	"bronzestair/platform"
)

const (
	// gcPercent trades memory for processor time.
	gcPercent = 100
	// logLines bounds the log lines of one second.
	logLines = 500
)

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	out := logs.NewWriter(os.Stdout, logLines)
	err := run(out)
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzestair-entry:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM.
func run(out *logs.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The settings are read at each start; a change of the file alone needs no reaction.
	signal.Ignore(syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fmt.Errorf("the variable %s is not set", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewJSONHandler(out, nil)).With("entry", settings.Instance)
	entry, err := platform.NewEntry(settings, logger)
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
