package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// The tests in this file guard against using what one incarnation of a runner has said
// towards another one under the same id.

// Start times of two incarnations of r1.
var (
	firstBorn  = time.Unix(1, 0)
	secondBorn = time.Unix(2, 0)
)

// register passes the registration of r1 with a start time to the pool.
func (h *harness) register(born time.Time) []Effect {
	return h.send(&RunnersListed{Runners: []Runner{{
		ID: "r1", Address: "r1", Capacity: job.Resources{CPU: 16000, Memory: 65536}, Labels: []string{"a", "rack-1"}, Born: born,
	}}})
}

// answer passes the answer to a poll of r1 that was sent 5 ms before. The clock of each
// incarnation starts from zero at its start time.
func (h *harness) answer(born time.Time, running []RunningTask, ended ...EndedTask) []Effect {
	sent := h.now
	h.now = h.now.Add(5 * time.Millisecond)
	return h.send(&RunnerPolled{
		Runner: "r1", CallResult: Done, Sent: sent, Clock: h.clockOf(born), Born: born, Running: running, Ended: ended,
	})
}

func (h *harness) clockOf(born time.Time) ClockReading {
	return ClockReading{Clock: RunnerClock(h.now.Sub(time.Unix(999_000, 0)) / time.Duration(born.Unix())), At: h.now}
}

// newRestartHarness returns a pool that has read and acknowledged two ends of the first
// incarnation of r1, which has been idle for a while.
func newRestartHarness(t *testing.T) *harness {
	h := newHarness(t, Options{})
	h.register(firstBorn)
	h.answer(firstBorn, nil)
	h.confirmStarts(h.storeJob(jobID(1), false, job.Step{Count: 2, Resources: job.Resources{CPU: 1000, Memory: 256}}))
	h.answer(firstBorn, nil,
		EndedTask{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone},
		EndedTask{Number: 2, Task: taskID(1, 0, 1), Run: 1, Result: RunDone})
	h.send(&JobSaved{ID: jobID(1), Seq: h.pool.jobs[jobID(1)].seq, Finished: true})
	acknowledged := int64(0)
	for _, poll := range effectsOf[*PollRunner](h.advance(time.Second)) {
		acknowledged = max(acknowledged, poll.Acknowledged)
	}
	want(t, "acknowledged end of the first incarnation", acknowledged, int64(2))
	h.answer(firstBorn, nil)
	h.advance(5 * time.Second)
	return h
}

// TestEndsOfNewIncarnationAreAcknowledgedOnlyOnceRead guards against the loss of ends of an
// incarnation by an acknowledgment that counts those of the previous one: the tasks, which
// are done, then ran again.
func TestEndsOfNewIncarnationAreAcknowledgedOnlyOnceRead(t *testing.T) {
	cases := map[string]func(h *harness){
		"unnoticed": func(*harness) {},
		"noticed by the registration": func(h *harness) {
			h.register(secondBorn)
		},
		"noticed by the registration, first answer lost": func(h *harness) {
			h.register(secondBorn)
			h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
		},
		"noticed by an answer": func(h *harness) {
			h.answer(secondBorn, nil)
		},
		"noticed by an answer before an older registration": func(h *harness) {
			h.answer(secondBorn, nil)
			h.register(firstBorn)
		},
	}
	for title, notice := range cases {
		t.Run(title, func(t *testing.T) {
			h := newRestartHarness(t)
			notice(h)
			effects := h.storeJob(jobID(2), false, singleTaskStep())
			for range 40 { // no answer arrives
				effects = append(effects, h.advance(100*time.Millisecond)...)
				h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
			}
			for _, poll := range effectsOf[*PollRunner](effects) {
				want(t, "acknowledged", poll.Acknowledged, int64(0))
			}
		})
	}
}

// TestAcknowledgmentIsRepeatedAfterAnAnswer covers a lost answer to an acknowledgment: the
// runner may have restarted since, so the next poll acknowledges nothing.
func TestAcknowledgmentIsRepeatedAfterAnAnswer(t *testing.T) {
	cases := map[string]struct {
		born time.Time
		want int64
	}{
		"same incarnation": {firstBorn, 1},
		"new incarnation":  {secondBorn, 0},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.register(firstBorn)
			h.answer(firstBorn, nil)
			h.confirmStarts(h.storeJob(jobID(1), false, singleTaskStep()))
			ended := EndedTask{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}
			h.answer(firstBorn, nil, ended)
			h.send(&JobSaved{ID: jobID(1), Seq: h.pool.jobs[jobID(1)].seq, Finished: true})
			acknowledged := func(effects []Effect) (highest int64) {
				for _, poll := range effectsOf[*PollRunner](effects) {
					highest = max(highest, poll.Acknowledged)
				}
				return highest
			}
			want(t, "acknowledged first", acknowledged(h.advance(time.Second)), int64(1))
			h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
			want(t, "acknowledged without an answer", acknowledged(h.advance(time.Second)), int64(0))
			if c.born.Equal(firstBorn) {
				h.answer(c.born, nil, ended)
			} else {
				h.answer(c.born, nil)
			}
			want(t, "acknowledged after an answer", acknowledged(h.advance(time.Second)), c.want)
		})
	}
}

// TestOrdersWaitForTheClockOfNewIncarnation guards against leases that last for the
// runner's maximum, because their expiry was computed for the clock of the previous
// incarnation.
func TestOrdersWaitForTheClockOfNewIncarnation(t *testing.T) {
	h := newRestartHarness(t)
	h.register(secondBorn)
	effects := append(h.storeJob(jobID(2), false, singleTaskStep()), h.advance(time.Second)...)
	want(t, "starts before the clock is known", describeStarts(effects), []string(nil))
	for _, poll := range effectsOf[*PollRunner](effects) {
		want(t, "expiry of a lease before the clock is known", poll.Until, RunnerClock(0))
	}
	starts := effectsOf[*StartTask](h.answer(secondBorn, nil))
	if len(starts) != 1 {
		t.Fatalf("starts = %v, want one", starts)
	}
	if until, clock := starts[0].Until, h.clockOf(secondBorn).Clock; until > clock+RunnerClock(DefaultStartValidity) {
		t.Errorf("start expires at %v although the clock reads %v", time.Duration(until), time.Duration(clock))
	}
}

// TestRestartSeenFirstByAStart covers an idle runner that has restarted unnoticed. Its
// answer to a start names no incarnation, but its clock has started again.
func TestRestartSeenFirstByAStart(t *testing.T) {
	h := newRestartHarness(t)
	effects := h.storeJob(jobID(2), false, job.Step{Count: 1, Persistent: true, Resources: job.Resources{CPU: 1000, Memory: 256}})
	start := effectsOf[*StartTask](effects)[0]
	sent := h.now
	h.now = h.now.Add(5 * time.Millisecond)
	h.send(&TaskStarted{Runner: "r1", Task: start.Task, Run: start.Run, CallResult: Done, Sent: sent, Clock: ClockReading{Clock: RunnerClock(time.Second), At: h.now}})
	effects = h.storeJob(jobID(3), false, singleTaskStep())
	want(t, "starts before the incarnation is known", describeStarts(effects), []string(nil))
	h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
	h.answer(secondBorn, []RunningTask{{Task: start.Task, Run: start.Run}})
	want(t, "task stays on the new incarnation", h.pool.jobs[jobID(2)].task(start.Task).runner == h.pool.runners["r1"], true)
}

// TestUncertainLeaseLastsForTheMaximum covers an idle runner that restarts and answers
// nothing: the lease of a start may last for the runner's maximum.
func TestUncertainLeaseLastsForTheMaximum(t *testing.T) {
	h := newRestartHarness(t)
	step := singleTaskStep()
	step.Persistent = true
	h.storeJob(jobID(2), false, step)
	start := h.now
	h.send(&TaskStarted{Runner: "r1", Task: taskID(2, 0, 0), Run: 1, CallResult: Unknown, Sent: h.now})
	h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
	h.send(&RunnersListed{Runners: []Runner{{ID: "r1", Born: firstBorn}, {ID: "r2", Address: "r2", Capacity: job.Resources{CPU: 16000, Memory: 65536}}}})
	h.answerPoll("r2", nil, nil)
	want(t, "start elsewhere", h.restartsWhileUnreachable(15*time.Second), []string{taskID(2, 0, 0).String() + " 2@r2"})
	if waited := h.now.Sub(start); waited < DefaultMaxLease {
		t.Errorf("the task is started elsewhere after %v, within the longest lease", waited)
	}
}

// TestAnswerOfPreviousIncarnationIsIgnored covers an answer that is overtaken by the news
// of a restart.
func TestAnswerOfPreviousIncarnationIsIgnored(t *testing.T) {
	h := newRestartHarness(t)
	h.confirmStarts(h.storeJob(jobID(2), false, singleTaskStep()))
	sent := h.now
	h.now = h.now.Add(5 * time.Millisecond)
	h.register(secondBorn)
	effects := h.send(&RunnerPolled{
		Runner: "r1", CallResult: Done, Sent: sent, Clock: h.clockOf(firstBorn), Born: firstBorn,
		Ended: []EndedTask{{Number: 3, Task: taskID(2, 0, 0), Run: 1, Result: RunFailed}},
	})
	want(t, "starts", describeStarts(effects), []string(nil))
	want(t, "handled ends of the new incarnation", h.pool.runners["r1"].handledEnd, int64(0))
	want(t, "polls", len(effectsOf[*PollRunner](effects)), 1)
}

// TestStartThatMayReachNewIncarnationIsStopped guards against two runs at once: the
// answer to a start is lost, the runner restarts, and the start reaches the new incarnation
// after its first list.
func TestStartThatMayReachNewIncarnationIsStopped(t *testing.T) {
	h := newHarness(t, Options{})
	h.register(firstBorn)
	h.answer(firstBorn, nil)
	h.storeJob(jobID(1), false, singleTaskStep())
	h.send(&TaskStarted{Runner: "r1", Task: taskID(1, 0, 0), Run: 1, CallResult: Unknown, Sent: h.now})
	h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
	h.send(&RunnersListed{Runners: []Runner{{ID: "r1", Born: secondBorn}, {ID: "r2", Address: "r2", Capacity: job.Resources{CPU: 16000, Memory: 65536}}}})
	h.answerPoll("r2", nil, nil)
	effects := h.send(&TaskStarted{Runner: "r1", Task: taskID(1, 0, 0), Run: 1, CallResult: Unknown, Sent: h.now})
	h.send(&TaskStopped{Runner: "r1", Task: taskID(1, 0, 0), Run: 1, CallResult: Unknown, Sent: h.now})
	h.now = h.now.Add(5 * time.Second)
	effects = append(effects, h.answer(secondBorn, nil)...)
	effects = append(effects, h.advance(time.Second)...)
	want(t, "starts before the stop", describeStarts(effects), []string(nil))
	stops := effectsOf[*StopTask](effects)
	if len(stops) == 0 || stops[0].Task != taskID(1, 0, 0) {
		t.Fatalf("stops = %v, want a stop of the task", stops)
	}
	h.send(&TaskStopped{Runner: "r1", Task: taskID(1, 0, 0), Run: 1, CallResult: Done, Sent: h.now})
	h.advance(time.Millisecond)
	effects = h.answer(secondBorn, nil)
	want(t, "starts after the stop", len(effectsOf[*StartTask](effects)), 1)
}

// TestNewIncarnationRejectsStartsThatWereGivenUp guards against a start that was stopped at
// the previous incarnation and reaches the new one, which does not know of the stop.
func TestNewIncarnationRejectsStartsThatWereGivenUp(t *testing.T) {
	h := newHarness(t, Options{})
	h.register(firstBorn)
	h.answer(firstBorn, nil)
	h.storeJob(jobID(1), false, singleTaskStep())
	for range maxStartOrders {
		h.send(&TaskStarted{Runner: "r1", Task: taskID(1, 0, 0), Run: 1, CallResult: Unknown, Sent: h.now})
	}
	h.send(&TaskStopped{Runner: "r1", Task: taskID(1, 0, 0), Run: 1, CallResult: Done, Sent: h.now})
	h.advance(time.Millisecond)
	effects := h.answer(firstBorn, nil)
	want(t, "start under the next number", describeStarts(effects), []string{taskID(1, 0, 0).String() + " 2@r1"})
	var stopped []int
	for _, stop := range effectsOf[*StopTask](h.register(secondBorn)) {
		stopped = append(stopped, stop.Run)
	}
	want(t, "runs stopped at the new incarnation", stopped, []int{1})
}

// TestEndOfPreviousIncarnationIsIgnored guards against a notification that arrives after
// the runner has started again under its id: its tasks would be started elsewhere.
func TestEndOfPreviousIncarnationIsIgnored(t *testing.T) {
	cases := map[string]struct {
		ended time.Time
		want  []string
	}{
		"previous incarnation": {firstBorn, nil},
		"current incarnation":  {secondBorn, []string{taskID(2, 0, 0).String() + " 2@r2"}},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newRestartHarness(t)
			h.answer(secondBorn, nil)
			h.confirmStarts(h.storeJob(jobID(2), false, singleTaskStep()))
			h.send(&RunnersListed{Runners: []Runner{{ID: "r1", Born: secondBorn}, {ID: "r2", Address: "r2", Capacity: job.Resources{CPU: 16000, Memory: 65536}}}})
			h.answerPoll("r2", nil, nil)
			want(t, "starts", describeStarts(h.send(&RunnerEnded{Runner: "r1", Born: c.ended})), c.want)
		})
	}
}

// TestIncarnationsListedBeforeARestart guards against a list of incarnations that was
// requested before the runner started again.
func TestIncarnationsListedBeforeARestart(t *testing.T) {
	h := newRestartHarness(t)
	h.confirmStarts(h.storeJob(jobID(2), false, singleTaskStep()))
	h.advance(10 * time.Millisecond)
	requested := h.now
	h.advance(time.Second)
	h.register(secondBorn)
	h.advance(time.Second)
	h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
	h.advance(unreachableAfter)
	h.send(&IncarnationsListed{Alive: map[RunnerID]bool{}, RequestedAt: requested})
	want(t, "the new incarnation is kept", h.pool.runners["r1"] != nil, true)
}

// TestTicketsEndWithTheIncarnation covers a queue that requires tickets, which are valid
// during one life of a runner.
func TestTicketsEndWithTheIncarnation(t *testing.T) {
	h := newRestartHarness(t)
	h.send(&QueuesChanged{Queues: map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 3, RequiresTickets: true}}})
	effects := h.storeJob(jobID(2), false, singleTaskStep())
	step := effectsOf[*RequestTickets](effects)[0].Step
	h.register(secondBorn)
	h.send(&TicketsReceived{Step: step, Tickets: map[RunnerID]string{"r1": "ticket"}, ValidFor: time.Minute})
	want(t, "ticket", h.pool.ticket(step, "r1", h.now), "ticket")
	h.register(secondBorn.Add(time.Second))
	want(t, "ticket of the previous incarnation", h.pool.ticket(step, "r1", h.now), "")
}

// TestAdoptedRunMayHoldTheLongestLease covers a run that a former owner started with an
// expiry for the clock of a previous incarnation.
func TestAdoptedRunMayHoldTheLongestLease(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.register(firstBorn)
	step := singleTaskStep()
	step.Persistent = true
	h.storeJob(jobID(1), true, step)
	h.answer(firstBorn, []RunningTask{{Task: taskID(1, 0, 0), Run: 1}})
	adopted := h.now
	h.send(&RunnersListed{Runners: []Runner{{ID: "r1", Born: firstBorn}, {ID: "r2", Address: "r2", Capacity: job.Resources{CPU: 16000, Memory: 65536}}}})
	h.answerPoll("r2", nil, nil)
	h.incarnations("r1", "r2")
	want(t, "start elsewhere", len(h.restartsWhileUnreachable(15*time.Second)), 1)
	if waited := h.now.Sub(adopted); waited < DefaultMaxLease {
		t.Errorf("the task is started elsewhere after %v, within the longest lease", waited)
	}
}

// TestLeaseByThePreviousClockLastsForTheMaximum guards against two runs at once, which the
// soak showed: the start of a persistent task reached a runner that had restarted unnoticed,
// with an expiry for its previous clock. The runner answered and became unreachable soon
// after, and the task was started elsewhere when the lease that was meant had ended.
func TestLeaseByThePreviousClockLastsForTheMaximum(t *testing.T) {
	cases := map[string]func(h *harness){
		"noticed by the registration": func(h *harness) { h.register(secondBorn) },
		"noticed by a poll":           func(*harness) {},
	}
	for title, notice := range cases {
		t.Run(title, func(t *testing.T) {
			h := newRestartHarness(t)
			step := singleTaskStep()
			step.Persistent = true
			start := effectsOf[*StartTask](h.storeJob(jobID(2), false, step))[0]
			sent := h.now
			h.now = h.now.Add(5 * time.Millisecond)
			h.send(&TaskStarted{Runner: "r1", Task: start.Task, Run: 1, CallResult: Done, Sent: sent, Clock: ClockReading{Clock: RunnerClock(time.Second), At: h.now}})
			notice(h)
			h.answer(secondBorn, []RunningTask{{Task: start.Task, Run: 1}})
			h.send(&RunnersListed{Runners: []Runner{{ID: "r1", Born: secondBorn}, {ID: "r2", Address: "r2", Capacity: job.Resources{CPU: 16000, Memory: 65536}}}})
			h.answerPoll("r2", nil, nil)
			want(t, "start elsewhere", h.restartsWhileUnreachable(15*time.Second), []string{start.Task.String() + " 2@r2"})
			if waited := h.now.Sub(sent); waited < DefaultMaxLease {
				t.Errorf("the task is started elsewhere after %v, within the longest lease", waited)
			}
		})
	}
}

// TestForgedRegistrationLosesNoTask guards against the registration of another writer that names
// another start time, or the address of another runner: the tasks must not be started elsewhere.
func TestForgedRegistrationLosesNoTask(t *testing.T) {
	for title, address := range map[string]string{"start time": "r1", "start time and address": "r9"} {
		t.Run(title, func(t *testing.T) {
			h := newRestartHarness(t)
			h.register(firstBorn)
			h.confirmStarts(h.storeJob(jobID(2), false, singleTaskStep()))
			running := []RunningTask{{Task: taskID(2, 0, 0), Run: 1}}
			h.answer(firstBorn, running)
			started := h.storeJob(jobID(3), false, singleTaskStep())
			sent := h.now
			forged := Runner{ID: "r1", Address: address, Capacity: job.Resources{CPU: 16000, Memory: 65536}, Born: secondBorn}
			r2 := Runner{ID: "r2", Address: "r2", Capacity: job.Resources{CPU: 16000, Memory: 65536}}
			h.now = h.now.Add(5 * time.Millisecond)
			effects := h.send(&RunnersListed{Runners: []Runner{forged, r2}})
			h.answerPoll("r2", nil, nil)
			for _, s := range effectsOf[*StartTask](started) {
				effects = append(effects, h.send(&TaskStarted{Runner: "r1", Task: s.Task, Run: s.Run, CallResult: Done, Sent: sent, Clock: h.clockOf(firstBorn), Born: firstBorn})...)
			}
			if address == "r1" {
				running = append(running, RunningTask{Task: taskID(3, 0, 0), Run: 1})
				effects = append(effects, h.answer(firstBorn, running)...)
			} else {
				effects = append(effects, h.send(&RunnerPolled{Runner: "r1", CallResult: RefusedOtherIncarnation, Sent: h.now})...)
			}
			effects = append(effects, h.advance(time.Second)...)
			want(t, "starts elsewhere", describeStarts(effects), []string(nil))
		})
	}
}
