// Package bronzestair runs an entry instance: it takes requests of callers,
// has each run at a backend server, and keeps the books on them.
//
// The decisions are in core/entry, a reducer without I/O; the packages below
// io carry its effects out.
//
// # Usage
//
//	e, err := bronzestair.New(bronzestair.WithID("entry-1"), bronzestair.WithPlatform(address))
//	if err != nil {
//		return err
//	}
//	err = e.Run(ctx)
package bronzestair

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"bronzestair/core/book"
	"bronzestair/core/entry"
	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/io/backend"
	"bronzestair/io/caller"
	"bronzestair/io/platform"
)

const (
	defaultID            = fleet.EntryID("entry-1")
	defaultCallerAddress = "127.0.0.1:8080"
	defaultPlatform      = "127.0.0.1:8090"
	// pollEvery is how often the platform is asked for changes.
	pollEvery = 1 * time.Second
	// tickEvery is how often time passes in the reducer without an event.
	tickEvery = 50 * time.Millisecond
	// probeTimeout bounds a health probe.
	probeTimeout = 1 * time.Second
	// finalFilingTimeout bounds the last filing of book lines.
	finalFilingTimeout = 10 * time.Second
)

// Entry is one entry instance. Use New.
type Entry struct {
	id             fleet.EntryID
	callerAddress  netip.AddrPort
	callerListener net.Listener
	platformAddr   netip.AddrPort
	drainDelay     time.Duration
	limits         caller.Limits
	trustCaller    bool
	logger         *slog.Logger
	tracer         trace.Tracer

	loop      *Loop
	directory directory
	backend   *backend.Client
	platform  *platform.Client
	books     *platform.Books
	server    *caller.Server
}

// Option changes a default of New.
type Option func(*Entry)

// WithID names the entry instance.
func WithID(id fleet.EntryID) Option { return func(e *Entry) { e.id = id } }

// WithCallerAddress sets where callers connect.
func WithCallerAddress(a netip.AddrPort) Option { return func(e *Entry) { e.callerAddress = a } }

// WithCallerListener serves callers on an open listener.
func WithCallerListener(l net.Listener) Option { return func(e *Entry) { e.callerListener = l } }

// WithPlatform sets the address of the platform.
func WithPlatform(a netip.AddrPort) Option { return func(e *Entry) { e.platformAddr = a } }

// WithDrainDelay sets how long requests are still taken after the end began,
// so that the balancer can notice.
func WithDrainDelay(d time.Duration) Option { return func(e *Entry) { e.drainDelay = d } }

// WithLimits sets what callers can ask of the entry.
func WithLimits(l caller.Limits) Option { return func(e *Entry) { e.limits = l } }

// WithTrustedCaller takes the caller's name from a header.
func WithTrustedCaller(trust bool) Option { return func(e *Entry) { e.trustCaller = trust } }

// WithLogger sets where logs go.
func WithLogger(l *slog.Logger) Option { return func(e *Entry) { e.logger = l } }

// WithTracer sets where spans go.
func WithTracer(t trace.Tracer) Option { return func(e *Entry) { e.tracer = t } }

// New returns an entry that is not running yet. Without options it serves on
// loopback addresses.
func New(options ...Option) (*Entry, error) {
	e := &Entry{
		id:            defaultID,
		callerAddress: netip.MustParseAddrPort(defaultCallerAddress),
		platformAddr:  netip.MustParseAddrPort(defaultPlatform),
		logger:        slog.New(slog.DiscardHandler),
		tracer:        noop.NewTracerProvider().Tracer("bronzestair"),
	}
	for _, option := range options {
		option(e)
	}
	if e.id == "" {
		return nil, merry.New("the entry has no id")
	}
	e.assemble()
	return e, nil
}

// assemble makes the parts and connects them.
func (e *Entry) assemble() {
	incarnation := fmt.Sprintf("%016x", rand.Uint64())
	e.loop = NewLoop(entry.New(e.id))
	e.backend = backend.NewClient()
	e.platform = platform.NewClient(e.platformAddr)
	e.books = platform.NewBooks(e.platform, string(e.id), incarnation, e.logger)
	e.server = caller.NewServer(e.loop, e.backend, &e.directory, e.books,
		caller.WithLimits(e.limits),
		caller.WithTrustedCaller(e.trustCaller),
		caller.WithTracer(e.tracer),
		caller.WithLogger(e.logger))
	e.loop.Register(e.server, DefaultPriority)
	e.loop.Register(&prober{entry: e}, DefaultPriority)
}

// Ready reports whether the entry has a configuration.
func (e *Entry) Ready() bool { return e.directory.version() > 0 }

// Totals returns the book lines of this incarnation.
func (e *Entry) Totals() book.Totals { return e.books.Totals() }

// Run serves until the context ends, then ends gracefully: no request in
// flight is cut off and all book lines are filed.
func (e *Entry) Run(ctx context.Context) error {
	listener := e.callerListener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", e.callerAddress.String())
		if err != nil {
			return merry.Prepend(err, "listening for callers")
		}
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group errgroup.Group
	group.Go(func() error { return e.server.Serve(listener) })
	group.Go(func() error { e.pollPlatform(background); return nil })
	group.Go(func() error { e.tick(background); return nil })
	group.Go(func() error { e.books.Run(background); return nil })

	<-ctx.Done()
	e.logger.Info("stopping", "drainDelay", e.drainDelay)
	time.Sleep(e.drainDelay)
	err := e.server.Shutdown(background)
	stopBackground()
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	return e.finish(err)
}

// finish files the last book lines and lets go of connections.
func (e *Entry) finish(err error) error {
	ctx, cancel := context.WithTimeout(context.Background(), finalFilingTimeout)
	defer cancel()
	if fileErr := e.books.File(ctx); fileErr != nil {
		e.logger.Error("book lines are lost", "lines", e.books.Unfiled(), "error", fileErr)
		err = merry.Prependf(fileErr, "filing %d book lines", e.books.Unfiled())
	}
	e.backend.Close()
	e.platform.Close()
	return err
}

// pollPlatform brings in the configuration and the list of instances.
func (e *Entry) pollPlatform(ctx context.Context) {
	every(ctx, pollEvery, func() {
		if err := e.refresh(ctx); err != nil && ctx.Err() == nil {
			e.logger.Warn("the platform cannot be read", "error", err)
		}
	})
}

// refresh asks the platform once.
func (e *Entry) refresh(ctx context.Context) error {
	f, err := e.platform.Fleet(ctx)
	if err != nil {
		return err
	}
	if f.Version > e.directory.version() {
		if err := f.Check(); err != nil {
			return merry.Prependf(err, "configuration %d", f.Version)
		}
		e.directory.set(f)
		e.loop.Submit(&entry.Configured{Fleet: f})
		e.logger.Info("configuration in force", "version", f.Version)
	}
	list, err := e.platform.Instances(ctx)
	if err != nil {
		return err
	}
	e.loop.Submit(&entry.Listed{Leaving: leaving(list)})
	return nil
}

func leaving(list []platform.Instance) []runner.ID {
	var out []runner.ID
	for _, instance := range list {
		if instance.Leaving {
			out = append(out, instance.ID)
		}
	}
	return out
}

func (e *Entry) tick(ctx context.Context) {
	every(ctx, tickEvery, func() { e.loop.Submit(&entry.Ticked{}) })
}

// every calls f at once and then at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
