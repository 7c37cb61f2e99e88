package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bronzestair/core/book"
	"bronzestair/core/entry"
	"bronzestair/core/verdict"
	"bronzestair/io/backend"
)

// callerCheck is how often a waiting caller's connection is looked at.
const callerCheck = 20 * time.Millisecond

// effectSpins is how often an effect is looked for before the goroutine sleeps.
const effectSpins = 1000

// deadlineRecheck is when a deadline is reported again that the reducer's clock had not reached.
const deadlineRecheck = 5 * time.Millisecond

// The options of the spans of a request.
var (
	serverSpan = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindServer)}
	clientSpan = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindClient)}
)

// traceParent is the header of the W3C trace context, in canonical form.
const traceParent = "Traceparent"

var traceContext propagation.TraceContext

// serve takes one request from its head to the end of its answer.
func (s *Server) serve(c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	ctx, span := s.startTrace(r)
	defer span.End()

	ex := s.exchanges.open()
	defer s.exchanges.release(ex)
	if p := s.prepare(ex, w, r); p != nil {
		s.recordUnfit(ex)
		return p.write(w)
	}
	v := s.run(ctx, ex, w)
	s.metrics.record(ex.call.service, v, time.Since(ex.received))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("service", string(ex.call.service)),
			attribute.String("verdict", v.String()),
		)
	}
	return nil
}

// startTrace continues the caller's trace. A request without one gets one at
// the trace ratio; the others cost nothing.
func (s *Server) startTrace(r *http.Request) (context.Context, trace.Span) {
	ctx := r.Context()
	_, traced := r.Header[traceParent]
	if !traced && rand.Float64() >= s.traceRatio {
		return ctx, noop.Span{}
	}
	ctx = traceContext.Extract(ctx, propagation.HeaderCarrier(r.Header))
	return s.tracer.Start(ctx, "caller.request", serverSpan...)
}

// recordUnfit writes the line of a request to a known service that was
// refused before it was decided on.
func (s *Server) recordUnfit(ex *exchange) {
	if _, ok := s.directory.Service(ex.call.service); ok {
		s.books.Add(book.Line{
			Caller:  ex.call.caller,
			Service: ex.call.service,
			Key:     ex.call.key,
			Verdict: verdict.NotRun,
			At:      time.Now(),
		})
	}
}

// prepare reads the request as far as it has to be known before it is decided on.
func (s *Server) prepare(ex *exchange, w http.ResponseWriter, r *http.Request) *problem {
	ex.received = time.Now()
	ex.conn = connOf(r.Context())
	if r.URL.Path == refusedPath && ex.conn != nil && ex.conn.refusal != nil {
		return ex.conn.refusal
	}
	call, p := parseCall(r, s.trustCaller)
	ex.call = call
	if p != nil {
		return p
	}
	svc, ok := s.directory.Service(call.service)
	if !ok {
		return newProblem(http.StatusNotFound, "service %q does not exist", call.service)
	}
	if call.timeout == 0 {
		call.timeout = svc.DefaultTimeout()
	}
	if call.timeout > svc.LongestTimeout() {
		return badRequest("header %s is %v, over %v of service %q", HeaderTimeout, call.timeout, svc.LongestTimeout(), svc.ID)
	}
	ex.call.timeout = call.timeout
	ex.deadline = ex.received.Add(call.timeout)
	if r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(w, r.Body, s.limits.BodyBytes)
	}
	ex.body, p = readBody(r, s.limits.BodyBytes)
	if p != nil {
		return p
	}
	ex.request = outgoing(r, ex)
	return nil
}

// outgoing returns the head that goes to a backend server.
func outgoing(r *http.Request, ex *exchange) *http.Request {
	header := r.Header
	dropHopHeaders(header)
	delete(header, "Expect")
	delete(header, "Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // An absent key would make the library add its own.
	}
	header[HeaderDeadline] = []string{ex.deadline.UTC().Format(time.RFC3339Nano)}
	header[HeaderCaller] = []string{string(ex.call.caller)}
	path, err := url.PathUnescape(ex.call.path)
	if err != nil {
		path = ex.call.path
	}
	return &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Path: path, RawPath: ex.call.path, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        header,
		ContentLength: ex.body.length,
	}
}

// run submits the request and does what the reducer says until it has ended.
func (s *Server) run(ctx context.Context, ex *exchange, w http.ResponseWriter) verdict.Verdict {
	ex.arrived = entry.Arrived{
		Request:    ex.id,
		Service:    ex.call.service,
		Urgency:    ex.call.urgency,
		Idempotent: ex.call.idempotent,
		Deadline:   ex.deadline,
	}
	ex.users.Add(1)
	s.loop.Submit(&ex.arrived)
	for {
		effect := s.await(ex)
		switch effect.Kind {
		case entry.Dispatch:
			if v, ended := s.attempt(ctx, ex, effect, w); ended {
				return v
			}
		case entry.Deliver:
			return s.deliver(ex, w)
		case entry.Refuse:
			_ = refusal(effect.Reason, effect.Verdict).write(w)
			return effect.Verdict
		default:
			return effect.Verdict
		}
	}
}

// await returns the next effect for the exchange. Meanwhile it reports the
// deadline and the caller's leaving.
func (s *Server) await(ex *exchange) entry.Effect {
	// Another goroutine may be about to reduce the event. Looking a little longer
	// is cheaper than to sleep and be woken.
	for range effectSpins {
		if len(ex.effects) > 0 {
			return <-ex.effects
		}
	}
	began := time.Now()
	timer := ex.startTimer(nextCheck(ex.deadline))
	defer timer.Stop()
	for {
		select {
		case effect := <-ex.effects:
			if time.Since(began) > callerCheck {
				s.reportCaller(ex)
			}
			return effect
		case <-timer.C:
			s.reportCaller(ex)
			if !time.Now().Before(ex.deadline) {
				s.loop.Submit(&entry.DeadlinePassed{Request: ex.id})
			}
			timer.Reset(nextCheck(ex.deadline))
		}
	}
}

// nextCheck returns when a waiting request is looked after again.
func nextCheck(deadline time.Time) time.Duration {
	return min(callerCheck, max(time.Until(deadline), deadlineRecheck))
}

// attempt carries out a dispatch and reports how it ended. A streamed answer
// ends the exchange; otherwise the reducer's next effect says what to do.
func (s *Server) attempt(ctx context.Context, ex *exchange, effect entry.Effect, w http.ResponseWriter) (v verdict.Verdict, ended bool) {
	span := trace.SpanFromContext(ctx)
	if span.IsRecording() {
		ctx, span = s.tracer.Start(ctx, "backend.attempt", clientSpan...)
		defer span.End()
	}
	if span.SpanContext().IsValid() {
		traceContext.Inject(ctx, propagation.HeaderCarrier(ex.request.Header))
	}
	if ex.left {
		s.reportAttempt(ex, effect, entry.NotSent)
		return verdict.NotRun, false
	}
	answer, err := s.send(ex, effect, w)
	if err != nil {
		span.RecordError(err)
		s.logger.Debug("attempt failed", "service", ex.call.service, "runner", effect.Runner, "error", err)
		s.reportAttempt(ex, effect, resultOf(err))
		return verdict.NotRun, false
	}
	defer answer.Close()
	if !answer.Whole {
		return s.stream(ex, effect, answer, w)
	}
	answer.Close()
	ex.answer = answer
	s.reportAttempt(ex, effect, resultOfStatus(answer.Status))
	return verdict.NotRun, false
}

// send sends one attempt.
func (s *Server) send(ex *exchange, effect entry.Effect, w http.ResponseWriter) (*backend.Answer, error) {
	endpoint, ok := s.directory.Runner(effect.Runner)
	if !ok {
		return nil, &backend.Error{Verdict: verdict.NotRun}
	}
	attempt := backend.Attempt{
		Address:  endpoint.Address,
		MaxIdle:  endpoint.Connections,
		Request:  ex.request,
		Body:     ex.body.held,
		Deadline: ex.deadline,
		NotAfter: effect.NotAfter,
	}
	if ex.body.stream != nil {
		control := http.NewResponseController(w)
		attempt.Stream = ex.body.stream
		attempt.StopStream = func() { _ = control.SetReadDeadline(time.Now()) }
	}
	// The attempt goes on when the caller leaves: its verdict must be known.
	return s.sender.Send(context.Background(), attempt)
}

// reportCaller tells the reducer if the caller has left.
func (s *Server) reportCaller(ex *exchange) {
	if ex.left || ex.conn == nil || !ex.conn.gone() {
		return
	}
	ex.left = true
	s.loop.Submit(&entry.CallerLeft{Request: ex.id})
}

// reportAttempt tells the reducer how an attempt ended.
func (s *Server) reportAttempt(ex *exchange, effect entry.Effect, result entry.Result) {
	if time.Since(ex.received) > callerCheck {
		s.reportCaller(ex)
	}
	ex.attempted = entry.AttemptEnded{
		Request:  ex.id,
		Attempt:  effect.Attempt,
		Result:   result,
		Consumed: ex.body.consumed(),
	}
	s.loop.Submit(&ex.attempted)
}

func resultOf(err error) entry.Result {
	switch {
	case backend.VerdictOf(err) == verdict.NotRun:
		return entry.NotSent
	case backend.IsTimeout(err):
		return entry.TimedOut
	default:
		return entry.Broken
	}
}

func resultOfStatus(status int) entry.Result {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return entry.Failed
	}
	return entry.Succeeded
}

// deliver writes a whole answer and reports whether the caller's connection took it.
func (s *Server) deliver(ex *exchange, w http.ResponseWriter) verdict.Verdict {
	answer := ex.answer
	writeHead(w, answer)
	_, err := w.Write(answer.Held)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	return s.reportDelivered(ex, err == nil)
}

func (s *Server) reportDelivered(ex *exchange, whole bool) verdict.Verdict {
	ex.done = entry.Delivered{Request: ex.id, Whole: whole}
	s.loop.Submit(&ex.done)
	if whole {
		return verdict.Answered
	}
	return verdict.MayHaveRun
}

// stream passes a large answer on while it comes. A caller whose answer is cut
// off sees its connection break.
func (s *Server) stream(ex *exchange, effect entry.Effect, answer *backend.Answer, w http.ResponseWriter) (v verdict.Verdict, ended bool) {
	s.reportCaller(ex)
	ex.started = entry.AnswerStarted{Request: ex.id, Attempt: effect.Attempt}
	s.loop.Submit(&ex.started)
	if next := <-ex.effects; next.Kind != entry.Deliver {
		answer.Close()
		s.reportAttempt(ex, effect, entry.Broken)
		return verdict.MayHaveRun, false
	}
	writeHead(w, answer)
	_, err := w.Write(answer.Held)
	if err == nil {
		err = answer.Copy(w)
	}
	answer.Close()
	result := resultOfStatus(answer.Status)
	if !answer.Whole {
		result = entry.Broken
	}
	s.reportAttempt(ex, effect, result)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	v = s.reportDelivered(ex, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return v, true
}

// writeHead passes the head of an answer on.
func writeHead(w http.ResponseWriter, answer *backend.Answer) {
	h := w.Header()
	dropHopHeaders(answer.Header)
	for name, values := range answer.Header {
		h[name] = values
	}
	h[HeaderVerdict] = []string{verdict.Answered.String()}
	if answer.Whole && bodyAllowed(answer) {
		h["Content-Length"] = []string{strconv.Itoa(len(answer.Held))}
	}
	w.WriteHeader(answer.Status)
}

// bodyAllowed reports whether the length of the held body is the length of the answer.
func bodyAllowed(answer *backend.Answer) bool {
	if answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified {
		return false
	}
	return len(answer.Held) > 0 || answer.Header.Get("Content-Length") == ""
}
