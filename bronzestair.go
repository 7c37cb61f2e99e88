// Package bronzestair runs an entry instance: it accepts requests from callers,
// forwards each to a backend server, and records the outcome in the books.
//
// All decisions are made by core/entry, a reducer without I/O; the packages
// under io execute the effects that it returns.
//
// # Usage
//
//	e, err := bronzestair.New(bronzestair.WithID("entry-1"), bronzestair.WithPlatform(address))
//	if err != nil {
//		return err
//	}
//	return e.Run(ctx)
package bronzestair

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"bronzestair/core/entry"
	"bronzestair/core/fleet"
	"bronzestair/core/intake"
	"bronzestair/core/runner"
	"bronzestair/core/settings"
	"bronzestair/io/backend"
	"bronzestair/io/caller"
	"bronzestair/io/operator"
	"bronzestair/io/otel"
	"bronzestair/io/peer"
	"bronzestair/io/platform"
)

const (
	// pollInterval is the interval between polls of the platform for changes.
	pollInterval = 400 * time.Millisecond
	// tickInterval is the interval of Ticked events, from which the reducer learns
	// the time when no other event arrives.
	tickInterval = 50 * time.Millisecond
	// idleCheckInterval is the interval between checks for stale idle
	// connections to runners.
	idleCheckInterval = 5 * time.Second
	// finalFilingTimeout bounds the filing of the remaining book lines at shutdown.
	finalFilingTimeout = 10 * time.Second
)

// Entry is one entry instance. Create it with New.
type Entry struct {
	settings         settings.Settings
	callerListener   net.Listener
	operatorListener net.Listener
	peerListener     net.Listener
	logger           *slog.Logger
	telemetry        *otel.Telemetry
	closeTelemetry   bool

	loop         *Loop
	directory    directory
	backend      *backend.Client
	platform     *platform.Client
	books        *platform.BookWriter
	callerServer *caller.Server
	operators    *operator.Server
	peers        *peer.Peers
	stopping     atomic.Bool
	// instancesTag is the tag of the last instance list that was read, empty to
	// have the list sent again.
	instancesTag string
}

// Option configures an Entry in New.
type Option func(*Entry)

// WithSettings replaces all default settings.
func WithSettings(s settings.Settings) Option { return func(e *Entry) { e.settings = s } }

// WithID sets the ID of the entry instance.
func WithID(id fleet.EntryID) Option { return func(e *Entry) { e.settings.Entry = id } }

// WithPlatform sets the address of the platform.
func WithPlatform(a netip.AddrPort) Option { return func(e *Entry) { e.settings.PlatformAddress = a } }

// WithCallerListener sets an open listener to serve callers on. It is used
// instead of the address in the settings.
func WithCallerListener(l net.Listener) Option { return func(e *Entry) { e.callerListener = l } }

// WithOperatorListener sets an open listener to serve operators on. It is used
// instead of the address in the settings.
func WithOperatorListener(l net.Listener) Option { return func(e *Entry) { e.operatorListener = l } }

// WithPeerListener sets an open listener to serve peers on. It is used instead
// of the address in the settings.
func WithPeerListener(l net.Listener) Option { return func(e *Entry) { e.peerListener = l } }

// WithLogger sets the logger. By default log lines are discarded.
func WithLogger(l *slog.Logger) Option { return func(e *Entry) { e.logger = l } }

// WithTelemetry sets the telemetry that receives metrics and spans. The Entry
// does not close it.
func WithTelemetry(t *otel.Telemetry) Option { return func(e *Entry) { e.telemetry = t } }

// New returns an entry that is not started yet. By default it serves on
// loopback addresses.
func New(options ...Option) (*Entry, error) {
	e := &Entry{
		settings: settings.Default(),
		logger:   slog.New(slog.DiscardHandler),
	}
	for _, option := range options {
		option(e)
	}
	if err := e.settings.Check(); err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	if e.telemetry == nil {
		telemetry, err := otel.New("bronzestair", e.logger)
		if err != nil {
			return nil, merry.Prepend(err, "telemetry")
		}
		e.telemetry = telemetry
		e.closeTelemetry = true
	}
	e.initComponents()
	return e, nil
}

// initComponents creates the servers and clients and registers the effect
// handlers with the event loop.
func (e *Entry) initComponents() {
	s := e.settings
	incarnation := fmt.Sprintf("%016x", rand.Uint64())
	e.loop = NewLoop(entry.New(s.Entry))
	e.backend = backend.NewClient(backend.WithConnectTimeout(s.ConnectTimeout))
	e.platform = platform.NewClient(s.PlatformAddress)
	e.books = platform.NewBookWriter(e.platform, string(s.Entry), incarnation, e.logger)
	e.books.MaxPending = platform.PendingLimit(int64(s.MemoryMB) << 20)
	e.callerServer = caller.NewServer(e.loop, e.backend, &e.directory, e.books,
		caller.WithLimits(limits(s)),
		caller.WithBudget(intake.BudgetFor(intake.Bytes(s.MemoryMB)*intake.MiB, s.MaxFDs)),
		caller.WithTrustedCallerHeader(s.TrustCallerHeader),
		caller.WithTracer(e.telemetry.Tracer(), s.TraceRatio),
		caller.WithMeter(e.telemetry.Meter()),
		caller.WithLogger(e.logger))
	e.peers = peer.New(s.Entry, e.loop, &e.directory, e.logger)
	e.operators = operator.NewServer(e, e.telemetry.Handler(), e.callerServer.Gate())
	e.loop.Register(e.callerServer, DefaultPriority)
	e.loop.Register(e.peers, DefaultPriority)
	e.loop.Register(&prober{entry: e}, DefaultPriority)
	e.registerMetrics()
}

func limits(s settings.Settings) caller.Limits {
	return caller.Limits{
		BodyBytes:     s.MaxBodyBytes,
		HeaderBytes:   s.MaxHeaderBytes,
		Connections:   s.MaxConnections,
		HeaderTimeout: s.HeaderTimeout,
		BodyTimeout:   s.BodyTimeout,
		IdleTimeout:   s.IdleTimeout,
	}
}

// Ready reports whether the load balancer may send requests: the entry has a
// configuration and is not stopping.
func (e *Entry) Ready() bool { return e.directory.version() > 0 && !e.stopping.Load() }

// Status returns the state that the operators' server shows.
func (e *Entry) Status() entry.Status {
	status := e.loop.Status()
	status.Stopping = e.stopping.Load()
	status.UnfiledLines = e.books.Pending()
	return status
}

// Run serves until the context is done, then shuts down gracefully: it stops
// reporting ready, lets the requests in flight complete, and files all book
// lines. It also shuts down if a listener fails.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.callerServer.Serve(listeners.callers) })
	group.Go(func() error { return e.operators.Serve(listeners.operators) })
	group.Go(func() error { return e.peers.Serve(listeners.peers) })
	group.Go(func() error { e.pollPlatform(background); return nil })
	group.Go(func() error { e.tick(background); return nil })
	group.Go(func() error { e.books.Run(background); return nil })
	group.Go(func() error { runPeriodically(background, idleCheckInterval, e.backend.CloseStale); return nil })
	e.logger.Info("serving",
		"callers", listeners.callers.Addr().String(),
		"operators", listeners.operators.Addr().String(),
		"peers", listeners.peers.Addr().String())

	// The context was cancelled, or a listener failed.
	<-groupCtx.Done()
	err = e.drain(background)
	stopBackground()
	e.peers.Close()
	return errors.Join(err, group.Wait(), e.closeResources())
}

// drain waits for the drain delay, then stops accepting requests and waits for
// those in flight.
func (e *Entry) drain(ctx context.Context) error {
	e.stopping.Store(true)
	e.logger.Info("stopping", "drainDelay", e.settings.DrainDelay)
	time.Sleep(e.settings.DrainDelay)
	e.loop.Submit(&entry.Stopping{})
	err := e.callerServer.Shutdown(ctx)
	// The events of the last responses may be queued by SubmitLater until another
	// event is submitted. This one also returns the borrowed slots.
	e.loop.Submit(&entry.Ticked{})
	return errors.Join(err, e.operators.Shutdown(ctx))
}

// listeners holds the listeners of an entry.
type listeners struct {
	callers, operators, peers net.Listener
}

// listen opens all listeners. On an error it closes those that it opened before.
func (e *Entry) listen() (l listeners, err error) {
	if l.callers, err = openListener(e.callerListener, e.settings.CallerAddress, "callers"); err != nil {
		return l, err
	}
	if l.operators, err = openListener(e.operatorListener, e.settings.OperatorAddress, "operators"); err != nil {
		l.callers.Close()
		return l, err
	}
	if l.peers, err = openListener(e.peerListener, e.settings.PeerAddress, "peers"); err != nil {
		l.callers.Close()
		l.operators.Close()
	}
	return l, err
}

// openListener returns the given listener, or listens on the address if there
// is none.
func openListener(given net.Listener, address netip.AddrPort, clients string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", address.String())
	return l, merry.Prependf(err, "listening for %s", clients)
}

// closeResources files the remaining book lines, then closes the clients and,
// unless it was passed in, the telemetry.
func (e *Entry) closeResources() error {
	ctx, cancel := context.WithTimeout(context.Background(), finalFilingTimeout)
	defer cancel()
	err := e.books.Flush(ctx)
	if err != nil {
		e.logger.Error("book lines are lost", "lines", e.books.Pending(), "error", err)
		err = merry.Prependf(err, "filing %d book lines", e.books.Pending())
	}
	e.backend.Close()
	e.platform.Close()
	if e.closeTelemetry {
		err = errors.Join(err, e.telemetry.Close(ctx))
	}
	return err
}

// pollPlatform polls the platform for the configuration and the instance list.
func (e *Entry) pollPlatform(ctx context.Context) {
	runPeriodically(ctx, pollInterval, func() {
		if err := e.refresh(ctx); err != nil && ctx.Err() == nil {
			e.logger.Warn("the platform cannot be read", "error", err)
		}
	})
}

// refresh polls the platform once. The platform sends no body for what has not
// changed since the last poll.
func (e *Entry) refresh(ctx context.Context) error {
	if err := e.refreshFleet(ctx); err != nil && !errors.Is(err, platform.ErrNotModified) {
		return err
	}
	list, tag, err := e.platform.Instances(ctx, e.instancesTag)
	if errors.Is(err, platform.ErrNotModified) {
		return nil
	}
	if err != nil {
		return err
	}
	e.instancesTag = tag
	e.loop.Submit(&entry.LeavingRunnersReceived{Leaving: leavingRunners(list)})
	return nil
}

func (e *Entry) refreshFleet(ctx context.Context) error {
	current := e.directory.version()
	f, err := e.platform.Fleet(ctx, current)
	if err != nil || f.Version <= current {
		return err
	}
	if err := f.Check(); err != nil {
		return merry.Prependf(err, "configuration %d", f.Version)
	}
	e.directory.set(f)
	e.loop.Submit(&entry.ConfigurationReceived{Fleet: f})
	e.backend.Retain(f.RunnerAddresses())
	// Read the list again: it may name leaving runners that the reducer did not
	// know before this configuration.
	e.instancesTag = ""
	e.logger.Info("configuration in force", "version", f.Version)
	return nil
}

func leavingRunners(list []platform.Instance) []runner.ID {
	var out []runner.ID
	for _, instance := range list {
		if instance.Leaving {
			out = append(out, instance.ID)
		}
	}
	return out
}

func (e *Entry) tick(ctx context.Context) {
	runPeriodically(ctx, tickInterval, func() { e.loop.Submit(&entry.Ticked{}) })
}

// runPeriodically calls f immediately and then at every interval until the
// context is done.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
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
