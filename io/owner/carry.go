package owner

import (
	"context"
	"errors"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/io/owner/ownerpb"
)

// maxOrdersInFlight bounds the orders of one owner that this entry carries out at the same
// time. Most of them are polls, which wait at the runner. Beyond it, orders stay on the
// stream, whose flow control slows the owner down.
const maxOrdersInFlight = 512

// errOrderExpired means that this entry has held an order for longer than it is valid.
var errOrderExpired = errors.New("the order has expired at the delegate")

// Carry implements ownerpb.OwnerServer: it carries out the orders of an owner and returns
// their results, those that are ready together. Messages without results, from the
// beginning of the stream on, show the owner that this entry and the way to it work.
func (s *server) Carry(stream ownerpb.Owner_CarryServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	results := make(chan *ownerpb.Result, maxOrdersInFlight)
	inFlight := make(chan struct{}, maxOrdersInFlight)
	go func() {
		defer cancel()
		sendResults(ctx, stream, results)
	}()
	for {
		orders, err := stream.Recv()
		if err != nil {
			return err
		}
		received := time.Now()
		for _, order := range orders.GetOrders() {
			select {
			case inFlight <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			go func() {
				defer func() { <-inFlight }()
				result := s.carryOut(ctx, received, order)
				result.Number = order.GetNumber()
				select {
				case results <- result:
				case <-ctx.Done():
				}
			}()
		}
	}
}

func sendResults(ctx context.Context, stream ownerpb.Owner_CarryServer, results <-chan *ownerpb.Result) {
	if err := stream.Send(&ownerpb.Results{}); err != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		var batch []*ownerpb.Result
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case first := <-results:
			batch = append(batch, first)
		}
	collect:
		for len(batch) < maxBatch {
			select {
			case next := <-results:
				batch = append(batch, next)
			default:
				break collect
			}
		}
		if err := stream.Send(&ownerpb.Results{Results: batch}); err != nil {
			return
		}
	}
}

// heldSince returns how long an order has been held.
func heldSince(now, since time.Time) time.Duration {
	return holdTime(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// holdTime returns the longer time by the monotonic and the wall clock, because the
// monotonic clock may stop while the machine is suspended.
func holdTime(monotonic, wall time.Duration) time.Duration { return max(monotonic, wall) }

// carryOut sends one order. A panic, as after a malformed answer, only fails the order.
func (s *server) carryOut(ctx context.Context, received time.Time, order *ownerpb.Order) (result *ownerpb.Result) {
	result = &ownerpb.Result{CallResult: uint32(pool.Unknown), Error: "panic at the delegate"}
	defer s.logPanic("Carry")
	if heldSince(time.Now(), received) > time.Duration(order.GetValidNanoseconds()) {
		return encodeResult(pool.NotSent, pool.ClockReading{}, time.Time{}, errOrderExpired)
	}
	runners := s.handler.Runners()
	switch o := order.GetOrder().(type) {
	case *ownerpb.Order_Start:
		task, err := job.ParseTaskID(o.Start.GetTask())
		if err != nil {
			return encodeResult(pool.RefusedInvalid, pool.ClockReading{}, time.Time{}, err)
		}
		answer, err := runners.Start(ctx, decodeStart(order, o.Start, task))
		return encodeResult(answer.CallResult, answer.Clock, answer.Born, err)
	case *ownerpb.Order_Stop:
		task, err := job.ParseTaskID(o.Stop.GetTask())
		if err != nil {
			return encodeResult(pool.RefusedInvalid, pool.ClockReading{}, time.Time{}, err)
		}
		answer, err := runners.Stop(ctx, &pool.StopTask{Runner: decodeRunner(order), Task: task, Run: int(o.Stop.GetRun()), Fence: pool.Fence(order.GetFence())})
		return encodeResult(answer.CallResult, answer.Clock, answer.Born, err)
	case *ownerpb.Order_Poll:
		answer, err := runners.Poll(ctx, &pool.PollRunner{
			Runner: decodeRunner(order), Until: pool.RunnerClock(o.Poll.GetUntilNanoseconds()), Fence: pool.Fence(order.GetFence()),
			Acknowledged: o.Poll.GetAcknowledged(), Wait: time.Duration(o.Poll.GetWaitNanoseconds()),
		})
		result := encodeResult(answer.CallResult, answer.Clock, answer.Born, err)
		encodePolled(result, answer)
		return result
	}
	return encodeResult(pool.RefusedInvalid, pool.ClockReading{}, time.Time{}, errors.New("the delegate does not know the order"))
}
