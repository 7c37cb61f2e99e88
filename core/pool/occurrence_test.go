package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// TestOccurrenceAheadOfTheClockIsNotRunAgain guards against a new owner whose clock is behind that
// of the previous one: an occurrence that is not due by its clock was left out, and its stored
// progress, ends and runs with it, so that it ran again once it was due.
func TestOccurrenceAheadOfTheClockIsNotRunAgain(t *testing.T) {
	const behind = time.Second
	var doneFirst job.Bitmap
	doneFirst.Set(0)
	cases := map[string]struct {
		progress *job.Progress
		running  []RunningTask
		ended    []EndedTask
	}{
		"stored as done":    {progress: &job.Progress{Done: map[string][]byte{"0.0": doneFirst}}},
		"listed as done":    {ended: []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}}},
		"listed as running": {running: []RunningTask{{Task: taskID(1, 0, 0), Run: 1}}},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{Epoch: 2})
			h.runners("r1")
			h.incarnations("r1")
			h.send(&JobStored{
				Version: 11, Inherited: true, Progress: c.progress, ProgressVersion: 12,
				Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(1), Accepted: h.now, Spec: job.Spec{
					Steps:  []job.Step{singleTaskStep()},
					Repeat: job.Repeat{Count: 2, Start: h.now.Add(behind), Interval: time.Hour},
				}},
			})
			effects := h.answerPoll("r1", c.running, c.ended)
			for range 4 {
				effects = append(effects, h.advance(behind/2)...)
				effects = append(effects, h.answerPoll("r1", c.running, c.ended)...)
			}
			want(t, "starts", describeStarts(effects), []string(nil))
			want(t, "stops", len(effectsOf[*StopTask](effects)), 0)
		})
	}
}

// TestDueOccurrencesWait guards against the memory of occurrences that are due all at once, and
// against occurrences that are left out because earlier ones wait.
func TestDueOccurrencesWait(t *testing.T) {
	const occurrences = 3 * maxStepsAhead
	for _, steps := range []int{1, 3, job.MaxSteps} {
		spec := job.Spec{Repeat: job.Repeat{Count: occurrences, Start: time.Unix(1000, 0), Interval: time.Millisecond}}
		for range steps {
			spec.Steps = append(spec.Steps, job.Step{Count: 1, Resources: job.Resources{CPU: 1}})
		}
		h := newHarness(t, Options{})
		h.send(&JobStored{Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(1), Spec: spec, Accepted: h.now}, Version: 11})
		h.advance(time.Second)
		want(t, "steps that are due", len(h.pool.jobs[jobID(1)].occurrences)*steps <= maxStepsAhead+steps, true)
	}
	sim := newSimulation(t, 1, 4, faults{})
	sim.listRunners()
	sim.submit(1, job.Spec{
		Steps:  []job.Step{{Count: 1, Resources: job.Resources{CPU: 100}, EstimatedRuntime: 10 * time.Millisecond}},
		Repeat: job.Repeat{Count: occurrences, Start: time.Unix(1000, 0), Interval: time.Millisecond},
	})
	sim.run(2 * time.Minute)
	want(t, "completed jobs", len(sim.finishedAt), 1)
}

// TestProgressOfOccurrencesBeyondThoseAhead guards against a new owner that keeps fewer occurrences
// in memory than the previous one had begun: their tasks would run again.
func TestProgressOfOccurrencesBeyondThoseAhead(t *testing.T) {
	const begun = 2 * maxStepsAhead
	var doneFirst job.Bitmap
	doneFirst.Set(0)
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1")
	h.incarnations("r1")
	h.send(&JobStored{
		Version: 11, Inherited: true, ProgressVersion: 12,
		Progress: &job.Progress{Done: map[string][]byte{fmt.Sprintf("%d.0", begun): doneFirst}},
		Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(1), Accepted: h.now, Spec: job.Spec{
			Steps:  []job.Step{singleTaskStep()},
			Repeat: job.Repeat{Count: job.MaxOccurrences, Start: time.Unix(1000, 0), Interval: time.Millisecond},
		}},
	})
	j := h.pool.jobs[jobID(1)]
	listed := []RunningTask{{Task: job.TaskID{Job: jobID(1), Occurrence: begun + 50}, Run: 1}}
	h.answerPoll("r1", listed, nil)
	want(t, "state of a task that is done", j.task(job.TaskID{Job: jobID(1), Occurrence: begun}).state, done)
	want(t, "state of a task that a runner lists", j.task(listed[0].Task).state, running)
}

// wideJob returns a repeated job whose occurrences have so many tasks that the given number of
// them is in memory at a time.
func wideJob(inMemory, occurrences int) job.Spec {
	return job.Spec{
		Steps: []job.Step{{
			Count: job.MaxTasks/(inMemory+1) + 1, Resources: job.Resources{CPU: 100, Memory: 16}, EstimatedRuntime: 50 * time.Millisecond,
		}},
		Repeat: job.Repeat{Count: occurrences, Start: simulationStart, Interval: time.Second},
	}
}

// TestOccurrenceBehindUnstoredOnesIsNotRunAgain guards against a new owner without room for an
// occurrence that the previous one has begun (TWICE): it acknowledged the ends of its tasks without
// recording them.
func TestOccurrenceBehindUnstoredOnesIsNotRunAgain(t *testing.T) {
	cases := map[string]struct {
		inMemory int
		// begun is the occurrence whose first start precedes the takeover.
		begun int
		// dies is true if a runner terminates with the owner.
		dies bool
	}{
		"one in memory":            {inMemory: 1, begun: 1},
		"one in memory, long away": {inMemory: 1, begun: 3},
		"two in memory":            {inMemory: 2, begun: 3},
		"three in memory":          {inMemory: 3, begun: 4},
		"a runner dies as well":    {inMemory: 1, begun: 1, dies: true},
		"a runner dies, two kept":  {inMemory: 2, begun: 4, dies: true},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			sim := newSimulation(t, 1, 8, faults{})
			sim.options.MaxListedEnds = 6 * job.MaxTasks // an outage stops no starts
			sim.takeOver()
			sim.run(time.Second)
			sim.runnerCPU = 16000
			spec := wideJob(c.inMemory, c.begun+2)
			sim.submit(1, spec)
			// The progress that completes the occurrences before is not stored.
			first := c.begun - c.inMemory
			begun := func(occurrence int) func() bool {
				return func() bool { return sim.starts > occurrence*spec.Steps[0].Count }
			}
			sim.runUntil(begun(max(0, first)), time.Minute)
			sim.storeDownUntil = sim.now.Add(time.Hour)
			sim.runUntil(begun(c.begun), time.Minute)
			sim.run(150 * time.Millisecond)
			sim.storeDownUntil = sim.now.Add(time.Second) // the previous owner is killed, so it stores nothing
			if c.dies {
				sim.kill(sim.runners[3])
			}
			sim.takeOver()
			sim.requireFinished(2 * time.Minute)
		})
	}
}

// TestRunsOfAnOccurrenceBehindUnstoredOnes guards against a new owner that takes what its runners
// list of an occurrence for which it has no room as known: it forgot failed attempts and stopped
// runs that were right.
func TestRunsOfAnOccurrenceBehindUnstoredOnes(t *testing.T) {
	second := job.TaskID{Job: jobID(1), Occurrence: 1}
	cases := map[string]struct {
		running []RunningTask
		ended   []EndedTask
		check   func(t *testing.T, h *harness, effects []Effect)
	}{
		"running": {
			running: []RunningTask{{Task: second, Run: 1, Checkpoint: "half"}},
			check: func(t *testing.T, h *harness, effects []Effect) {
				want(t, "stops", len(effectsOf[*StopTask](effects)), 0)
				want(t, "checkpoint", h.pool.jobs[jobID(1)].task(second).checkpoint, "half")
			},
		},
		"failed": {
			ended: []EndedTask{{Number: 1, Task: second, Run: 1, Result: RunFailed}, {Number: 2, Task: second, Run: 2, Result: RunFailed}},
			check: func(t *testing.T, h *harness, _ []Effect) {
				want(t, "failed runs", h.pool.jobs[jobID(1)].task(second).failed, job.FailedRuns{1, 2})
			},
		},
		"done, after a task of the first": {
			ended: []EndedTask{
				{Number: 1, Task: job.TaskID{Job: jobID(1), Index: 7}, Run: 1, Result: RunDone},
				{Number: 2, Task: second, Run: 1, Result: RunDone},
			},
			check: func(t *testing.T, h *harness, effects []Effect) {
				want(t, "state", h.pool.jobs[jobID(1)].task(second).state, done)
				saves := effectsOf[*SaveProgress](append(effects, h.advance(saveInterval)...))
				var first job.Bitmap
				first.Set(0)
				want(t, "progress", saves[0].Progress, &job.Progress{
					Done: map[string][]byte{"1.0": first}, Failed: map[string]job.FailedRuns{}, FinishedOccurrences: 1,
				})
			},
		},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{Epoch: 2})
			h.runners("r1")
			h.incarnations("r1")
			h.send(&JobStored{
				Version: 11, Inherited: true, Progress: &job.Progress{}, ProgressVersion: 12,
				Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(1), Accepted: h.now, Spec: wideJob(1, 3)},
			})
			c.check(t, h, h.answerPoll("r1", c.running, c.ended))
		})
	}
}

// TestRunsOfACompletedOccurrenceAreStopped covers a second run of a task, which its runner lists
// before another one shows that the previous owner had completed the task's occurrence.
func TestRunsOfACompletedOccurrenceAreStopped(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1", "r2")
	h.incarnations("r1", "r2")
	h.send(&JobStored{
		Version: 11, Inherited: true, Progress: &job.Progress{}, ProgressVersion: 12,
		Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(1), Accepted: h.now, Spec: wideJob(1, 3)},
	})
	duplicate := RunningTask{Task: taskID(1, 0, 4), Run: 3}
	h.answerPoll("r1", []RunningTask{duplicate}, nil)
	effects := h.answerPoll("r2", []RunningTask{{Task: job.TaskID{Job: jobID(1), Occurrence: 1}, Run: 1}}, nil)
	stops := effectsOf[*StopTask](effects)
	if len(stops) != 1 || stops[0].Task != duplicate.Task || stops[0].Run != duplicate.Run {
		t.Fatalf("stops = %v, want one of %v", stops, duplicate)
	}
	want(t, "refusal while it runs", h.pool.runners["r1"].refusal(h.now), ObstacleStopping)
	h.answerPoll("r1", nil, []EndedTask{{Number: 1, Task: duplicate.Task, Run: duplicate.Run, Result: RunStopped}})
	want(t, "refusal once it has ended", h.pool.runners["r1"].refusal(h.now), Obstacle(""))
}

// TestRepeatedJobsUnderFaults covers overlapping takeovers, outages of the store, restarts and lost
// answers while wide occurrences of repeated jobs follow each other; the simulation fails if a task
// that is done starts again.
func TestRepeatedJobsUnderFaults(t *testing.T) {
	for _, seed := range []uint64{8, 12, 27} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 8, faults{lostRequests: 0.002, lostResponses: 0.005, failedWrites: 0.1})
			sim.runnerCPU = 16000
			for n, inMemory := range []int{1, 2, 4} {
				spec := wideJob(inMemory, 2*inMemory+2)
				spec.Repeat.Interval = 500 * time.Millisecond
				sim.submit(n+1, spec)
			}
			for at := time.Duration(0); at < 12*time.Second; at += sim.randomBetween(500*time.Millisecond, 2*time.Second) {
				disrupt := []func(){
					sim.takeOver,
					func() { sim.storeDownUntil = sim.now.Add(sim.randomUpTo(3 * time.Second)) },
					func() { sim.runners[sim.random.IntN(4)].restart(sim.randomUpTo(2*time.Second), 500*time.Millisecond) },
					func() { sim.disconnect(sim.runners[4+sim.random.IntN(4)], sim.randomUpTo(4*time.Second)) },
				}[sim.random.IntN(4)]
				sim.after(at, disrupt)
			}
			sim.requireFinished(3 * time.Minute)
		})
	}
}
