package bronzestair_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/book"
	"bronzestair/standin"
)

// held is a backend server that answers each request when told, with the
// request's own body.
type held struct {
	arrived chan *heldRequest
}

type heldRequest struct {
	body   string
	answer chan struct{}
}

func (h *held) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := &heldRequest{body: string(body), answer: make(chan struct{})}
	h.arrived <- request
	select {
	case <-request.answer:
		fmt.Fprint(w, request.body)
	case <-time.After(testTimeout):
	}
}

// startHeld serves n runners of one slot each, all by one held backend server.
func startHeld(t *testing.T, n int) (*held, *deployment) {
	t.Helper()
	h := &held{arrived: make(chan *heldRequest, 8)}
	var d *deployment
	var servers []*standin.Server
	for range n {
		server, err := standin.Serve(h)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	switch n {
	case 1:
		d = startDeployment(t, servers[0].Address)
	default:
		d = startDeployment(t, servers[0].Address, servers[1].Address)
	}
	return h, d
}

// open starts a request with the given body, which is its key too.
func (d *deployment) open(t *testing.T, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.callers.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "POST /seats/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: %s\r\nBronzestair-Timeout: 20s\r\nContent-Length: %d\r\n\r\n%s", body, len(body), body)
	return c
}

// readAnswer reads the body of one answer.
func readAnswer(t *testing.T, c net.Conn) string {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// verdicts returns the book lines by key.
func (d *deployment) verdicts(t *testing.T) map[book.Key]string {
	t.Helper()
	out := map[book.Key]string{}
	for _, line := range d.bookLines(t) {
		out[line.Key] = strings.TrimPrefix(out[line.Key]+"+"+line.Verdict.String(), "+")
	}
	return out
}

func (d *deployment) checkVerdicts(t *testing.T, want map[book.Key]string) {
	t.Helper()
	if diff := cmp.Diff(want, d.verdicts(t)); diff != "" {
		t.Errorf("book lines (-want +got):\n%s", diff)
	}
}

// TestAnswersOutOfOrder has the second request answered before the first.
func TestAnswersOutOfOrder(t *testing.T) {
	h, d := startHeld(t, 2)
	first := d.open(t, "one")
	one := <-h.arrived
	second := d.open(t, "two")
	two := <-h.arrived
	close(two.answer)
	if got := readAnswer(t, second); got != "two" {
		t.Errorf("the second caller got %q", got)
	}
	close(one.answer)
	if got := readAnswer(t, first); got != "one" {
		t.Errorf("the first caller got %q", got)
	}
	d.stop(t)
	d.checkVerdicts(t, map[book.Key]string{"one": "answered", "two": "answered"})
}

// TestCallerLeavesQueue has a caller leave while its request waits for the one slot.
func TestCallerLeavesQueue(t *testing.T) {
	h, d := startHeld(t, 1)
	first := d.open(t, "one")
	one := <-h.arrived
	second := d.open(t, "two")
	d.await(t, func() bool { return d.entry.Status().Services[0].Queued == 1 })
	second.Close()
	d.await(t, func() bool { return d.entry.Status().Services[0].Queued == 0 })
	close(one.answer)
	readAnswer(t, first)
	d.stop(t)
	d.checkVerdicts(t, map[book.Key]string{"one": "answered", "two": "notRun"})
}

// TestCallerLeavesWhileRunning has a caller leave while its request runs. The
// slot stays taken, and the next caller gets its own answer.
func TestCallerLeavesWhileRunning(t *testing.T) {
	h, d := startHeld(t, 1)
	first := d.open(t, "one")
	one := <-h.arrived
	first.Close()
	second := d.open(t, "two")
	d.await(t, func() bool { return d.entry.Status().Services[0].Queued == 1 })
	time.Sleep(2 * callerCheck)
	close(one.answer)
	two := <-h.arrived
	close(two.answer)
	if got := readAnswer(t, second); got != "two" {
		t.Errorf("the second caller got %q", got)
	}
	d.stop(t)
	d.checkVerdicts(t, map[book.Key]string{"one": "mayHaveRun", "two": "answered"})
}

// callerCheck is longer than an entry takes to look at a caller's connection.
const callerCheck = 50 * time.Millisecond

// TestGracefulEnd ends an entry with a request in flight and one that waits.
func TestGracefulEnd(t *testing.T) {
	h, d := startHeld(t, 1)
	first := d.open(t, "one")
	one := <-h.arrived
	second := d.open(t, "two")
	d.await(t, func() bool { return d.entry.Status().Services[0].Queued == 1 })
	d.cancel()
	d.await(t, func() bool { return !d.entry.Ready() })
	d.await(t, func() bool {
		c, err := net.Dial("tcp", d.callers.String())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(one.answer)
	if got := readAnswer(t, first); got != "one" {
		t.Errorf("the caller in flight got %q", got)
	}
	two := <-h.arrived
	close(two.answer)
	if got := readAnswer(t, second); got != "two" {
		t.Errorf("the waiting caller got %q", got)
	}
	d.stop(t)
	d.checkVerdicts(t, map[book.Key]string{"one": "answered", "two": "answered"})
}

// TestLostListenerEndsEntry has the callers' address break: the entry ends and
// says why, so that it is replaced.
func TestLostListenerEndsEntry(t *testing.T) {
	_, d := startHeld(t, 1)
	d.listener.Close()
	select {
	case err := <-d.ended:
		if err == nil {
			t.Error("the entry ended without an error")
		}
	case <-time.After(testTimeout):
		t.Error("the entry goes on without its callers' address")
	}
}
