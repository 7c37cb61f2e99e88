package owner

import (
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/io/owner/ownerpb"
)

func encodeOrder(r pool.Runner, fence pool.Fence) *ownerpb.Order {
	return &ownerpb.Order{Address: r.Address, Runner: string(r.ID), Fence: uint64(fence)}
}

func decodeRunner(order *ownerpb.Order) pool.Runner {
	return pool.Runner{ID: pool.RunnerID(order.GetRunner()), Address: order.GetAddress()}
}

func encodeStart(e *pool.StartTask) *ownerpb.Order {
	order := encodeOrder(e.Runner, e.Fence)
	order.Order = &ownerpb.Order_Start{Start: &ownerpb.Start{
		Task: e.Task.String(), Run: int64(e.Run), Payload: e.Payload, Checkpoint: e.Checkpoint,
		Ticket: e.Ticket, UntilNanoseconds: int64(e.Until),
	}}
	return order
}

func decodeStart(order *ownerpb.Order, start *ownerpb.Start, task job.TaskID) *pool.StartTask {
	return &pool.StartTask{
		Runner: decodeRunner(order), Task: task, Run: int(start.GetRun()), Payload: start.GetPayload(),
		Checkpoint: start.GetCheckpoint(), Ticket: start.GetTicket(),
		Until: pool.RunnerClock(start.GetUntilNanoseconds()), Fence: pool.Fence(order.GetFence()),
	}
}

func encodeStop(e *pool.StopTask) *ownerpb.Order {
	order := encodeOrder(e.Runner, e.Fence)
	order.Order = &ownerpb.Order_Stop{Stop: &ownerpb.Stop{Task: e.Task.String(), Run: int64(e.Run)}}
	return order
}

func encodePoll(e *pool.PollRunner) *ownerpb.Order {
	order := encodeOrder(e.Runner, e.Fence)
	order.Order = &ownerpb.Order_Poll{Poll: &ownerpb.Poll{
		UntilNanoseconds: int64(e.Until), Acknowledged: e.Acknowledged, WaitNanoseconds: int64(e.Wait),
	}}
	return order
}

func encodeResult(call pool.CallResult, clock pool.ClockReading, born time.Time, err error) *ownerpb.Result {
	result := &ownerpb.Result{CallResult: uint32(call), ClockNanoseconds: int64(clock.Clock), BornMilliseconds: encodeBorn(born)}
	if err != nil {
		result.Error = err.Error()
	}
	return result
}

// decodeCallResult returns the result of a call, Unknown for one that is not known.
func decodeCallResult(result *ownerpb.Result) pool.CallResult {
	if call := pool.CallResult(result.GetCallResult()); call <= pool.Withheld {
		return call
	}
	return pool.Unknown
}

// decodeClock pairs the reading of a runner's clock with the time at which the result was
// received.
func decodeClock(result *ownerpb.Result) pool.ClockReading {
	return pool.ClockReading{Clock: pool.RunnerClock(result.GetClockNanoseconds()), At: time.Now()}
}

// encodeBorn returns the start time of an incarnation, or 0 if not known.
func encodeBorn(born time.Time) int64 {
	if born.IsZero() {
		return 0
	}
	return born.UnixMilli()
}

// decodeBorn reverses encodeBorn.
func decodeBorn(milliseconds int64) time.Time {
	if milliseconds <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

func encodePolled(result *ownerpb.Result, answer *pool.RunnerPolled) {
	result.Truncated = answer.Truncated
	for _, t := range answer.Running {
		result.Running = append(result.Running, &ownerpb.Result_Running{
			Task: t.Task.String(), Run: int64(t.Run), Checkpoint: t.Checkpoint,
			ProgressPercent: int64(t.ProgressPercent), TailLatencyNanoseconds: int64(t.TailLatency),
		})
	}
	for _, t := range answer.Ended {
		result.Ended = append(result.Ended, &ownerpb.Result_Ended{
			Number: t.Number, Task: t.Task.String(), Run: int64(t.Run), Result: string(t.Result), Checkpoint: t.Checkpoint,
		})
	}
}

// decodePoll adds the lists of a result to an answer.
func decodePoll(polled *pool.RunnerPolled, result *ownerpb.Result) error {
	polled.Truncated = result.GetTruncated()
	for _, t := range result.GetRunning() {
		task, err := job.ParseTaskID(t.GetTask())
		if err != nil {
			return err
		}
		polled.Running = append(polled.Running, pool.RunningTask{
			Task: task, Run: int(t.GetRun()), Checkpoint: t.GetCheckpoint(),
			ProgressPercent: int(t.GetProgressPercent()), TailLatency: time.Duration(t.GetTailLatencyNanoseconds()),
		})
	}
	for _, t := range result.GetEnded() {
		task, err := job.ParseTaskID(t.GetTask())
		if err != nil {
			return err
		}
		polled.Ended = append(polled.Ended, pool.EndedTask{
			Number: t.GetNumber(), Task: task, Run: int(t.GetRun()), Result: pool.RunResult(t.GetResult()), Checkpoint: t.GetCheckpoint(),
		})
	}
	return nil
}
