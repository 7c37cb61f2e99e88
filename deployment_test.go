package bronzestair_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"bronzestair"
	"bronzestair/core/book"
	"bronzestair/core/fleet"
	"bronzestair/core/period"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/settings"
	"bronzestair/io/platform"
	"bronzestair/standin"
)

// deployment is one entry, a stand-in of the platform, and a caller.
type deployment struct {
	platform *standin.Platform
	reader   *platform.Client
	entry    *bronzestair.Entry
	callers  netip.AddrPort
	peers    net.Listener
	listener net.Listener
	client   *http.Client
	cancel   context.CancelFunc
	ended    chan error
	log      syncBuffer
}

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// span is a span as a log line shows it.
type span struct {
	Msg, Name, TraceID, SpanID, ParentSpanID string
}

// spans returns the spans of an entry that has ended.
func (d *deployment) spans(t *testing.T) []span {
	t.Helper()
	var out []span
	for decoder := json.NewDecoder(&d.log.Buffer); ; {
		var s span
		if err := decoder.Decode(&s); err != nil {
			return out
		}
		if s.Msg == "span" {
			out = append(out, s)
		}
	}
}

// startDeployment serves the service seats on runners of one slot each.
func startDeployment(t *testing.T, runners ...netip.AddrPort) *deployment {
	t.Helper()
	return startDeploymentWith(t, func(*settings.Settings) {}, runners...)
}

// startDeploymentWith does the same with changed settings.
func startDeploymentWith(t *testing.T, change func(*settings.Settings), runners ...netip.AddrPort) *deployment {
	t.Helper()
	f := fleet.Fleet{
		Entries:  []fleet.Entry{{ID: "entry-1", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}},
		Defaults: service.Limits{MaxTimeout: period.Period(time.Minute)},
		Services: []service.Service{{ID: "seats", Pool: "seats"}},
	}
	for i, address := range runners {
		id := runner.ID(fmt.Sprintf("seats-%d", i+1))
		f.Runners = append(f.Runners, runner.Runner{ID: id, Pool: "seats", Address: address, Slots: 1})
	}
	d := newDeployment(standin.NewPlatform(0))
	if err := d.platform.SetFleet(f); err != nil {
		t.Fatal(err)
	}
	d.serve(t, change)
	return d
}

// newDeployment returns one that is not served yet.
func newDeployment(stand *standin.Platform) *deployment {
	return &deployment{
		platform: stand,
		client:   &http.Client{Transport: &http.Transport{}},
		ended:    make(chan error, 1),
	}
}

// serve serves the platform and the entry, and waits until the entry is ready.
func (d *deployment) serve(t *testing.T, change func(*settings.Settings)) {
	t.Helper()
	server, err := standin.Serve(d.platform)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	t.Cleanup(d.client.CloseIdleConnections)
	d.reader = platform.NewClient(server.Address)
	s := settings.Default()
	s.PlatformAddress = server.Address
	s.DrainDelay = 0
	s.MaxHeaderBytes = 2048
	s.MaxBodyBytes = 4_000_000
	change(&s)
	callers, operators := loopback(t), loopback(t)
	if d.peers == nil {
		d.peers = loopback(t)
	}
	d.entry, err = bronzestair.New(bronzestair.WithSettings(s),
		bronzestair.WithLogger(slog.New(slog.NewJSONHandler(&d.log, nil))),
		bronzestair.WithCallerListener(callers),
		bronzestair.WithOperatorListener(operators),
		bronzestair.WithPeerListener(d.peers))
	if err != nil {
		t.Fatal(err)
	}
	d.listener = callers
	d.callers = callers.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() { d.ended <- d.entry.Run(ctx) }()
	t.Cleanup(cancel)
	d.await(t, d.entry.Ready)
}

// loopback opens a free port.
func loopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// await waits until something holds.
func (d *deployment) await(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); {
		if time.Now().After(end) {
			t.Fatal("what was waited for did not happen")
		}
		time.Sleep(time.Millisecond)
	}
}

// stop ends the entry gracefully.
func (d *deployment) stop(t *testing.T) {
	t.Helper()
	d.cancel()
	select {
	case err := <-d.ended:
		if err != nil {
			t.Errorf("the entry ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the entry did not end")
	}
}

// bookLines reads all lines back from the platform.
func (d *deployment) bookLines(t *testing.T) []book.Line {
	t.Helper()
	batches, err := d.reader.Batches(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var lines []book.Line
	for _, b := range batches {
		lines = append(lines, b.Lines...)
	}
	return lines
}

// onlyBookLine returns the verdict of the one line in the books.
func (d *deployment) onlyBookLine(t *testing.T) string {
	t.Helper()
	lines := d.bookLines(t)
	if len(lines) != 1 {
		return fmt.Sprintf("%d lines", len(lines))
	}
	return lines[0].Verdict.String()
}
