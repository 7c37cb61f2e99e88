package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// TestPollRateOfLargePool simulates a load peak on the grown Skywatch fleet: 100
// instances on which tasks end continually. An owner that polled all of them at the
// minimum interval would spend all its time on polls.
func TestPollRateOfLargePool(t *testing.T) {
	const (
		runners  = 100
		rate     = 400
		duration = 5 * time.Second
	)
	sim := newSimulation(t, 5, runners, faults{})
	sim.pool.options.PollRate = rate
	sim.listRunners()
	spec := job.Spec{Steps: []job.Step{{
		Count: 8, Resources: job.Resources{CPU: 1000, Memory: 64}, EstimatedRuntime: 500 * time.Millisecond,
	}}}
	for n := range 900 {
		sim.after(time.Duration(n)*duration/900, func() { sim.submit(n, spec) })
	}
	sim.run(time.Second) // all runners are polled at once in the beginning
	before := sim.polls
	sim.run(duration - time.Second)
	if got, maxPolls := sim.polls-before, int(1.1*rate*(duration-time.Second).Seconds()); got > maxPolls {
		t.Errorf("%d polls in %v, want at most %d", got, duration-time.Second, maxPolls)
	}
	sim.run(20 * time.Second)
	if len(sim.finishedAt) != 900 {
		t.Errorf("%d of 900 jobs are finished", len(sim.finishedAt))
	}
}

// TestBatchOfEventsDispatchesOnce checks that events passed in together share one
// dispatch: the runner has room for one task, which is that of the most urgent job of
// the batch, although its event comes last.
func TestBatchOfEventsDispatchesOnce(t *testing.T) {
	h := newHarness(t, Options{})
	h.send(&QueuesChanged{Queues: map[job.QueueName]QueueSettings{
		testQueue: {MaxAttempts: 3, Stretch: 2, LatencyTarget: time.Second, Priority: 1},
		"urgent":  {MaxAttempts: 3, Stretch: 2, LatencyTarget: time.Second},
	}})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	step := singleTaskStep()
	step.CPU = 16000
	var events []Event
	for n, queue := range []job.QueueName{testQueue, testQueue, "urgent"} {
		events = append(events, &JobStored{Version: 11, Record: &job.Record{
			Pool: testPool, Queue: queue, ID: jobID(n + 1), Spec: job.Spec{Steps: []job.Step{step}}, Accepted: h.now,
		}})
	}
	var started []string
	for _, s := range effectsOf[*StartTask](h.pool.Reduce(h.now, events...)) {
		started = append(started, fmt.Sprint(s.Task.Job))
	}
	want(t, "started jobs", started, []string{string(jobID(3))})
}

// TestStartsInFlightAreLimited guards against overload of a small entry that owns a
// large pool (grown Skywatch, store.toml, seed 813597456375): answers that it read too
// late counted as missing, and completed tasks ran again.
func TestStartsInFlightAreLimited(t *testing.T) {
	h := newHarness(t, Options{MaxStartsInFlight: 3})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	step := singleTaskStep()
	step.Count = 5
	first := effectsOf[*StartTask](h.storeJob(jobID(1), false, step))
	want(t, "starts before any answer", len(first), 3)
	want(t, "further starts before any answer", len(effectsOf[*StartTask](h.advance(100*time.Millisecond))), 0)
	next := h.send(&TaskStarted{Runner: "r1", Task: first[0].Task, Run: first[0].Run, CallResult: Done})
	want(t, "starts after an answer", len(effectsOf[*StartTask](next)), 1)
}
