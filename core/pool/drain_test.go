package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bronzestair/core/job"
)

// submitService stores a job of persistent tasks, at most one on an instance, of which
// planned work may interrupt one at a time.
func (sim *simulation) submitService(n, count int) {
	sim.submit(n, job.Spec{Steps: []job.Step{{
		Count: count, Persistent: true, MaxPerInstance: 1, DisruptionBudget: 1,
		Resources: job.Resources{CPU: 1000, Memory: 64}, EstimatedRuntime: 100 * time.Hour,
	}}})
}

// runnerOf returns the runner that runs a task, or nil if none does.
func (sim *simulation) runnerOf(task job.TaskID) *modelRunner {
	for _, r := range sim.runners {
		if r.running[task] != nil {
			return r
		}
	}
	return nil
}

// taskOn returns the task of a service that runs on a runner.
func (sim *simulation) taskOn(r *modelRunner, service int) job.TaskID {
	for task := range r.running {
		if task.Job == jobID(service) {
			return task
		}
	}
	sim.t.Fatalf("no task of service %d runs on %s", service, r.id)
	return job.TaskID{}
}

// runningTasks counts the running tasks of a service.
func (sim *simulation) runningTasks(service, count int) int {
	n := 0
	for i := range count {
		if sim.runnerOf(taskID(service, 0, i)) != nil {
			n++
		}
	}
	return n
}

func (sim *simulation) cordon(runners ...*modelRunner) {
	cordoned := map[RunnerID]bool{}
	for _, r := range runners {
		cordoned[r.id] = true
	}
	sim.send(sim.pool, &RunnersCordoned{Runners: cordoned})
}

// maintain carries out the upkeep of cordoned runners, one at a time and each as soon as it is
// drained, and returns how many it has completed when the time is up.
func (sim *simulation) maintain(cordoned []*modelRunner, limit time.Duration) int {
	total := len(cordoned)
	for end := sim.now.Add(limit); len(cordoned) > 0 && sim.now.Before(end); {
		sim.cordon(cordoned...)
		sim.run(250 * time.Millisecond)
		drained := slices.IndexFunc(cordoned, func(r *modelRunner) bool { return len(r.running) == 0 })
		if drained < 0 {
			continue
		}
		r := cordoned[drained]
		cordoned = slices.Delete(cordoned, drained, drained+1)
		r.restart(2*time.Second, 100*time.Millisecond)
		sim.send(sim.pool, &RunnerEnded{Runner: r.id, Born: r.born})
		sim.run(3 * time.Second)
	}
	return total - len(cordoned)
}

// TestEvacuationsDoNotWaitForEachOther guards against two evacuations that each hold what the
// other waits for (review case 7, LOST): two services run a task on each of six runners, a task
// of each is away, and its disruption budget with it. Two runners are cordoned, and neither can
// be drained of the other service's task.
func TestEvacuationsDoNotWaitForEachOther(t *testing.T) {
	const runners = 6
	for name, c := range map[string]struct {
		delay time.Duration // from the failures to the cordons
	}{
		"restarted before the cordon": {300 * time.Millisecond},
		"starting":                    {30 * time.Millisecond},
		"failed after the cordon":     {-10 * time.Millisecond},
		"draining":                    {-400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3, runners, faults{})
			sim.submitService(1, runners)
			sim.submitService(2, runners)
			sim.run(3 * time.Second)
			cordoned := slices.Clone(sim.runners[:2])
			for i, r := range cordoned {
				task := sim.taskOn(r, i+1)
				sim.after(time.Second, func() {
					if r.running[task] != nil {
						r.endRun(task, RunFailed)
					}
				})
			}
			sim.run(time.Second + c.delay)
			want(t, "runners drained", sim.maintain(cordoned, 20*time.Second), 2)
			sim.cordon()
			sim.run(time.Second)
			for service := 1; service <= 2; service++ {
				want(t, "running tasks", sim.runningTasks(service, runners), runners)
			}
		})
	}
}

// TestOnlyPlaceIsCordoned guards against a persistent task that stays away while the drain of
// its only place is blocked.
func TestOnlyPlaceIsCordoned(t *testing.T) {
	sim := newSimulation(t, 3, 2, faults{})
	sim.submitService(1, 2)
	sim.submitService(2, 3) // one of its tasks has no place, which uses up its budget
	sim.run(3 * time.Second)
	r := sim.runners[0]
	sim.cordon(r)
	task := sim.taskOn(r, 1)
	r.endRun(task, RunFailed)
	sim.run(3 * time.Second)
	want(t, "the task runs on its only place", sim.runnerOf(task) == r, true)
}

// TestDrainingRunnerKeepsTasksWithoutAnotherPlace guards against persistent tasks that are
// stopped on a runner that shuts down although they can run nowhere else. Nobody can lift its
// cordon, and nothing depends on it being empty.
func TestDrainingRunnerKeepsTasksWithoutAnotherPlace(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1", "r2")
	spread, movable := persistentStep(2, 100), persistentStep(1, 100)
	spread.DisruptionBudget, movable.DisruptionBudget = 1, 1
	h.confirmStarts(h.storeJob(jobID(1), false, spread))
	starts := h.storeJob(jobID(2), false, movable)
	leaving := effectsOf[*StartTask](starts)[0].Runner.ID
	h.confirmStarts(starts)
	running := map[RunnerID][]RunningTask{}
	for _, r := range h.pool.runnerOrder {
		for _, task := range r.sortedTasks() {
			running[r.ID] = append(running[r.ID], RunningTask{Task: task.id, Run: 1, ProgressPercent: 100})
		}
		h.answerPoll(r.ID, running[r.ID], nil)
	}
	var list []Runner
	for _, r := range h.pool.runnerOrder {
		registered := r.Runner
		registered.Draining = r.ID == leaving
		list = append(list, registered)
	}
	var stopped []job.TaskID
	for _, stop := range effectsOf[*StopTask](append(h.send(&RunnersListed{Runners: list}), h.advance(100*time.Millisecond)...)) {
		stopped = append(stopped, stop.Task)
	}
	want(t, "stopped tasks", stopped, []job.TaskID{taskID(2, 0, 0)})
}

// TestCordonedRunnerStopsLongTasks guards against a batch task that an upkeep ends: its last end
// and its checkpoint are lost with the runner. It is stopped before, after time to end by itself.
func TestCordonedRunnerStopsLongTasks(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1")
	step := singleTaskStep()
	step.Count, step.EstimatedRuntime = 2, time.Minute
	h.confirmStarts(h.storeJob(jobID(1), false, step))
	h.send(&RunnersCordoned{Runners: map[RunnerID]bool{"r1": true}})
	running := []RunningTask{{Task: taskID(1, 0, 0), Run: 1}, {Task: taskID(1, 0, 1), Run: 1}}
	stopsWithin := func(limit time.Duration) int {
		stops := 0
		for end := h.now.Add(limit); h.now.Before(end); {
			effects := append(h.advance(100*time.Millisecond), h.answerPoll("r1", running, nil)...)
			stops += len(effectsOf[*StopTask](effects))
		}
		return stops
	}
	want(t, "stops while the tasks may end by themselves", stopsWithin(2300*time.Millisecond), 0)
	want(t, "stops afterwards", stopsWithin(400*time.Millisecond), 2)
}

// TestBatchTaskRunsOnItsCordonedPlace guards against a batch task that waits for as long as the drain
// of its only permitted runner, or of the only runner, is blocked, and against one that is
// stopped there in vain.
func TestBatchTaskRunsOnItsCordonedPlace(t *testing.T) {
	for _, runners := range []int{1, 2} {
		t.Run(fmt.Sprint(runners), func(t *testing.T) { testBatchTaskOnCordonedPlace(t, runners) })
	}
}

func testBatchTaskOnCordonedPlace(t *testing.T, runners int) {
	h := newHarness(t, Options{})
	h.labelledRunners(runners)
	service := persistentStep(3, 100) // one task has no place, which uses up the budget
	service.DisruptionBudget = 1
	var running []RunningTask
	for _, s := range effectsOf[*StartTask](h.storeJob(jobID(1), false, service)) {
		h.send(&TaskStarted{Runner: s.Runner.ID, Task: s.Task, Run: s.Run, CallResult: Done, Sent: h.now})
		if s.Runner.ID == "r1" {
			running = append(running, RunningTask{Task: s.Task, Run: 1, ProgressPercent: 100})
		}
	}
	h.send(&RunnersCordoned{Runners: map[RunnerID]bool{"r1": true}})
	step := singleTaskStep()
	step.EstimatedRuntime = time.Minute
	if runners > 1 {
		step.RequiredLabel = "r1"
	}
	effects := h.storeJob(jobID(2), false, step)
	want(t, "starts", describeStarts(effects), []string{taskID(2, 0, 0).String() + " 1@r1"})
	h.confirmStarts(effects)
	running = append(running, RunningTask{Task: taskID(2, 0, 0), Run: 1})
	var stops []*StopTask
	for n := range 50 {
		running[1].ProgressPercent = n
		stops = append(stops, effectsOf[*StopTask](append(h.advance(100*time.Millisecond), h.answerPoll("r1", running, nil)...))...)
	}
	want(t, "stops while the drain is blocked", len(stops), 0)
}
