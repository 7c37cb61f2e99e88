package owner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/quota"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// TestServeAfterCancelReturnsNil checks that an entry that is stopped before it
// serves its peers ends without an error. The cancellation races with the start of
// Serve, so the test repeats it.
func TestServeAfterCancelReturnsNil(t *testing.T) {
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		p := NewPeers(nil, slog.New(slog.DiscardHandler))
		if err := p.Serve(ctx, listener); err != nil {
			t.Fatalf("Serve with a cancelled context returned %v, want nil", err)
		}
	}
}

// strangerHandler is the Handler of an entry that owns nothing.
type strangerHandler struct{ Handler }

func (strangerHandler) StoreJob(context.Context, job.PoolName, []byte) (SubmitReply, error) {
	return SubmitReply{}, ErrNotOwner
}

func (strangerHandler) JobState(context.Context, job.PoolName, job.Organisation, job.ID) (job.State, error) {
	return "", ErrNotOwner
}

func (strangerHandler) WaitingJobs(context.Context, job.PoolName, job.QueueName) (int, error) {
	return 0, ErrNotOwner
}

func (strangerHandler) SyncPool(context.Context, job.PoolName, []pool.RunnerID, quota.Request) (pool.Report, error) {
	return pool.Report{}, ErrNotOwner
}

func (strangerHandler) EndRunner(context.Context, job.PoolName, pool.RunnerEnded) error {
	return ErrNotOwner
}

func (strangerHandler) Yield(context.Context, string) error { return ErrNotOwner }

// servePeers serves a handler on a loopback address until the test ends and returns the
// address and the client side.
func servePeers(t *testing.T, handler Handler) (*Peers, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewPeers(handler, slog.New(slog.DiscardHandler))
	go p.Serve(t.Context(), listener)
	return p, listener.Addr().String()
}

// TestCallsReturnErrNotOwner guards against calls that return a gRPC error where a caller
// checks for ErrNotOwner.
func TestCallsReturnErrNotOwner(t *testing.T) {
	p, address := servePeers(t, strangerHandler{})
	ctx := t.Context()
	for name, call := range map[string]func() error{
		"Submit":    func() error { _, err := p.Submit(ctx, address, "booking", nil); return err },
		"State":     func() error { _, err := p.State(ctx, address, "booking", "lodge", "1"); return err },
		"Waiting":   func() error { _, err := p.Waiting(ctx, address, "booking", "seats"); return err },
		"Sync":      func() error { _, err := p.Sync(ctx, address, "booking", nil, quota.Request{}); return err },
		"EndRunner": func() error { return p.EndRunner(ctx, address, "booking", pool.RunnerEnded{Runner: "r1"}) },
		"Yield":     func() error { return p.Yield(ctx, address, "pool/booking") },
	} {
		if err := call(); !errors.Is(err, ErrNotOwner) {
			t.Errorf("%s: error = %v, want ErrNotOwner", name, err)
		}
	}
}

// TestPanicInHandlerIsAnswered guards against a call of a peer that ends the process.
func TestPanicInHandlerIsAnswered(t *testing.T) {
	p, address := servePeers(t, struct{ Handler }{}) // each method panics, as the interface is nil
	for range 2 {
		if _, err := p.State(t.Context(), address, "booking", "lodge", "1"); status.Code(err) != codes.Internal {
			t.Errorf("error = %v, want one with code Internal", err)
		}
	}
}

// slowHandler answers for the job "slow" after it was released, and for others never.
type slowHandler struct {
	Handler
	entered, release chan struct{}
}

func (h slowHandler) JobState(ctx context.Context, _ job.PoolName, _ job.Organisation, id job.ID) (job.State, error) {
	if id != "slow" {
		<-ctx.Done()
		return "", ctx.Err()
	}
	close(h.entered)
	<-h.release
	return job.Running, nil
}

// TestReplacedConnectionCompletesItsCalls guards against calls that are broken off because
// two others on the same connection had no answer. On the large Skywatch site (trouble-1),
// writes of jobs failed with "the client connection is closing".
func TestReplacedConnectionCompletesItsCalls(t *testing.T) {
	handler := slowHandler{entered: make(chan struct{}), release: make(chan struct{})}
	p, address := servePeers(t, handler)
	result := make(chan error, 1)
	go func() {
		_, err := p.State(t.Context(), address, "booking", "lodge", "slow")
		result <- err
	}()
	<-handler.entered
	for range maxConsecutiveFailures {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		if _, err := p.State(ctx, address, "booking", "lodge", "lost"); status.Code(err) != codes.DeadlineExceeded {
			t.Fatalf("error = %v, want DeadlineExceeded", err)
		}
		cancel()
	}
	close(handler.release)
	if err := <-result; err != nil {
		t.Errorf("the call in flight failed: %v", err)
	}
}

// TestReportKeepsItsFields guards against a field of a pool's report that is lost between the
// pool's owner and the planner of moves and upkeep, as Withheld first was.
func TestReportKeepsItsFields(t *testing.T) {
	report := pool.Report{
		Pool: "booking", RunningCPU: 1, ReadyCPU: 2, Arriving: 3, Backlog: 4, RunningMemory: 5, ReadyMemory: 6, Spread: 7, Recovered: true,
		Runners: []pool.RunnerReport{{
			Runner: "r1", Persistent: 1, Passing: 2, Used: job.Resources{CPU: 3, Memory: 4}, Capacity: job.Resources{CPU: 5},
			Cordoned: true, Usable: true, Withheld: true, Known: true,
		}},
	}
	if diff := cmp.Diff(report, decodeReport("booking", encodeReport(&report))); diff != "" {
		t.Errorf("report (-sent +received):\n%s", diff)
	}
}
