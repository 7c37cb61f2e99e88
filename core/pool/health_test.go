package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// crashingService returns a job of six persistent tasks.
func crashingService() job.Spec {
	return job.Spec{Steps: []job.Step{{
		Count: 6, Persistent: true, Resources: job.Resources{CPU: 100, Memory: 256}, EstimatedRuntime: 100 * time.Hour,
	}}}
}

// TestFailingJobsDoNotEjectAllRunners guards against review case 8 (LOST): persistent tasks that
// fail again and again counted against their runners, and nothing reset the count, so that all
// runners of a pool were ejected and tasks stayed away for 12 s and more.
func TestFailingJobsDoNotEjectAllRunners(t *testing.T) {
	const (
		services  = 10
		maxAbsent = 9 * time.Second // 6 s after its last run, a task may have nothing running for 3 s
	)
	sim := newSimulation(t, 7, 3, faults{})
	sim.failsAfter = func(task job.TaskID, run int) time.Duration {
		once := task.Job == jobID(0) || task.Job == jobID(1)
		switch {
		case once && run > 1:
			return 0
		case once:
			return 15*time.Second + time.Duration(sim.random.Int64N(int64(25*time.Second)))
		}
		return time.Second + time.Duration(sim.random.Int64N(int64(9*time.Second)))
	}
	for n := range services {
		sim.submit(n, crashingService())
	}
	absentSince := map[job.TaskID]time.Time{}
	longest := time.Duration(0)
	for range 70 * 20 {
		sim.run(50 * time.Millisecond)
		for n := range services {
			for i := range 6 {
				task := taskID(n, 0, i)
				switch since, absent := absentSince[task]; {
				case sim.runnerOf(task) != nil:
					delete(absentSince, task)
				case !absent:
					absentSince[task] = sim.now
				default:
					longest = max(longest, sim.now.Sub(since))
				}
			}
		}
	}
	if longest > maxAbsent {
		t.Errorf("a task had no run for %v, want at most %v", longest, maxAbsent)
	}
}

// TestFailingRunnerIsEjected checks that a runner that fails whatever it starts gets few tasks
// beside runners that do not, while some jobs fail everywhere.
func TestFailingRunnerIsEjected(t *testing.T) {
	sim := newSimulation(t, 7, 6, faults{})
	sim.failsOn = map[RunnerID]bool{"r2": true}
	failedRuns := func() int {
		n := 0
		for _, end := range sim.runners[2].ended {
			if end.Result == RunFailed {
				n++
			}
		}
		return n + int(sim.runners[2].lastEndNumber) - len(sim.runners[2].ended)
	}
	sim.pool.queues[testQueue] = QueueSettings{MaxAttempts: 100, Stretch: 2, LatencyTarget: time.Second}
	for n := range 200 {
		sim.after(time.Duration(n)*100*time.Millisecond, func() {
			sim.submit(n, job.Spec{Steps: []job.Step{{Count: 4, Resources: job.Resources{CPU: 1000, Memory: 64}, EstimatedRuntime: 500 * time.Millisecond}}})
		})
	}
	sim.run(25 * time.Second)
	want(t, "jobs finished", len(sim.finishedAt), 200)
	if got := failedRuns(); got > 40 {
		t.Errorf("%d of 800 tasks were tried on the failing runner, want at most 40", got)
	}
}

// failTask lets a runner list the failure of the only task of a new job, which ends with it.
func (h *harness) failTask(n int, id RunnerID, number int64) {
	step := singleTaskStep()
	step.RequiredLabel = string(id)
	h.confirmStarts(h.storeJob(jobID(n), false, step))
	h.answerPoll(id, nil, []EndedTask{{Number: number, Task: taskID(n, 0, 0), Run: 1, Result: RunFailed}})
}

// labelledRunners registers runners that each have their id as a label. Jobs have one attempt.
func (h *harness) labelledRunners(count int) []RunnerID {
	h.send(&QueuesChanged{Queues: map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 1, Stretch: 2, LatencyTarget: time.Second}}})
	var list []Runner
	var ids []RunnerID
	for i := range count {
		id := RunnerID(fmt.Sprintf("r%d", i+1))
		ids = append(ids, id)
		list = append(list, Runner{ID: id, Address: string(id), Capacity: job.Resources{CPU: 16000, Memory: 65536}, Labels: []string{string(id)}})
	}
	h.send(&RunnersListed{Runners: list})
	for _, id := range ids {
		h.answerPoll(id, nil, nil)
	}
	return ids
}

// withheld counts the runners that are reported as withheld.
func (h *harness) withheld() int {
	n := 0
	for _, r := range h.pool.Report(h.now).Runners {
		if r.Withheld {
			n++
		}
	}
	return n
}

// TestEjectionsAreLimited guards against a pool all of whose runners are ejected, whatever the
// cause of the failures.
func TestEjectionsAreLimited(t *testing.T) {
	for runners, limit := range map[int]int{1: 0, 2: 1, 3: 1, 6: 2} {
		t.Run(fmt.Sprint(runners), func(t *testing.T) {
			h := newHarness(t, Options{})
			n := 0
			for i, id := range h.labelledRunners(runners) {
				for number := range int64(4) {
					n++
					h.failTask(100*i+n, id, number+1)
				}
			}
			want(t, "ejected runners", h.withheld(), limit)
		})
	}
}

// TestEarlierRunsDoNotRenewEjection guards against an ejection that begins anew with each failure
// of a task that was running before it.
func TestEarlierRunsDoNotRenewEjection(t *testing.T) {
	h := newHarness(t, Options{})
	h.labelledRunners(3)
	for n := 1; n <= 6; n++ {
		step := singleTaskStep()
		step.RequiredLabel, step.EstimatedRuntime = "r1", time.Minute
		h.confirmStarts(h.storeJob(jobID(n), false, step))
	}
	fail := func(n int) {
		var running []RunningTask
		for later := n + 1; later <= 6; later++ {
			running = append(running, RunningTask{Task: taskID(later, 0, 0), Run: 1})
		}
		h.answerPoll("r1", running, []EndedTask{{Number: int64(n), Task: taskID(n, 0, 0), Run: 1, Result: RunFailed}})
	}
	for n := 1; n <= 3; n++ {
		fail(n)
	}
	want(t, "ejected runners", h.withheld(), 1)
	h.advance(minEjectTime - time.Second)
	for n := 4; n <= 6; n++ {
		fail(n)
	}
	h.advance(time.Second)
	want(t, "ejected runners after the time of the first ejection", h.withheld(), 0)
}

// TestSuspicionEnds guards against a runner that gets one batch task at a time for ever, because
// its persistent tasks never end, and against one that gets more than one at once before that.
func TestSuspicionEnds(t *testing.T) {
	h := newHarness(t, Options{})
	ids := h.labelledRunners(3)
	h.failTask(1, "r1", 1)
	h.failTask(2, "r1", 2)
	service, batch := persistentStep(1, 100), singleTaskStep()
	service.RequiredLabel = "r1"
	batch.Count, batch.RequiredLabel = 3, "r1"
	h.confirmStarts(h.storeJob(jobID(3), false, service))
	first := h.storeJob(jobID(4), false, batch)
	want(t, "starts on the suspect", len(effectsOf[*StartTask](first)), 1)
	h.confirmStarts(first)
	running := []RunningTask{{Task: taskID(3, 0, 0), Run: 1, ProgressPercent: 100}, {Task: taskID(4, 0, 0), Run: 1}}
	var starts []string
	for n := range 15 {
		effects := h.advance(300 * time.Millisecond)
		running[1].ProgressPercent = n
		effects = append(effects, h.answerPoll("r1", running, nil)...)
		for _, id := range ids[1:] {
			h.answerPoll(id, nil, nil)
		}
		starts = append(starts, describeStarts(effects)...)
	}
	want(t, "later starts", starts, []string{taskID(4, 0, 1).String() + " 1@r1", taskID(4, 0, 2).String() + " 1@r1"})
}

// TestCrashLoopIsDelayed guards against a persistent task that fails at once, whatever its
// runner, and takes a start every few milliseconds. It has at most one a second, and at least one in 9 s.
func TestCrashLoopIsDelayed(t *testing.T) {
	for _, result := range []RunResult{RunFailed, RunDone} {
		t.Run(string(result), func(t *testing.T) {
			sim := newSimulation(t, 7, 3, faults{})
			sim.failsAfter = func(job.TaskID, int) time.Duration { return 20 * time.Millisecond }
			sim.failure = result
			sim.submit(1, job.Spec{Steps: []job.Step{{Count: 1, Persistent: true, Resources: job.Resources{CPU: 100}, EstimatedRuntime: 100 * time.Hour}}})
			sim.run(60 * time.Second)
			if sim.starts < 60/9 || sim.starts > 60 {
				t.Errorf("%d starts in 60 s, want 7 to 60", sim.starts)
			}
		})
	}
}

// TestOnlyPlaceIsEjected guards against a task that waits for the end of an ejection although it
// can run nowhere else.
func TestOnlyPlaceIsEjected(t *testing.T) {
	persistent, batch := persistentStep(1, 100), singleTaskStep()
	persistent.RequiredLabel, batch.RequiredLabel = "r1", "r1"
	for name, step := range map[string]job.Step{"persistent": persistent, "batch": batch} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.labelledRunners(3)
			for n := 1; n <= 3; n++ {
				h.failTask(n, "r1", int64(n))
			}
			want(t, "ejected runners", h.withheld(), 1)
			want(t, "starts", len(effectsOf[*StartTask](h.storeJob(jobID(9), false, step))), 1)
		})
	}
}

// TestStalledJobDoesNotEjectRunners guards against a task that makes no progress anywhere and
// counts against each runner that it is tried on.
func TestStalledJobDoesNotEjectRunners(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1", "r2", "r3", "r4")
	for n := 1; n <= 2; n++ {
		j := &jobState{record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(n)}}
		for _, r := range h.pool.runnerOrder {
			h.pool.recordFailure(h.now, r, &task{id: taskID(n, 0, 0), job: j, orderedAt: h.now})
		}
	}
	var counts []int
	for _, r := range h.pool.runnerOrder {
		counts = append(counts, r.health.failures)
	}
	want(t, "failures counted", counts, []int{2, 2, 0, 0})
}

// TestFailedBatchTaskIsRetriedAtOnce guards against a delay before the attempts of a batch task,
// which are limited anyway and whose caller waits for the outcome.
func TestFailedBatchTaskIsRetriedAtOnce(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1", "r2", "r3")
	effects := h.storeJob(jobID(1), false, singleTaskStep())
	for attempt := 1; attempt <= 2; attempt++ {
		starts := effectsOf[*StartTask](effects)
		if len(starts) != 1 {
			t.Fatalf("starts of attempt %d: %v, want one", attempt, describeStarts(effects))
		}
		h.confirmStarts(effects)
		effects = h.answerPoll(starts[0].Runner.ID, nil, []EndedTask{{Number: int64(attempt), Task: taskID(1, 0, 0), Run: starts[0].Run, Result: RunFailed}})
	}
	want(t, "starts of the third attempt", len(effectsOf[*StartTask](effects)), 1)
}
