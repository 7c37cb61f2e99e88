package caller

import (
	"bronzestair/core/entry"
	"bronzestair/core/verdict"
	"bronzestair/io/backend"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// clientSpanOptions are the options of the span around an attempt.
var clientSpanOptions = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindClient)}

// attempt executes a Dispatch effect and reports its result to the reducer. A
// streamed response ends the exchange; otherwise the reducer's next effect
// decides how it continues.
func (s *Server) attempt(ctx context.Context, ex *exchange, effect entry.Effect, w http.ResponseWriter) (v verdict.Verdict, ended bool) {
	span := trace.SpanFromContext(ctx)
	if span.IsRecording() {
		ctx, span = s.tracer.Start(ctx, "backend.attempt", clientSpanOptions...)
		defer span.End()
	}
	if span.SpanContext().IsValid() {
		traceContext.Inject(ctx, propagation.HeaderCarrier(ex.request.Header))
	}
	if ex.disconnectReported {
		s.reportAttempt(ex, effect, entry.NotStarted)
		return verdict.NotRun, false
	}
	response, err := s.send(ex, effect, w)
	if err != nil {
		span.RecordError(err)
		s.logger.Debug("attempt failed", "service", ex.call.service, "runner", effect.Runner, "error", err)
		s.reportAttempt(ex, effect, resultOfError(err))
		return verdict.NotRun, false
	}
	defer response.Close()
	if !response.Complete {
		return s.streamResponse(ex, effect, response, w)
	}
	response.Close()
	ex.response = response
	s.reportAttempt(ex, effect, resultOfStatus(response.Status))
	return verdict.NotRun, false
}

// send sends one attempt to the runner of the effect.
func (s *Server) send(ex *exchange, effect entry.Effect, w http.ResponseWriter) (*backend.ServerResponse, error) {
	endpoint, ok := s.directory.Runner(effect.Runner)
	if !ok {
		return nil, backend.NotStarted(merry.Errorf("runner %q is no longer in the configuration", effect.Runner))
	}
	attempt := backend.Attempt{
		Address:      endpoint.Address,
		MaxIdleConns: endpoint.Connections,
		Request:      ex.request,
		Body:         ex.body.buffered,
		Deadline:     ex.deadline,
		NotAfter:     effect.NotAfter,
	}
	if ex.body.stream != nil {
		control := http.NewResponseController(w)
		attempt.Stream = ex.body.stream
		attempt.StopStream = func() { _ = control.SetReadDeadline(time.Now()) }
	}
	// The attempt continues after the caller disconnects, because its verdict
	// has to be recorded.
	return s.sender.Send(context.Background(), attempt)
}

// reportDisconnect tells the reducer, once, that the caller has disconnected.
// It does nothing while the connection is open.
func (s *Server) reportDisconnect(ex *exchange) {
	if ex.disconnectReported || ex.conn == nil || !ex.conn.Disconnected() {
		return
	}
	ex.disconnectReported = true
	s.loop.Submit(&entry.CallerDisconnected{Request: ex.id})
}

// reportAttempt submits the result of an attempt to the reducer.
func (s *Server) reportAttempt(ex *exchange, effect entry.Effect, result entry.Result) {
	if time.Since(ex.received) > disconnectCheckInterval {
		s.reportDisconnect(ex)
	}
	ex.attemptEnded = entry.AttemptEnded{
		Request:      ex.id,
		Attempt:      effect.Attempt,
		Result:       result,
		BodyConsumed: ex.body.consumed(),
	}
	s.loop.Submit(&ex.attemptEnded)
}

func resultOfError(err error) entry.Result {
	switch {
	case backend.IsNotStarted(err):
		return entry.NotStarted
	case backend.VerdictOf(err) == verdict.NotRun:
		return entry.NotSent
	case backend.IsTimeout(err):
		return entry.TimedOut
	default:
		return entry.Incomplete
	}
}

func resultOfStatus(status int) entry.Result {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return entry.Failed
	}
	return entry.Succeeded
}

// deliver writes a complete response to the caller and reports to the reducer
// whether the write succeeded.
func (s *Server) deliver(ex *exchange, w http.ResponseWriter) verdict.Verdict {
	response := ex.response
	writeHeader(w, response)
	_, err := w.Write(response.Buffered)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	return s.reportDelivered(ex, err == nil)
}

func (s *Server) reportDelivered(ex *exchange, complete bool) verdict.Verdict {
	ex.delivered = entry.ResponseDelivered{Request: ex.id, Complete: complete}
	s.loop.SubmitLater(&ex.delivered)
	if complete {
		return verdict.Answered
	}
	return verdict.MayHaveRun
}

// streamResponse forwards a large response while it arrives. If the response is
// truncated, the caller's connection is closed without a regular end of the body.
func (s *Server) streamResponse(ex *exchange, effect entry.Effect, response *backend.ServerResponse, w http.ResponseWriter) (v verdict.Verdict, ended bool) {
	s.reportDisconnect(ex)
	ex.started = entry.ResponseStarted{Request: ex.id, Attempt: effect.Attempt}
	s.loop.Submit(&ex.started)
	if next := <-ex.effects; next.Kind != entry.Deliver {
		response.Close()
		s.reportAttempt(ex, effect, entry.Incomplete)
		return verdict.MayHaveRun, false
	}
	writeHeader(w, response)
	_, err := w.Write(response.Buffered)
	if err == nil {
		err = response.Copy(w)
	}
	response.Close()
	result := resultOfStatus(response.Status)
	if !response.Complete {
		result = entry.Incomplete
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

// writeHeader forwards the status and headers of a response.
func writeHeader(w http.ResponseWriter, response *backend.ServerResponse) {
	h := w.Header()
	removeHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		h[name] = values
	}
	h[HeaderVerdict] = []string{verdict.Answered.String()}
	if response.Complete && h["Content-Length"] == nil && bufferedLengthApplies(response) {
		h["Content-Length"] = []string{strconv.Itoa(len(response.Buffered))}
	}
	w.WriteHeader(response.Status)
}

// bufferedLengthApplies reports whether the length of the buffered body is the
// Content-Length of the response.
func bufferedLengthApplies(response *backend.ServerResponse) bool {
	if response.Status == http.StatusNoContent || response.Status == http.StatusNotModified {
		return false
	}
	return len(response.Buffered) > 0 || response.Header.Get("Content-Length") == ""
}
