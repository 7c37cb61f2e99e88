// Package caller serves callers over HTTP/1.1.
//
// The first path segment names the service; the rest of the path is forwarded to
// the backend server. Every response carries the header Bronzestair-Verdict, and
// every response that does not come from a backend server is a problem document
// (RFC 9457): the server rejects requests that are invalid, and the reducer refuses
// valid ones that cannot be served. If a response cannot be delivered completely,
// the connection is closed without the end of the body: a caller that sees the end
// of a response has all of it.
//
// # Usage
//
//	server := caller.NewServer(loop, backend.NewClient(), directory, books)
//	loop.Register(server, bronzestair.DefaultPriority)
//	if err := server.Serve(listener); err != nil {
//		return err
//	}
package caller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bronzestair/core/book"
	"bronzestair/core/entry"
	coreintake "bronzestair/core/intake"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/io/backend"
	"bronzestair/io/intake"
)

// Loop runs the reducer and dispatches its effects.
type Loop interface {
	// Submit queues an event to be reduced and its effects to be handled. It may
	// return before that has happened, so the event must not be modified until an
	// effect shows that it was reduced.
	Submit(entry.Event)
	// SubmitLater queues an event to be reduced together with the next event
	// passed to Submit.
	SubmitLater(entry.Event)
}

// Sender sends attempts to backend servers.
type Sender interface {
	Send(context.Context, backend.Attempt) (*backend.ServerResponse, error)
}

// Directory looks up services and runners in the configuration in force.
type Directory interface {
	Service(service.ID) (service.Service, bool)
	Runner(runner.ID) (Endpoint, bool)
}

// Endpoint is the address of a runner and the number of idle connections that this
// entry may keep to it. Connections becomes backend.Attempt.MaxIdleConns.
type Endpoint struct {
	Address     netip.AddrPort
	Connections int
}

// Books receives the accounting record (see package core/book) of each request when
// it ends. Requests that are rejected before their service is known have none.
type Books interface {
	Add(book.Line)
	// Full reports whether the books take no lines of further requests for now. Such requests are
	// refused before their service is known.
	Full() bool
}

// Limits restricts the size, duration and number of callers' requests and
// connections. Zero fields are replaced by the defaults.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	Connections int
	// HeaderTimeout limits the time that a caller takes to send a request head.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time that a caller takes to send a body.
	BodyTimeout time.Duration
	// WriteTimeout limits, within a factor of two, the time that a caller takes
	// to accept bytes of a response.
	WriteTimeout time.Duration
	// IdleTimeout limits the time between two requests on a connection.
	IdleTimeout time.Duration
}

const (
	defaultBodyBytes     = 64 << 20
	defaultHeaderBytes   = 16 << 10
	defaultConnections   = 4096
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultWriteTimeout  = 30 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.Connections == 0 {
		l.Connections = defaultConnections
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = defaultBodyTimeout
	}
	if l.WriteTimeout == 0 {
		l.WriteTimeout = defaultWriteTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// intake returns the limits that apply before a request is handed to the handler.
func (l Limits) intake() intake.Limits {
	return intake.Limits{
		HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, BodyTimeout: l.BodyTimeout,
		WriteTimeout: l.WriteTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// Server serves callers. Use NewServer.
type Server struct {
	loop              Loop
	sender            Sender
	directory         Directory
	books             Books
	limits            Limits
	trustCallerHeader bool
	tracer            trace.Tracer
	traceRatio        float64
	metrics           *metrics
	logger            *slog.Logger
	exchanges         exchanges
	http              *http.Server
	budget            coreintake.Budget
	gate              *intake.Gate
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithTrustedCallerHeader sets whether the caller's name is taken from the
// header Bronzestair-Caller. By default callers are anonymous.
func WithTrustedCallerHeader(trust bool) Option {
	return func(s *Server) { s.trustCallerHeader = trust }
}

// WithTracer sets the tracer, and the sampling ratio from 0 to 1 for requests
// without a trace.
func WithTracer(t trace.Tracer, ratio float64) Option {
	return func(s *Server) {
		s.tracer = t
		s.traceRatio = ratio
	}
}

// WithBudget sets the memory and the number of connections that callers may use together.
// By default they are practically unlimited.
func WithBudget(b coreintake.Budget) Option { return func(s *Server) { s.budget = b } }

// Gate returns the gate that holds the callers' connections. Other servers of the process may
// use it too.
func (s *Server) Gate() *intake.Gate { return s.gate }

// WithMeter sets the meter for the server's metrics.
func WithMeter(m metric.Meter) Option { return func(s *Server) { s.metrics = newMetrics(m) } }

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(s *Server) { s.logger = l } }

// NewServer returns a server. Call Serve to start it.
func NewServer(loop Loop, sender Sender, directory Directory, books Books, options ...Option) *Server {
	s := &Server{
		loop: loop, sender: sender, directory: directory, books: books, budget: coreintake.BudgetFor(0, 0),
		tracer: noop.NewTracerProvider().Tracer("caller"),
		logger: slog.New(slog.DiscardHandler),
	}
	for _, option := range options {
		option(s)
	}
	s.limits = s.limits.withDefaults()
	e := echo.New()
	e.Any("/*", s.serve)
	e.HTTPErrorHandler = handleUnrouted
	s.http = &http.Server{
		Handler: e,
		// OPTIONS * is rejected like every target that is not a path.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
	}
	limits := s.limits.intake()
	s.gate = intake.NewGate(intake.Options{
		Budget: s.budget, Limits: func() intake.Limits { return limits }, ChecksDisconnect: true, Logger: s.logger,
	})
	s.gate.Install(s.http)
	return s
}

// handleUnrouted responds to requests that the route of NewServer does not match: those
// whose target has no path that starts with a slash, such as * or http://host, and
// those with a method that echo.Any does not register.
func handleUnrouted(_ error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := badRequest("target %q is no path", c.Request().RequestURI)
	if c.Request().Method == http.MethodConnect || strings.HasPrefix(c.Request().RequestURI, "/") {
		p = newProblem(http.StatusMethodNotAllowed, "method %q is not served", c.Request().Method)
	}
	_ = p.write(c.Response())
}

// Serve accepts connections on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(s.gate.Listener(newListener(l, s.limits.Connections)))
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and returns once no request is in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Handle is called by the loop. It executes an effect or passes it to the
// goroutine of its exchange.
func (s *Server) Handle(effect entry.Effect) {
	ex := s.exchanges.find(effect.Request)
	if effect.Kind == entry.Record {
		s.books.Add(ex.bookLine(effect.Verdict))
		s.exchanges.release(ex)
		return
	}
	ex.effects <- effect
}

// Kinds returns the kinds of effects that Handle accepts.
func (s *Server) Kinds() []entry.EffectKind {
	return []entry.EffectKind{entry.Dispatch, entry.Refuse, entry.Deliver, entry.Discard, entry.Record}
}
