package caller

import (
	"net/http"
	"net/url"
	"time"

	"bronzestair/io/intake"
)

// prepare parses the request, checks it against the configuration and reads its
// body as far as it is buffered, before the reducer decides on it.
func (s *Server) prepare(ex *exchange, w http.ResponseWriter, r *http.Request) *problem {
	ex.received = time.Now()
	ex.conn = intake.FromContext(r.Context())
	if rejection := ex.conn.Rejection(r.URL.Path); rejection != nil {
		return rejectionProblem(rejection)
	}
	call, p := parseCall(r, s.trustCallerHeader)
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
	ex.request = newBackendRequest(r, ex)
	return nil
}

// newBackendRequest returns the request to forward to a backend server, without
// its body.
func newBackendRequest(r *http.Request, ex *exchange) *http.Request {
	header := r.Header
	removeHopByHopHeaders(header)
	delete(header, "Expect")
	delete(header, "Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // If the key is absent, net/http adds its own.
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
