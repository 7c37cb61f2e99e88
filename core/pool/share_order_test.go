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
// with persistent tasks and gets its share of the rest in addition.
func TestPersistentTasksCountAsUse(t *testing.T) {
	inTime := map[bool]float64{}
	for _, holds := range []bool{false, true} {
		sim := newSimulation(t, 1, replayRunners, faults{})
		sim.runnerCPU = replayCPU
		sim.listRunners()
		o := overload{seed: 1, weights: []float64{1, 1}, perSecond: 40, hot: -1}
		sim.setOrganisations(directory(t, o.weights...))
		step := job.Step{Count: replayRunners, Resources: job.Resources{CPU: 10_000}, MaxPerInstance: 1, Persistent: true, EstimatedRuntime: time.Hour}
		name := organisationName(0)
		if !holds {
			name = "someone else"
		}
		sim.submitFor(name, 1_000_000, job.Spec{Steps: []job.Step{step}}, false)
		sim.run(2 * time.Second) // the persistent tasks start in the empty pool
		judged := o.schedule(sim)
		sim.run(replayDuration + 10*time.Second)
		for id, j := range judged {
			if at, ok := sim.finishedAt[id]; ok && j.organisation == 0 && at.Sub(sim.submittedAt[id]) <= j.objective {
				inTime[holds]++
			}
		}
	}
	t.Logf("jobs in time: %v with the persistent tasks, %v without", inTime[true], inTime[false])
	if inTime[true] > 0.9*inTime[false] {
		t.Errorf("%v jobs in time with the persistent tasks, %v without, want fewer", inTime[true], inTime[false])
	}
}
