package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/intake"
)

// testTimeout limits each test's wait for a response.
const testTimeout = 20 * time.Second

// generous are limits that no test reaches.
var generous = Limits{
	HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, StallTimeout: time.Minute,
	RateGracePeriod: time.Minute, WriteTimeout: time.Minute,
}

// served is a server behind a gate.
type served struct {
	server  *http.Server
	gate    *Gate
	address string
}

// serve starts a server whose handler responds to /wait after release is closed, to /flood with
// 100 MB, and to other requests with the length of their body.
func serve(t *testing.T, b intake.Budget, limits Limits, release <-chan struct{}) *served {
	t.Helper()
	gate := NewGate(Options{Budget: b, Limits: func() Limits { return limits }})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		if rejection := conn.Rejection(r.URL.Path); rejection != nil {
			w.WriteHeader(rejection.Status)
			return
		}
		body, err := io.ReadAll(r.Body)
		var givenUp *Error
		switch {
		case errors.As(err, &givenUp):
			w.Header().Set("Connection", "close")
			w.WriteHeader(givenUp.Status())
			return
		case err != nil:
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/flood" {
			for range 1000 {
				if _, err := w.Write(make([]byte, 100_000)); err != nil {
					return
				}
			}
		}
		if r.URL.Path == "/wait" {
			select {
			case <-release:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
	})
	server := &http.Server{Handler: handler}
	gate.Install(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(gate.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return &served{server: server, gate: gate, address: l.Addr().String()}
}

// dial connects and sends text.
func (s *served) dial(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// next returns the status and the body of the next response, or the error.
func next(r *bufio.Reader) string {
	response, err := http.ReadResponse(r, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "no response in time"
	}
	if err != nil {
		return "closed"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "closed"
	}
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for a condition")
		}
	}
}

const post = "POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n%s"

// TestRequestsOnOneConnection guards against a connection that loses its place between
// requests: keep-alive, pipelined requests, heads in pieces, chunks, and 100-continue.
func TestRequestsOnOneConnection(t *testing.T) {
	s := serve(t, intake.BudgetFor(0, 0), generous, nil)
	long := strings.Repeat("x", 100_000)
	pipelined := fmt.Sprintf(post, "a", 2, "", "xx") + fmt.Sprintf(post, "b", len(long), "", long) + "GET /c HTTP/1.1\r\nHost: a\r\n\r\n" +
		"POST /d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
	c, r := s.dial(t, "")
	go func() {
		for text := pipelined + pipelined; text != ""; {
			n := min(len(text), 3000)
			_, _ = io.WriteString(c, text[:n]) // a failure shows in the responses
			text = text[n:]
		}
	}()
	var got []string
	for range 8 {
		got = append(got, next(r))
	}
	round := []string{"200 /a 2", "200 /b 100000", "200 /c 0", "200 /d 4"}
	if diff := cmp.Diff(append(round, round...), got); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	_, _ = fmt.Fprintf(c, post, "e", 3, "Expect: 100-continue\r\n", "")
	if got := next(r); got != "100 " {
		t.Fatalf("response %q to Expect", got)
	}
	_, _ = io.WriteString(c, "abc")
	if got := next(r); got != "200 /e 3" {
		t.Errorf("response %q after 100-continue", got)
	}
	waitFor(t, func() bool {
		return cmp.Equal(s.gate.Used(), intake.Budget{Bytes: intake.ConnectionCost, Connections: 1})
	})
	_ = c.Close()
	waitFor(t, func() bool { return cmp.Equal(s.gate.Used(), intake.Budget{}) })
}

// TestPressureSparesCompleteRequests guards against closing connections whose requests are
// being carried out, and against a small newcomer that is not let in by stalled ones.
func TestPressureSparesCompleteRequests(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, intake.Budget{Bytes: 100 * intake.MiB, Connections: 8}, generous, release)
	// Each request arrives before the next connection is opened: one of which nothing has
	// arrived since is closed before those that have made progress later.
	arrive := func(request string) *bufio.Reader {
		before := s.gate.Used()
		_, r := s.dial(t, request)
		waitFor(t, func() bool {
			used := s.gate.Used()
			return used.Connections == before.Connections+1 && used.Bytes > before.Bytes+intake.ConnectionCost
		})
		return r
	}
	var waiting, stalled []*bufio.Reader
	for range 3 {
		waiting = append(waiting, arrive(fmt.Sprintf(post, "wait", 1, "", "x")))
	}
	for range 5 {
		stalled = append(stalled, arrive(fmt.Sprintf(post, "stalled", 1000, "", "x")))
	}
	for range 20 {
		c, r := s.dial(t, fmt.Sprintf(post, "small", 1, "Connection: close\r\n", "x"))
		if got := next(r); got != "200 /small 1" {
			t.Fatalf("a newcomer got %q", got)
		}
		_ = c.Close()
	}
	close(release)
	for _, r := range waiting {
		if got := next(r); got != "200 /wait 1" {
			t.Errorf("a request in flight got %q", got)
		}
	}
	if got := next(stalled[0]); got != "closed" {
		t.Errorf("the first stalled request got %q", got)
	}
}

// TestInvalidSuccessor guards against a request in flight that is closed, cancelled or left
// without an answer because what follows it on the connection is invalid or has no room.
func TestInvalidSuccessor(t *testing.T) {
	for name, test := range map[string]struct{ successor, want string }{
		"invalid":   {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400 "},
		"no room":   {fmt.Sprintf(post, "large", 200_000, "", strings.Repeat("x", 200_000)), "503 "},
		"half head": {"GET / HTTP/1.1\r\n", ""},
	} {
		for _, together := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " at once ", together), func(t *testing.T) {
				release := make(chan struct{})
				s := serve(t, intake.Budget{Bytes: 4 * intake.ConnectionCost, Connections: 3}, generous, release)
				first := fmt.Sprintf(post, "wait", 1, "", "x")
				if together {
					first += test.successor
				}
				c, r := s.dial(t, first)
				waitFor(t, func() bool { return s.gate.Used().Bytes > intake.ConnectionCost })
				if !together {
					go func() { _, _ = io.WriteString(c, test.successor) }() // it may be closed before the end
				}
				for range 5 {
					newcomer, newcomerReader := s.dial(t, fmt.Sprintf(post, "small", 1, "Connection: close\r\n", "x"))
					_ = next(newcomerReader) // refused if the budget is used up
					_ = newcomer.Close()
				}
				close(release)
				if got := next(r); got != "200 /wait 1" {
					t.Errorf("the request in flight got %q", got)
				}
				if test.want == "" {
					return
				}
				if got := next(r); got != test.want {
					t.Errorf("its successor got %q, want %q", got, test.want)
				}
			})
		}
	}
}

// TestRefusalIsDefinite guards against requests that are handed on although they are refused:
// complete requests use up the budget, so a large one gets 503, before and after its head was
// handed on.
func TestRefusalIsDefinite(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, intake.Budget{Bytes: 8 * intake.ConnectionCost, Connections: 100}, generous, release)
	body := strings.Repeat("x", 60_000)
	_, first := s.dial(t, fmt.Sprintf(post, "wait", len(body), "", body))
	waitFor(t, func() bool { return s.gate.Used().Bytes > 3*intake.ConnectionCost })
	_, second := s.dial(t, fmt.Sprintf(post, "large", 4*len(body), "", strings.Repeat(body, 4)))
	if got := next(second); got != "503 " {
		t.Errorf("a request beyond the budget got %q", got)
	}
	close(release)
	if got := next(first); got != "200 /wait 60000" {
		t.Errorf("the request in flight got %q", got)
	}
}

// TestTimeouts guards against heads, bodies and connections that stop, and bodies that arrive
// far too slowly.
func TestTimeouts(t *testing.T) {
	const short = 60 * time.Millisecond
	for name, test := range map[string]struct {
		change       func(*Limits)
		sent, want   string
		reason       intake.Reason
		keepsSending bool
	}{
		"idle":    {func(l *Limits) { l.IdleTimeout = short }, "", "closed", intake.IdleTimeout, false},
		"head":    {func(l *Limits) { l.HeaderTimeout = short }, "GET / HTTP/1.1\r\n", "closed", intake.HeadTimeout, false},
		"stalled": {func(l *Limits) { l.StallTimeout = short }, fmt.Sprintf(post, "x", 10, "", "x"), "408 ", intake.BodyTimeout, false},
		"slow": {func(l *Limits) { l.MinBodyRate, l.RateGracePeriod = 1e6, short }, fmt.Sprintf(post, "x", 100_000, "", "x"), "408 ",
			intake.SlowBody, true},
	} {
		t.Run(name, func(t *testing.T) {
			limits := generous
			test.change(&limits)
			s := serve(t, intake.BudgetFor(0, 0), limits, nil)
			c, r := s.dial(t, test.sent)
			if test.keepsSending {
				go func() {
					for {
						if _, err := io.WriteString(c, "x"); err != nil {
							return
						}
						time.Sleep(time.Millisecond)
					}
				}()
			}
			if got := next(r); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			counted := map[intake.Reason]int64{}
			s.gate.Counts(func(reason intake.Reason, n int64) { counted[reason] = n })
			if diff := cmp.Diff(map[intake.Reason]int64{test.reason: 1}, counted); diff != "" {
				t.Errorf("counted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnreadAnswer guards against callers that never read their answers.
func TestUnreadAnswer(t *testing.T) {
	limits := generous
	limits.WriteTimeout = 60 * time.Millisecond
	s := serve(t, intake.BudgetFor(0, 0), limits, nil)
	s.dial(t, fmt.Sprintf(post, "flood", 1, "", "x"))
	waitFor(t, func() bool {
		found := false
		s.gate.Counts(func(reason intake.Reason, _ int64) { found = found || reason == intake.WriteTimeout })
		return found && s.gate.Used().Connections == 0
	})
}

// TestShutdownCompletesRequests guards against a shutdown that cuts requests in flight, or
// that waits for idle connections.
func TestShutdownCompletesRequests(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, intake.BudgetFor(0, 0), generous, release)
	_, idle := s.dial(t, fmt.Sprintf(post, "small", 1, "", "x"))
	if got := next(idle); got != "200 /small 1" {
		t.Fatalf("got %q", got)
	}
	_, inFlight := s.dial(t, fmt.Sprintf(post, "wait", 1, "", "x"))
	waitFor(t, func() bool { return s.gate.Used().Bytes > 2*intake.ConnectionCost })
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Shutdown(t.Context()) }()
	if got := next(idle); got != "closed" {
		t.Errorf("the idle connection got %q", got)
	}
	close(release)
	if got := next(inFlight); got != "200 /wait 1" {
		t.Errorf("the request in flight got %q", got)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
