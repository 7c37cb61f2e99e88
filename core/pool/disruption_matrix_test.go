package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// disruptions are outages and slowdowns that inject schedules in a new simulation.
var disruptions = []struct {
	name   string
	inject func(sim *simulation)
}{
	{"disconnected", func(sim *simulation) {
		for range 4 {
			r := sim.runners[sim.random.IntN(len(sim.runners))]
			sim.after(sim.randomBetween(time.Second, 14*time.Second), func() { sim.disconnect(r, sim.randomBetween(time.Second, 9*time.Second)) })
		}
	}},
	{"congested link", func(sim *simulation) {
		for _, r := range sim.runners[1:] {
			sim.after(3*time.Second, func() { sim.congestLink(r, 1500*time.Millisecond, 7*time.Second) })
			sim.after(14*time.Second, func() { sim.congestLink(r, 600*time.Millisecond, 3*time.Second) })
		}
	}},
	{"unregistered", func(sim *simulation) {
		for _, at := range takeoverTimes {
			r := sim.runners[sim.random.IntN(len(sim.runners))]
			sim.after(at-sim.randomUpTo(time.Second), func() { sim.unregister(r, sim.randomBetween(2*time.Second, 5*time.Second)) })
		}
	}},
	{"incarnations unknown", func(sim *simulation) {
		for _, at := range takeoverTimes {
			sim.after(at, func() { sim.incarnationsUnknownUntil = sim.now.Add(sim.randomBetween(time.Second, 4*time.Second)) })
		}
	}},
	{"store down", func(sim *simulation) {
		for _, at := range takeoverTimes {
			sim.after(at-sim.randomUpTo(2*time.Second), func() { sim.storeDownUntil = sim.now.Add(sim.randomBetween(2*time.Second, 6*time.Second)) })
		}
	}},
	{"restarted", func(sim *simulation) {
		for range 6 {
			r := sim.runners[sim.random.IntN(len(sim.runners))]
			sim.after(sim.randomBetween(time.Second, 16*time.Second), func() {
				if !r.dead {
					r.restart(sim.randomUpTo(3*time.Second), sim.randomUpTo(1500*time.Millisecond))
				}
			})
		}
	}},
	{"truncated lists", func(sim *simulation) { sim.maxListedEnds = 4 }},
	{"slow load", func(sim *simulation) { sim.loadDelay = sim.randomBetween(100*time.Millisecond, 400*time.Millisecond) }},
}

// takeoverTimes are the approximate times of the takeovers.
var takeoverTimes = []time.Duration{4 * time.Second, 12 * time.Second}

// TestDisruptionMatrix simulates each disruption alone and all in pairs, with takeovers,
// the termination of a runner and a persistent job.
func TestDisruptionMatrix(t *testing.T) {
	const seeds = 5
	for a := range disruptions {
		for b := a; b < len(disruptions); b++ {
			title := disruptions[a].name
			if b > a {
				title += " and " + disruptions[b].name
			}
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprintf("%s/%d", title, seed), func(t *testing.T) {
					sim := newSimulation(t, seed, 5, faults{})
					disruptions[a].inject(sim)
					if b > a {
						disruptions[b].inject(sim)
					}
					runDisrupted(sim)
				})
			}
		}
	}
}

// persistentJob is the number of the persistent job.
const persistentJob = 900

func runDisrupted(sim *simulation) {
	const jobs = 40
	for n := range jobs {
		sim.after(sim.randomUpTo(16*time.Second), func() { sim.submit(n, twoStepJob(sim)) })
	}
	sim.submit(persistentJob, job.Spec{Steps: []job.Step{{
		Count: 3, Persistent: true, Resources: job.Resources{CPU: 500, Memory: 64}, EstimatedRuntime: 7 * time.Second,
	}}})
	for _, at := range takeoverTimes {
		sim.after(at+sim.randomUpTo(incarnationListInterval), sim.takeOver)
	}
	sim.after(sim.randomBetween(2*time.Second, 16*time.Second), func() { sim.kill(sim.runners[sim.random.IntN(len(sim.runners))]) })
	sim.requireFinished(60 * time.Second)
	for index := range 3 {
		task := taskID(persistentJob, 0, index)
		for waited := time.Duration(0); !sim.isRunning(task); waited += 100 * time.Millisecond {
			if waited > 3*time.Second {
				sim.t.Fatalf("%v has not been running for %v", task, waited)
			}
			sim.run(100 * time.Millisecond)
		}
	}
}

// isRunning reports whether a task runs on any live runner.
func (sim *simulation) isRunning(task job.TaskID) bool {
	for _, r := range sim.runners {
		if !r.dead && r.running[task] != nil {
			return true
		}
	}
	return false
}
