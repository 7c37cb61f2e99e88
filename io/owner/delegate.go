package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bronzestair/core/pool"
	"bronzestair/io/owner/ownerpb"
)

// ErrDelegateUnavailable means that an order was not passed on to a delegate, so that the
// runner certainly has not received it.
var ErrDelegateUnavailable = errors.New("the order was not passed on to the delegate")

// errNoResult means that the delegate has not returned the result of an order in time.
var errNoResult = errors.New("the delegate has not returned a result")

const (
	// orderValidity is how long a delegate may take to send an order that it has received.
	// Together with the timeout of the order itself it bounds how long the owner waits.
	orderValidity = 200 * time.Millisecond
	// resultMargin is added to the time that an order takes at the delegate, for the way
	// there and back.
	resultMargin = 150 * time.Millisecond
	// orderTimeout is the timeout of an order at the delegate, in addition to the time
	// that the runner may hold back its answer.
	orderTimeout = 500 * time.Millisecond
	// maxQueuedOrders bounds the orders that wait for a delegate. A delegate that does
	// not keep up fills the queue, and the owner sends further orders itself.
	maxQueuedOrders = 512
	// maxBatch bounds the orders or results in one message.
	maxBatch = 128
	// After a stream to a delegate has failed, another one is opened after
	// minStreamRetryDelay, and after twice the delay with each further failure.
	minStreamRetryDelay = 1 * time.Second
	maxStreamRetryDelay = 16 * time.Second
	// heartbeatInterval is the period at which a delegate sends a message without
	// results. After silenceLimit without any message, an owner gives the stream up.
	heartbeatInterval = 150 * time.Millisecond
	silenceLimit      = 500 * time.Millisecond
)

// Runners sends orders to runners. Errors only serve the log; the returned events state
// what is known about the result.
type Runners interface {
	Start(context.Context, *pool.StartTask) (*pool.TaskStarted, error)
	Stop(context.Context, *pool.StopTask) (*pool.TaskStopped, error)
	Poll(context.Context, *pool.PollRunner) (*pool.RunnerPolled, error)
}

// Delegate implements Runners: it passes orders on to a peer, which sends them. The peer
// decides nothing, and the orders carry the fencing token of the owner. Orders that wait
// are sent together. Get one with Peers.Delegate.
type Delegate struct {
	peers   *Peers
	address string
	queue   chan *carriedOrder

	mu sync.Mutex
	// pending holds the orders that were sent and await their result.
	pending map[uint64]*carriedOrder
	// running is true while there is a stream or one is being opened, open once the
	// delegate has sent a message on it.
	running, open bool
	// retryAt is when another stream may be opened after one has failed, retryDelay the
	// delay until then.
	retryAt    time.Time
	retryDelay time.Duration
	numbers    atomic.Uint64
}

// carriedOrder is an order on its way through a delegate.
type carriedOrder struct {
	order    *ownerpb.Order
	queuedAt time.Time
	// stage arbitrates between the sender and an owner that withdraws the order.
	stage  atomic.Int32
	result chan *ownerpb.Result
}

// The stages of a carried order.
const (
	orderQueued int32 = iota
	orderSent
	orderWithdrawn
)

// Delegate returns the delegate at a peer's address.
func (p *Peers) Delegate(address string) *Delegate {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.delegates[address]
	if d == nil {
		d = &Delegate{
			peers: p, address: address,
			queue: make(chan *carriedOrder, maxQueuedOrders), pending: map[uint64]*carriedOrder{},
		}
		p.delegates[address] = d
	}
	return d
}

// Start implements Runners. The error is ErrDelegateUnavailable if the order was not
// passed on.
func (d *Delegate) Start(ctx context.Context, e *pool.StartTask) (*pool.TaskStarted, error) {
	sent := time.Now()
	result, callResult, err := d.carry(ctx, 0, encodeStart(e))
	return &pool.TaskStarted{
		Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: callResult,
		Sent: sent, Clock: decodeClock(result), Born: decodeBorn(result.GetBornMilliseconds()),
	}, err
}

// Stop implements Runners, see Start.
func (d *Delegate) Stop(ctx context.Context, e *pool.StopTask) (*pool.TaskStopped, error) {
	sent := time.Now()
	result, callResult, err := d.carry(ctx, 0, encodeStop(e))
	return &pool.TaskStopped{
		Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: callResult,
		Sent: sent, Clock: decodeClock(result), Born: decodeBorn(result.GetBornMilliseconds()),
	}, err
}

// Poll implements Runners, see Start.
func (d *Delegate) Poll(ctx context.Context, e *pool.PollRunner) (*pool.RunnerPolled, error) {
	polled := &pool.RunnerPolled{Runner: e.Runner.ID, Sent: time.Now()}
	result, callResult, err := d.carry(ctx, e.Wait, encodePoll(e))
	polled.CallResult, polled.Clock, polled.Born = callResult, decodeClock(result), decodeBorn(result.GetBornMilliseconds())
	if decodeErr := decodePoll(polled, result); decodeErr != nil {
		polled.CallResult = pool.Unknown
		return polled, decodeErr
	}
	return polled, err
}

// carry passes an order on and awaits its result. Without one, the order may have been
// carried out, unless the error is ErrDelegateUnavailable.
func (d *Delegate) carry(ctx context.Context, wait time.Duration, order *ownerpb.Order) (*ownerpb.Result, pool.CallResult, error) {
	order.Number = d.numbers.Add(1)
	order.ValidNanoseconds = int64(orderValidity)
	carried := &carriedOrder{order: order, queuedAt: time.Now(), result: make(chan *ownerpb.Result, 1)}
	if !d.enqueue(carried) {
		return nil, pool.NotSent, ErrDelegateUnavailable
	}
	timer := time.NewTimer(orderValidity + orderTimeout + wait + resultMargin)
	defer timer.Stop()
	var result *ownerpb.Result
	select {
	case result = <-carried.result:
	case <-timer.C:
	case <-ctx.Done():
	}
	d.forget(order.Number)
	switch {
	case result != nil && result.GetError() != "":
		return result, decodeCallResult(result), errors.New(result.GetError())
	case result != nil:
		return result, decodeCallResult(result), nil
	case carried.stage.CompareAndSwap(orderQueued, orderWithdrawn):
		return nil, pool.NotSent, ErrDelegateUnavailable
	}
	return nil, pool.Unknown, fmt.Errorf("%w: %s", errNoResult, d.address)
}

// enqueue queues an order. It returns false if there is no open stream or the delegate does
// not keep up. If there is no stream, it starts to open one.
func (d *Delegate) enqueue(carried *carriedOrder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.running && !time.Now().Before(d.retryAt) {
		d.running = true
		go d.run()
	}
	if !d.open {
		return false
	}
	select {
	case d.queue <- carried:
		return true
	default:
		return false
	}
}

func (d *Delegate) forget(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, number)
}

// run sends the queued orders over a stream until that fails. The results of orders that
// were sent are then unknown, and those that were not sent are returned as such.
func (d *Delegate) run() {
	err := d.stream()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running, d.open = false, false
	d.retryDelay = min(max(2*d.retryDelay, minStreamRetryDelay), maxStreamRetryDelay)
	d.retryAt = time.Now().Add(d.retryDelay)
	d.peers.logger.Info("stream to delegate has ended", "peer", d.address, "unanswered", len(d.pending), "queued", len(d.queue), "error", err)
	for number, carried := range d.pending {
		carried.result <- &ownerpb.Result{CallResult: uint32(pool.Unknown), Error: errNoResult.Error()}
		delete(d.pending, number)
	}
	for {
		select {
		case carried := <-d.queue:
			carried.result <- nil
		default:
			return
		}
	}
}

// errSilentDelegate means that a delegate has sent no message for silenceLimit.
var errSilentDelegate = errors.New("the delegate is silent")

func (d *Delegate) stream() error {
	c, err := d.peers.connect(d.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(d.peers.ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(maxReconnectDelay, func() { cancel(errSilentDelegate) })
	defer watchdog.Stop()
	stream, err := ownerpb.NewOwnerClient(c.ClientConn).Carry(ctx)
	if err != nil {
		return err
	}
	go func() {
		cancel(d.receive(stream, watchdog))
	}()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case first := <-d.queue:
			if orders := d.collect(first); len(orders) > 0 {
				if err := stream.Send(&ownerpb.Orders{Orders: orders}); err != nil {
					return err
				}
			}
		}
	}
}

// collect returns an order with those that are queued behind it, without those that were
// withdrawn or have expired, and records them as sent. An order expires in the queue if the
// owner is paused; its claim on the pool may have expired as well.
func (d *Delegate) collect(first *carriedOrder) []*ownerpb.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	var orders []*ownerpb.Order
	for carried := first; ; {
		if heldSince(time.Now(), carried.queuedAt) > orderValidity {
			carried.result <- nil
		} else if carried.stage.CompareAndSwap(orderQueued, orderSent) {
			d.pending[carried.order.Number] = carried
			orders = append(orders, carried.order)
		}
		if len(orders) == maxBatch {
			return orders
		}
		select {
		case carried = <-d.queue:
		default:
			return orders
		}
	}
}

// receive passes results on until the stream ends.
func (d *Delegate) receive(stream ownerpb.Owner_CarryClient, watchdog *time.Timer) error {
	for {
		results, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(silenceLimit)
		d.mu.Lock()
		d.open, d.retryDelay = true, 0
		for _, result := range results.GetResults() {
			if carried := d.pending[result.GetNumber()]; carried != nil {
				delete(d.pending, result.GetNumber())
				carried.result <- result
			}
		}
		d.mu.Unlock()
	}
}
