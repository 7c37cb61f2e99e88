package owner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/grpc"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/io/owner/ownerpb"
)

// recordingRunners records the orders that a delegate carries out. Starts of the task with
// index 1 wait until the context ends; polls of the runner "broken" panic.
type recordingRunners struct {
	orders chan any
}

func (r recordingRunners) Start(ctx context.Context, e *pool.StartTask) (*pool.TaskStarted, error) {
	r.orders <- e
	if e.Task.Index == 1 {
		<-ctx.Done()
	}
	return &pool.TaskStarted{CallResult: pool.RefusedNoCapacity, Clock: pool.ClockReading{Clock: 7}, Born: time.UnixMilli(3)}, errors.New("no room")
}

func (r recordingRunners) Stop(_ context.Context, e *pool.StopTask) (*pool.TaskStopped, error) {
	if e.Runner.ID == "probe" {
		return &pool.TaskStopped{}, nil
	}
	r.orders <- e
	return &pool.TaskStopped{CallResult: pool.Done, Clock: pool.ClockReading{Clock: 8}, Born: time.UnixMilli(4)}, nil
}

func (r recordingRunners) Poll(_ context.Context, e *pool.PollRunner) (*pool.RunnerPolled, error) {
	if e.Runner.ID == "broken" {
		panic("malformed answer")
	}
	r.orders <- e
	return &pool.RunnerPolled{
		CallResult: pool.Done, Clock: pool.ClockReading{Clock: 9}, Born: time.UnixMilli(5), Truncated: true,
		Running: []pool.RunningTask{{Task: delegateTask, Run: 2, Checkpoint: "c", ProgressPercent: 40, TailLatency: time.Second}},
		Ended:   []pool.EndedTask{{Number: 3, Task: delegateTask, Run: 1, Result: pool.RunFailed, Checkpoint: "d"}},
	}, nil
}

// delegateHandler is the Handler of an entry that only carries out orders.
type delegateHandler struct {
	Handler
	runners recordingRunners
}

func (h delegateHandler) Runners() Runners { return h.runners }

var (
	delegateTask   = job.TaskID{Job: "00000000000000aa", Occurrence: 1, Step: 2, Index: 3}
	delegateRunner = pool.Runner{ID: "r1", Address: "10.0.0.9:80"}
	ignoreTimes    = cmp.Options{
		cmpopts.IgnoreFields(pool.ClockReading{}, "At"), cmpopts.IgnoreFields(pool.RunnerPolled{}, "Sent"),
		cmpopts.IgnoreFields(pool.TaskStarted{}, "Sent"), cmpopts.IgnoreFields(pool.TaskStopped{}, "Sent"),
	}
)

func newDelegate(t *testing.T) (*Delegate, recordingRunners) {
	t.Helper()
	runners := recordingRunners{orders: make(chan any, 100)}
	p, address := servePeers(t, delegateHandler{runners: runners})
	d := p.Delegate(address)
	awaitDelegate(t, d)
	return d, runners
}

// awaitDelegate waits until orders can be passed on to a delegate.
func awaitDelegate(t *testing.T, d *Delegate) {
	t.Helper()
	probe := func() error {
		_, err := d.Stop(t.Context(), &pool.StopTask{Runner: pool.Runner{ID: "probe"}})
		return err
	}
	for errors.Is(probe(), ErrDelegateUnavailable) {
		time.Sleep(time.Millisecond)
	}
}

// TestDelegateCarriesOrders checks that orders and results arrive unchanged.
func TestDelegateCarriesOrders(t *testing.T) {
	d, runners := newDelegate(t)
	ctx := t.Context()
	start := &pool.StartTask{Runner: delegateRunner, Task: delegateTask, Run: 2, Payload: "p", Checkpoint: "c", Ticket: "t", Until: 11, Fence: 12}
	stop := &pool.StopTask{Runner: delegateRunner, Task: delegateTask, Run: 2, Fence: 12}
	poll := &pool.PollRunner{Runner: delegateRunner, Until: 13, Fence: 12, Acknowledged: 14, Wait: time.Millisecond}
	for _, c := range []struct {
		name   string
		order  any
		call   func() (any, error)
		result any
		err    string
	}{
		{"start", start, func() (any, error) { return d.Start(ctx, start) }, &pool.TaskStarted{
			Runner: "r1", Task: delegateTask, Run: 2, CallResult: pool.RefusedNoCapacity, Clock: pool.ClockReading{Clock: 7}, Born: time.UnixMilli(3),
		}, "no room"},
		{"stop", stop, func() (any, error) { return d.Stop(ctx, stop) }, &pool.TaskStopped{
			Runner: "r1", Task: delegateTask, Run: 2, CallResult: pool.Done, Clock: pool.ClockReading{Clock: 8}, Born: time.UnixMilli(4),
		}, ""},
		{"poll", poll, func() (any, error) { return d.Poll(ctx, poll) }, &pool.RunnerPolled{
			Runner: "r1", CallResult: pool.Done, Clock: pool.ClockReading{Clock: 9}, Born: time.UnixMilli(5), Truncated: true,
			Running: []pool.RunningTask{{Task: delegateTask, Run: 2, Checkpoint: "c", ProgressPercent: 40, TailLatency: time.Second}},
			Ended:   []pool.EndedTask{{Number: 3, Task: delegateTask, Run: 1, Result: pool.RunFailed, Checkpoint: "d"}},
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			result, err := c.call()
			if diff := cmp.Diff(c.result, result, ignoreTimes); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			if (err == nil) != (c.err == "") || err != nil && err.Error() != c.err {
				t.Errorf("error = %v, want %q", err, c.err)
			}
			if diff := cmp.Diff(c.order, <-runners.orders); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPanicAtDelegateFailsOneOrder guards against a malformed answer that ends a delegate.
func TestPanicAtDelegateFailsOneOrder(t *testing.T) {
	d, _ := newDelegate(t)
	polled, err := d.Poll(t.Context(), &pool.PollRunner{Runner: pool.Runner{ID: "broken"}})
	if err == nil || polled.CallResult != pool.Unknown {
		t.Errorf("poll = %v, %v, want an unknown result", polled.CallResult, err)
	}
	if _, err := d.Stop(t.Context(), &pool.StopTask{Runner: delegateRunner, Task: delegateTask}); err != nil {
		t.Errorf("stop after the panic: %v", err)
	}
}

// TestOrdersOfLostDelegate checks what an owner knows of its orders when a delegate dies:
// one that was passed on may have been carried out, a later one certainly was not.
func TestOrdersOfLostDelegate(t *testing.T) {
	runners := recordingRunners{orders: make(chan any, 100)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	go NewPeers(delegateHandler{runners: runners}, slog.New(slog.DiscardHandler)).Serve(ctx, listener)
	d := NewPeers(nil, slog.New(slog.DiscardHandler)).Delegate(listener.Addr().String())
	awaitDelegate(t, d)
	hanging := delegateTask
	hanging.Index = 1
	results := make(chan *pool.TaskStarted, 1)
	go func() {
		started, _ := d.Start(t.Context(), &pool.StartTask{Runner: delegateRunner, Task: hanging, Run: 1})
		results <- started
	}()
	<-runners.orders // the delegate has the order
	stop()
	if got := (<-results).CallResult; got != pool.Unknown {
		t.Errorf("result of the order that was passed on = %v, want unknown", got)
	}
	started, err := d.Start(t.Context(), &pool.StartTask{Runner: delegateRunner, Task: delegateTask, Run: 1})
	if !errors.Is(err, ErrDelegateUnavailable) || started.CallResult != pool.NotSent {
		t.Errorf("start after the loss = %v, %v, want notSent and ErrDelegateUnavailable", started.CallResult, err)
	}
}

// TestExpiredOrderIsNotCarriedOut guards against a delegate that was paused and then acts
// on an order that it received before.
func TestExpiredOrderIsNotCarriedOut(t *testing.T) {
	runners := recordingRunners{orders: make(chan any, 1)}
	s := &server{handler: delegateHandler{runners: runners}, logger: slog.New(slog.DiscardHandler)}
	order := encodeStop(&pool.StopTask{Runner: delegateRunner, Task: delegateTask})
	order.ValidNanoseconds = int64(orderValidity)
	result := s.carryOut(t.Context(), time.Now().Add(-orderValidity-time.Millisecond), order)
	if diff := cmp.Diff(pool.NotSent, decodeCallResult(result)); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	if n := len(runners.orders); n != 0 {
		t.Errorf("%d expired orders were carried out", n)
	}
}

// TestPausedOwnerPassesNothingOn guards against an owner that was paused and then passes
// on what it had queued before.
func TestPausedOwnerPassesNothingOn(t *testing.T) {
	d := NewPeers(nil, slog.New(slog.DiscardHandler)).Delegate("a")
	old := &carriedOrder{order: &ownerpb.Order{Number: 1}, queuedAt: time.Now().Add(-orderValidity - time.Millisecond), result: make(chan *ownerpb.Result, 1)}
	fresh := &carriedOrder{order: &ownerpb.Order{Number: 2}, queuedAt: time.Now(), result: make(chan *ownerpb.Result, 1)}
	d.queue <- fresh
	var passedOn []uint64
	for _, order := range d.collect(old) {
		passedOn = append(passedOn, order.GetNumber())
	}
	if diff := cmp.Diff([]uint64{2}, passedOn); diff != "" {
		t.Errorf("orders that are passed on (-want +got):\n%s", diff)
	}
	if result := <-old.result; result != nil || old.stage.Load() != orderQueued {
		t.Errorf("the old order is not returned as not passed on")
	}
}

// TestHoldTimeOfSuspendedMachine checks that a suspension counts, which only one of the
// clocks may show.
func TestHoldTimeOfSuspendedMachine(t *testing.T) {
	for _, c := range []struct{ monotonic, wall, held time.Duration }{
		{10 * time.Millisecond, 5 * time.Second, 5 * time.Second},
		{5 * time.Second, -time.Hour, 5 * time.Second},
	} {
		if diff := cmp.Diff(c.held, holdTime(c.monotonic, c.wall)); diff != "" {
			t.Errorf("hold time by %v and %v (-want +got):\n%s", c.monotonic, c.wall, diff)
		}
	}
}

// TestOrderWithoutResultMayHaveRun checks an order whose result does not come although the
// delegate is alive.
func TestOrderWithoutResultMayHaveRun(t *testing.T) {
	d, _ := newDelegate(t)
	hanging := delegateTask
	hanging.Index = 1
	started, err := d.Start(t.Context(), &pool.StartTask{Runner: delegateRunner, Task: hanging, Run: 1})
	if !errors.Is(err, errNoResult) || started.CallResult != pool.Unknown {
		t.Errorf("start = %v, %v, want unknown and errNoResult", started.CallResult, err)
	}
}

// silentServer is a delegate that answers no more once it has an order.
type silentServer struct {
	ownerpb.UnimplementedOwnerServer
	received chan struct{}
}

func (s silentServer) Carry(stream ownerpb.Owner_CarryServer) error {
	if err := stream.Send(&ownerpb.Results{}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	close(s.received)
	<-stream.Context().Done()
	return nil
}

// TestSilentDelegateIsGivenUp guards against orders that wait for a delegate which was cut
// off: the order that it has may have been carried out, later ones are not passed on.
func TestSilentDelegateIsGivenUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	silent := silentServer{received: make(chan struct{})}
	ownerpb.RegisterOwnerServer(s, silent)
	go s.Serve(listener)
	defer s.Stop()
	d := NewPeers(nil, slog.New(slog.DiscardHandler)).Delegate(listener.Addr().String())
	start := func() (*pool.TaskStarted, error) {
		return d.Start(t.Context(), &pool.StartTask{Runner: delegateRunner, Task: delegateTask, Run: 1})
	}
	started, err := start()
	for errors.Is(err, ErrDelegateUnavailable) {
		started, err = start()
	}
	<-silent.received
	if started.CallResult != pool.Unknown {
		t.Errorf("result = %v, want unknown", started.CallResult)
	}
	if _, err := start(); !errors.Is(err, ErrDelegateUnavailable) {
		t.Errorf("error after the silence = %v, want ErrDelegateUnavailable", err)
	}
}

// FuzzCarryOut checks that no order makes a delegate panic or answer as if it were done.
func FuzzCarryOut(f *testing.F) {
	f.Add("00000000000000aa.0.1.2", int64(1), "r1")
	f.Add("..-1.", int64(-1), "")
	f.Fuzz(func(t *testing.T, task string, run int64, runner string) {
		s := &server{handler: delegateHandler{runners: recordingRunners{orders: make(chan any, 1)}}, logger: slog.New(slog.DiscardHandler)}
		order := &ownerpb.Order{Runner: runner, ValidNanoseconds: int64(time.Minute), Order: &ownerpb.Order_Stop{Stop: &ownerpb.Stop{Task: task, Run: run}}}
		_, err := job.ParseTaskID(task)
		if got := decodeCallResult(s.carryOut(t.Context(), time.Now(), order)); (got == pool.Done) != (err == nil) {
			t.Errorf("task %q: result %v with parse error %v", task, got, err)
		}
	})
}
