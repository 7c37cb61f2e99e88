// Command standin stands in for external systems in tests and trial runs.
//
// # Usage
//
//	standin platform -address 127.0.0.1:8090 -fleet fleet.jsonc
//	standin runners -address 127.0.0.1:9001 -count 4 -delay 2ms
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// shutdownTimeout limits the wait for requests in flight at shutdown.
const shutdownTimeout = 30 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	root := &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <platform|runners> [flags]",
		ShortHelp:   "Stands in for external systems in tests and trial runs.",
		FlagSet:     flag.NewFlagSet("standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{platformCommand(), runnersCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// serve serves a handler until the context is done, then shuts down gracefully.
func serve(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	stopShutdown := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stopShutdown()
	slog.Info("serving", "address", address.String())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
