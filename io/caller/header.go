package caller

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"bronzestair/core/book"
	"bronzestair/core/service"
)

// Headers of requests and responses.
const (
	// HeaderVerdict is set on every response: notRun, answered or mayHaveRun.
	HeaderVerdict = "Bronzestair-Verdict"
	// HeaderTimeout is the caller's request timeout, such as 1.5s.
	HeaderTimeout = "Bronzestair-Timeout"
	// HeaderUrgency is the priority class of a request: urgent, normal or batch.
	HeaderUrgency = "Bronzestair-Urgency"
	// HeaderCaller is the name of the caller. It is honoured only if the
	// settings trust it.
	HeaderCaller = "Bronzestair-Caller"
	// HeaderDeadline passes the deadline to the backend server, in RFC 3339 format.
	HeaderDeadline = "Bronzestair-Deadline"
	// HeaderIdempotencyKey is required on methods that are not idempotent.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxKeyLength    = 128 // characters
	maxCallerLength = 64  // characters
	anonymousCaller = book.Caller("anonymous")
)

// call holds the parameters of a request that are parsed from its head.
type call struct {
	service    service.ID
	path       string
	urgency    service.Urgency
	idempotent bool
	key        book.Key
	caller     book.Caller
	timeout    time.Duration
}

// parseCall parses and validates the path, method and headers of a request.
func parseCall(r *http.Request, trustCallerHeader bool) (call, *problem) {
	c := call{caller: anonymousCaller}
	if trustCallerHeader {
		if p := c.parseCaller(r.Header); p != nil {
			return c, p
		}
	}
	if p := c.parsePath(r); p != nil {
		return c, p
	}
	if p := c.parseMethod(r); p != nil {
		return c, p
	}
	if p := c.parseKey(r.Header); p != nil {
		return c, p
	}
	if p := c.parseTimeout(r.Header); p != nil {
		return c, p
	}
	return c, c.parseUrgency(r.Header)
}

func (c *call) parsePath(r *http.Request) *problem {
	escaped := r.URL.EscapedPath()
	if !strings.HasPrefix(escaped, "/") {
		return badRequest("path %q does not start with a slash", escaped)
	}
	name, rest, _ := strings.Cut(escaped[1:], "/")
	if name == "" {
		return badRequest("path %q names no service", escaped)
	}
	c.service = service.ID(name)
	c.path = "/" + rest
	return nil
}

func (c *call) parseMethod(r *http.Request) *problem {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		c.idempotent = true
	case http.MethodPost, http.MethodPatch:
		c.idempotent = false
	default:
		return newProblem(http.StatusMethodNotAllowed, "method %q is not served", r.Method)
	}
	return nil
}

func (c *call) parseKey(h http.Header) *problem {
	value, p := singleHeader(h, HeaderIdempotencyKey)
	if p != nil {
		return p
	}
	if value == "" {
		if !c.idempotent {
			return badRequest("header %s is missing: this method is not idempotent", HeaderIdempotencyKey)
		}
		return nil
	}
	if len(value) > maxKeyLength {
		return badRequest("header %s has %d characters, over %d", HeaderIdempotencyKey, len(value), maxKeyLength)
	}
	if !isVisibleASCII(value) {
		return badRequest("header %s has characters other than visible ASCII", HeaderIdempotencyKey)
	}
	c.key = book.Key(value)
	return nil
}

func (c *call) parseTimeout(h http.Header) *problem {
	value, p := singleHeader(h, HeaderTimeout)
	if p != nil || value == "" {
		return p
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return badRequest("header %s is %q, not a positive time such as 1.5s", HeaderTimeout, value)
	}
	c.timeout = d
	return nil
}

func (c *call) parseUrgency(h http.Header) *problem {
	value, p := singleHeader(h, HeaderUrgency)
	if p != nil || value == "" {
		return p
	}
	if err := c.urgency.UnmarshalText([]byte(value)); err != nil {
		return badRequest("header %s: %v", HeaderUrgency, err)
	}
	return nil
}

func (c *call) parseCaller(h http.Header) *problem {
	value, p := singleHeader(h, HeaderCaller)
	if p != nil || value == "" {
		return p
	}
	if len(value) > maxCallerLength || !isVisibleASCII(value) {
		return badRequest("header %s is not 1 to %d visible ASCII characters", HeaderCaller, maxCallerLength)
	}
	c.caller = book.Caller(value)
	return nil
}

// singleHeader returns the value of a header that may occur only once. The keys
// of h must be canonical, as those of a parsed request are.
func singleHeader(h http.Header, name string) (string, *problem) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		if values[0] == "" {
			return "", badRequest("header %s is empty", name)
		}
		return values[0], nil
	}
	return "", badRequest("header %s stands %d times", name, len(values))
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those listed
// in Connection.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range h {
		if isHopByHop(name) {
			delete(h, name)
		}
	}
}

// isHopByHop reports whether a header, in canonical form, is a hop-by-hop header
// (RFC 9110, section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
