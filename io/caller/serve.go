package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bronzestair/core/entry"
	"bronzestair/core/verdict"
	"bronzestair/io/intake"
)

// disconnectCheckInterval is how often the connection of a waiting caller is
// checked for a disconnect.
const disconnectCheckInterval = 20 * time.Millisecond

// maxEffectSpins is the number of polls of the effect channel before the goroutine
// blocks on it.
const maxEffectSpins = 1000

// deadlineRecheckInterval is the delay before a deadline is reported again that
// the reducer's clock had not reached yet.
const deadlineRecheckInterval = 5 * time.Millisecond

// serverSpanOptions are the options of the span around a request.
var serverSpanOptions = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindServer)}

// traceParentHeader is the W3C Trace Context header, in canonical form.
const traceParentHeader = "Traceparent"

var traceContext propagation.TraceContext

// serve handles one request from its head to the end of the response.
func (s *Server) serve(c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	ctx, span := s.startTrace(r)
	defer span.End()

	if s.books.Full() {
		return s.refuseUnbooked(w, r)
	}
	ex := s.exchanges.open()
	defer s.exchanges.release(ex)
	if p := s.prepare(ex, w, r); p != nil {
		s.recordRejected(ex)
		return p.write(w)
	}
	v := s.process(ctx, ex, w)
	s.metrics.record(ex.call.service, v, time.Since(ex.received))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("service", string(ex.call.service)),
			attribute.String("verdict", v.String()),
		)
	}
	return nil
}

// refuseUnbooked refuses a request for which the books have no room, and closes its connection.
func (s *Server) refuseUnbooked(w http.ResponseWriter, r *http.Request) error {
	if rejection := intake.FromContext(r.Context()).Rejection(r.URL.Path); rejection != nil {
		return rejectionProblem(rejection).write(w)
	}
	w.Header().Set(echo.HeaderConnection, "close")
	return (&problem{
		Title: http.StatusText(http.StatusServiceUnavailable), Status: http.StatusServiceUnavailable,
		Reason: "booksFull", Verdict: verdict.NotRun,
	}).write(w)
}

// startTrace continues the caller's trace. Requests without a trace are sampled
// at the trace ratio; unsampled ones get a no-op span, which costs nothing.
func (s *Server) startTrace(r *http.Request) (context.Context, trace.Span) {
	ctx := r.Context()
	_, traced := r.Header[traceParentHeader]
	if !traced && rand.Float64() >= s.traceRatio {
		return ctx, noop.Span{}
	}
	ctx = traceContext.Extract(ctx, propagation.HeaderCarrier(r.Header))
	return s.tracer.Start(ctx, "caller.request", serverSpanOptions...)
}

// recordRejected adds the book line of a request to a known service that was
// rejected before it reached the reducer.
func (s *Server) recordRejected(ex *exchange) {
	if _, ok := s.directory.Service(ex.call.service); ok {
		s.books.Add(ex.bookLine(verdict.NotRun))
	}
}

// process submits the request to the reducer and executes the resulting effects
// until the exchange has ended.
func (s *Server) process(ctx context.Context, ex *exchange, w http.ResponseWriter) verdict.Verdict {
	ex.arrived = entry.RequestArrived{
		Request:    ex.id,
		Service:    ex.call.service,
		Urgency:    ex.call.urgency,
		Idempotent: ex.call.idempotent,
		Deadline:   ex.deadline,
	}
	ex.refs.Add(1)
	s.loop.Submit(&ex.arrived)
	for {
		effect := s.awaitEffect(ex)
		switch effect.Kind {
		case entry.Dispatch:
			if v, ended := s.attempt(ctx, ex, effect, w); ended {
				return v
			}
		case entry.Deliver:
			return s.deliver(ex, w)
		case entry.Refuse:
			_ = refusalProblem(effect.Reason, effect.Verdict).write(w)
			return effect.Verdict
		default:
			return effect.Verdict
		}
	}
}

// awaitEffect returns the next effect for the exchange. While it waits, it
// reports to the reducer that the deadline has passed or the caller has
// disconnected.
func (s *Server) awaitEffect(ex *exchange) entry.Effect {
	// Another goroutine may be about to reduce the event. Spinning briefly is
	// cheaper than blocking and being woken up.
	for range maxEffectSpins {
		if len(ex.effects) > 0 {
			return <-ex.effects
		}
	}
	waitStart := time.Now()
	timer := ex.startTimer(nextCheckDelay(ex.deadline))
	defer timer.Stop()
	for {
		select {
		case effect := <-ex.effects:
			if time.Since(waitStart) > disconnectCheckInterval {
				s.reportDisconnect(ex)
			}
			return effect
		case <-timer.C:
			s.reportDisconnect(ex)
			if !time.Now().Before(ex.deadline) {
				s.loop.Submit(&entry.DeadlinePassed{Request: ex.id})
			}
			timer.Reset(nextCheckDelay(ex.deadline))
		}
	}
}

// nextCheckDelay returns the time until the deadline and the connection of a
// waiting request are checked again.
func nextCheckDelay(deadline time.Time) time.Duration {
	return min(disconnectCheckInterval, max(time.Until(deadline), deadlineRecheckInterval))
}
