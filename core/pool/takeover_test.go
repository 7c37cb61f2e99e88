package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// inheritJob adds a job of two steps with the progress that a previous owner has stored.
func (h *harness) inheritJob(n int, progress *job.Progress) []Effect {
	return h.send(&JobStored{
		Record: &job.Record{
			Pool: testPool, Queue: testQueue, ID: jobID(n), Accepted: h.now,
			Spec: job.Spec{Steps: []job.Step{singleTaskStep(), {Count: 1, After: []int{0}}}},
		},
		Version: 11, Inherited: true, Progress: progress, ProgressVersion: 12,
	})
}

// TestListedFailureIsCountedOnce covers a previous owner that stored a failure and did not
// acknowledge it, so that the runner lists it again.
func TestListedFailureIsCountedOnce(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1")
	h.inheritJob(1, &job.Progress{Failed: map[string]job.FailedRuns{"0.0.0": {1, 2}}})
	h.answerPoll("r1", nil, []EndedTask{
		{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunFailed},
		{Number: 2, Task: taskID(1, 0, 0), Run: 2, Result: RunFailed},
	})
	want(t, "outcome after two of three attempts failed", h.pool.jobs[jobID(1)].outcome, job.State(""))
	h.answerPoll("r1", nil, []EndedTask{{Number: 3, Task: taskID(1, 0, 0), Run: 3, Result: RunFailed}})
	want(t, "outcome after the third failed", h.pool.jobs[jobID(1)].outcome, job.Failed)
}

// TestRunOfATaskThatIsDoneIsStopped covers a previous owner that started a task again
// while its end was being stored.
func TestRunOfATaskThatIsDoneIsStopped(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1")
	var bitmap job.Bitmap
	bitmap.Set(0)
	h.inheritJob(1, &job.Progress{Done: map[string][]byte{"0.0": bitmap}})
	stops := effectsOf[*StopTask](h.answerPoll("r1", []RunningTask{{Task: taskID(1, 0, 0), Run: 2}}, nil))
	if len(stops) == 0 || stops[0].Task != taskID(1, 0, 0) || stops[0].Run != 2 {
		t.Errorf("stops = %v, want a stop of run 2", stops)
	}
}

// TestProgressIsReadAfterAllRunnersAnswered guards against a fault seen on the grown
// Skywatch fleet: progress was read while the previous owner could still acknowledge
// ends, which were then missing from it.
func TestProgressIsReadAfterAllRunnersAnswered(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2, Loading: true})
	want(t, "fenced before runners are known", h.pool.PreviousOwnersFenced(h.now), false)
	h.runners("r1", "r2")
	want(t, "fenced before any has answered", h.pool.PreviousOwnersFenced(h.now), false)
	h.answerPoll("r1", nil, nil)
	want(t, "fenced before the second has answered", h.pool.PreviousOwnersFenced(h.now), false)
	h.answerPoll("r2", nil, nil)
	want(t, "fenced before the incarnations are known", h.pool.PreviousOwnersFenced(h.now), false)
	h.incarnations("r1", "r2", "r3")
	want(t, "fenced before an unregistered one has answered", h.pool.PreviousOwnersFenced(h.now), false)
	h.runners("r1", "r2", "r3")
	h.answerPoll("r3", nil, nil)
	want(t, "fenced after all have answered", h.pool.PreviousOwnersFenced(h.now), true)
}

// TestProgressIsReadAfterLeasesExpire covers a runner that never answers: the former
// owner's orders are void once all leases have expired.
func TestProgressIsReadAfterLeasesExpire(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2, Loading: true})
	h.runners("r1")
	h.advance(DefaultLease)
	want(t, "fenced before the leases have expired", h.pool.PreviousOwnersFenced(h.now), false)
	h.advance(leaseBound(DefaultLease) - DefaultLease + 1)
	want(t, "fenced after the leases have expired", h.pool.PreviousOwnersFenced(h.now), true)
}

// TestRunsOfANewJobAreNumberedFromTheEpoch guards against colliding run numbers. A
// previous owner that learns of its successor too late also starts a job that was stored
// after the takeover.
func TestRunsOfANewJobAreNumberedFromTheEpoch(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	want(t, "start", describeStarts(h.storeJob(jobID(1), false, singleTaskStep())), []string{taskID(1, 0, 0).String() + " 10001@r1"})
}

// TestNewOwnerWaitsForStopsOfItsPredecessor guards against an evacuation beyond a disruption budget
// (AVAIL): the previous owner has stopped a persistent task just before the takeover, and its runner
// still lists it as serving.
func TestNewOwnerWaitsForStopsOfItsPredecessor(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2, Loading: true})
	h.runners("r1", "r2", "r3")
	step := persistentStep(2, 100)
	step.DisruptionBudget = 1
	h.storeJob(jobID(1), true, step)
	h.send(&JobsLoaded{Present: map[job.ID]bool{jobID(1): true}, Version: 20})
	h.incarnations("r1", "r2", "r3")
	serving := func(index int) []RunningTask {
		return []RunningTask{{Task: taskID(1, 0, index), Run: 4, ProgressPercent: 100}}
	}
	h.answerPoll("r1", serving(0), nil)
	h.answerPoll("r2", serving(1), nil)
	h.answerPoll("r3", nil, nil)
	effects := append(h.send(&RunnersCordoned{Runners: map[RunnerID]bool{"r1": true}}), h.advance(100*time.Millisecond)...)
	want(t, "stops just after the takeover", len(effectsOf[*StopTask](effects)), 0)
	h.answerPoll("r2", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 1), Run: 4, Result: RunStopped}})
	var stops []*StopTask
	for range 30 {
		effects := h.advance(100 * time.Millisecond)
		h.confirmStarts(effects)
		stops = append(stops, effectsOf[*StopTask](append(effects, h.answerPoll("r1", serving(0), nil)...))...)
		for _, id := range []RunnerID{"r2", "r3"} {
			var running []RunningTask
			if r := h.pool.runners[id]; r.tasks[taskID(1, 0, 1)] != nil {
				running = []RunningTask{{Task: taskID(1, 0, 1), Run: r.tasks[taskID(1, 0, 1)].run, ProgressPercent: 100}}
			}
			h.answerPoll(id, running, nil)
		}
	}
	want(t, "stops once the other task serves again", len(stops) > 0, true)
}
