package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
)

// tracePeak simulates a load peak of jobs of three organisations and returns the starts in
// their order.
func tracePeak(t testing.TB, seed uint64, jobs int, named bool, d *organisation.Directory) []string {
	sim := newSimulation(t, seed, 12, faults{lostRequests: 0.01, lostResponses: 0.01, failedWrites: 0.01})
	sim.runnerCPU = 16_000
	sim.listRunners()
	if d != nil {
		sim.setOrganisations(d)
	}
	var trace []string
	sim.failsAfter = func(task job.TaskID, run int) time.Duration {
		trace = append(trace, fmt.Sprintf("%v %v %d", sim.now.Sub(simulationStart), task, run))
		return 0
	}
	for n := range jobs {
		step := job.Step{Count: 4 + n%5, Resources: job.Resources{CPU: 1500, Memory: 64}, EstimatedRuntime: time.Duration(300+n%7*100) * time.Millisecond}
		second := step
		second.After = []int{0}
		spec := job.Spec{Steps: []job.Step{step, second}}
		var name job.Organisation
		if named {
			name = organisationName(n % 3)
		}
		sim.after(time.Duration(n)*8*time.Second/time.Duration(jobs), func() { sim.submitFor(name, n, spec, false) })
	}
	sim.run(30 * time.Second)
	return trace
}

// TestOrderWithoutOrganisations guards against shares that change the order of tasks where they
// do not apply: the configuration names no organisations, or the pool has room for all jobs.
func TestOrderWithoutOrganisations(t *testing.T) {
	for seed := range uint64(3) {
		plain := tracePeak(t, seed, 400, false, nil)
		want(t, "starts of jobs with organisations that are not configured", tracePeak(t, seed, 400, true, nil), plain)
		want(t, "starts in a pool with room", tracePeak(t, seed, 60, true, directory(t, 1, 2, 3)), tracePeak(t, seed, 60, false, nil))
		divided := tracePeak(t, seed, 400, true, directory(t, 1, 2, 3))
		if len(plain) == 0 || fmt.Sprint(plain) == fmt.Sprint(divided) {
			t.Error("the load does not exceed the capacity of the pool, so that the test shows nothing")
		}
	}
}

// TestJobsInExcessComeLast checks the order of the tiers: a job in excess follows the jobs of
// others that are late and precedes expired ones.
func TestJobsInExcessComeLast(t *testing.T) {
	h := newHarness(t, Options{})
	h.send(&QueuesChanged{Queues: h.pool.queues, Organisations: directory(t, 1, 1)})
	store := func(n int, name job.Organisation, age time.Duration, excess bool) {
		step := singleTaskStep()
		step.CPU = 16_000
		h.send(&JobStored{
			Record: &job.Record{
				Pool: testPool, Queue: testQueue, Organisation: name, ID: jobID(n),
				Spec: job.Spec{Steps: []job.Step{step}}, Accepted: h.now.Add(-age),
			},
			Version: RowVersion(n), Excess: excess,
		})
	}
	store(1, "o0", 0, true)
	store(2, "o1", 4*time.Second, false)  // late: the objective is 3 s
	store(3, "o1", 20*time.Second, false) // expired
	store(4, "", 0, false)
	store(4, "", 0, true) // as if the feed had brought the job before its own write was answered
	store(5, "o1", 0, false)
	h.now = h.now.Add(2 * maxRankAge)
	h.runners("r1")
	var order []job.TaskID
	effects := h.answerPoll("r1", nil, nil)
	for end := int64(1); end <= 5; end++ {
		starts := effectsOf[*StartTask](effects)
		if len(starts) != 1 {
			t.Fatalf("starts = %v after %v, want one", describeStarts(effects), order)
		}
		order = append(order, starts[0].Task)
		h.confirmStarts(effects)
		effects = h.answerPoll("r1", nil, []EndedTask{{Number: end, Task: starts[0].Task, Run: 1, Result: RunDone}})
	}
	want(t, "order", order[:2], []job.TaskID{taskID(5, 0, 0), taskID(2, 0, 0)})
	want(t, "last", order[4], taskID(3, 0, 0))
}

// TestPersistentTasksCountAsUse guards against an organisation that holds a part of the pool
// with persistent tasks and gets its share of the rest in addition. With a sixth of the pool held
// and half of the pool as its share, two thirds of the other organisation's batch work are left.
func TestPersistentTasksCountAsUse(t *testing.T) {
	ratio := func(holder job.Organisation) float64 {
		done := overload{weights: []float64{1, 1}, perSecond: 60, hot: -1, divided: true, persistent: holder}.mean(t, 2).coreSeconds
		return done[0] / done[1]
	}
	held, other := ratio("o0"), ratio("not configured")
	t.Logf("work done in time by the holder of persistent tasks is %.3f of that of the other organisation, %.3f if a third one holds them", held, other)
	if held > 0.85 || other < 0.85 || other > 1.15 {
		t.Errorf("work in time is %.3f with the persistent tasks and %.3f without them, want less than 0.85 and about 1", held, other)
	}
}
