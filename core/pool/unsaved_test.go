package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// newUnsavedSimulation returns a simulation of runners that list few ends, in which the store
// refuses the progress of job 1 until the given time. Tasks of the job have ended on two runners.
func newUnsavedSimulation(t *testing.T, refusedFor time.Duration) *simulation {
	sim := newSimulation(t, 1, 6, faults{})
	sim.maxListedEnds = 40
	sim.options.MaxListedEnds = sim.maxListedEnds
	sim.takeOver()
	sim.run(time.Second)
	until := sim.now.Add(refusedFor)
	sim.refusesProgress = func(id job.ID) bool { return id == jobID(1) && sim.now.Before(until) }
	spec := oneStepJob(2, 200*time.Millisecond)
	for i := range 200 {
		next := spec.Steps[0]
		next.After = []int{i}
		spec.Steps = append(spec.Steps, next)
	}
	sim.submit(1, spec)
	return sim
}

// submitOrdinary submits a job of two tasks every 50 ms for the duration d and returns the number of
// jobs, which follow job 1.
func (sim *simulation) submitOrdinary(d time.Duration) int {
	const interval = 50 * time.Millisecond
	n := int(d / interval)
	for i := range n {
		sim.after(time.Duration(i)*interval, func() { sim.submit(2+i, oneStepJob(2, 200*time.Millisecond)) })
	}
	return n
}

// TestUnsavedJobSparesTheOthers guards against one job whose changes cannot be stored (LOST): ends are
// acknowledged in order, so that runners list more and more ends, until the list is cut and the
// owner never learns of those of other jobs.
func TestUnsavedJobSparesTheOthers(t *testing.T) {
	sim := newUnsavedSimulation(t, time.Hour)
	n := sim.submitOrdinary(40 * time.Second)
	sim.run(45 * time.Second)
	want(t, "ordinary jobs that are done", len(sim.finishedAt), n)
	for _, r := range sim.runners {
		if len(r.ended) >= sim.maxListedEnds {
			t.Errorf("runner %s has %d ends that are not acknowledged, it lists %d", r.id, len(r.ended), sim.maxListedEnds)
		}
	}
	busy := 0
	for _, r := range sim.pool.runnerOrder {
		if r.awaitsSave(sim.pool.jobs[jobID(1)]) {
			busy++
		}
	}
	if busy > 2 {
		t.Errorf("ends of the job wait on %d runners, want it confined to 2", busy)
	}
}

// TestUnsavedJobGoesOnOnceItIsStored covers the end of a confinement, also by a new owner that finds
// the lists nearly full.
func TestUnsavedJobGoesOnOnceItIsStored(t *testing.T) {
	for title, takeover := range map[string]bool{"same owner": false, "new owner": true} {
		t.Run(title, func(t *testing.T) {
			sim := newUnsavedSimulation(t, 10*time.Second)
			sim.submitOrdinary(20 * time.Second)
			sim.run(9 * time.Second)
			if takeover {
				sim.takeOver()
			}
			sim.requireFinished(3 * time.Minute)
		})
	}
}

// TestOutageConfinesNoJob covers a store that takes no writes at all: no job is to blame.
func TestOutageConfinesNoJob(t *testing.T) {
	sim := newUnsavedSimulation(t, 0)
	sim.submitOrdinary(5 * time.Second)
	sim.storeDownUntil = sim.now.Add(10 * time.Second)
	sim.run(9 * time.Second)
	for _, j := range sim.pool.jobOrder {
		want(t, "confined "+string(j.id()), j.confined, false)
	}
	sim.requireFinished(3 * time.Minute)
}
