// Command bronzestair-entry is the daemon of an entry on the users' platform.
//
// # Usage
//
//	bronzestair-entry # the environment names its settings file, see platform/README.md
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
	"reflect"
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
	go watchSettings(ctx, path, settings, logger)
	return entry.Run(ctx)
}

// watchSettings checks the settings file at each SIGHUP. Its addresses and
// bounds hold for the life of the process; a change takes effect at the next start.
func watchSettings(ctx context.Context, path string, current *platform.Settings, logger *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			logger.Error("settings are not valid; the old ones stay in use", "error", err)
			continue
		}
		logger.Info("settings read again", "changed", !reflect.DeepEqual(next, current), "inUse", "from the next start")
	}
}
