package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// troubles are spans of trouble that strike a world as it begins.
var troubles = []struct {
	name   string
	strike func(w *world)
}{
	{"cut", func(w *world) {
		for range 4 {
			r := w.runners[w.random.IntN(len(w.runners))]
			w.after(w.between(time.Second, 14*time.Second), func() { w.cutOff(r, w.between(time.Second, 9*time.Second)) })
		}
	}},
	{"full link", func(w *world) {
		for _, r := range w.runners[1:] {
			w.after(3*time.Second, func() { w.fillLink(r, 1500*time.Millisecond, 7*time.Second) })
			w.after(14*time.Second, func() { w.fillLink(r, 600*time.Millisecond, 3*time.Second) })
		}
	}},
	{"unregistered", func(w *world) {
		for _, at := range takeovers {
			r := w.runners[w.random.IntN(len(w.runners))]
			w.after(at-w.upTo(time.Second), func() { w.unregister(r, w.between(2*time.Second, 5*time.Second)) })
		}
	}},
	{"lives unknown", func(w *world) {
		for _, at := range takeovers {
			w.after(at, func() { w.livesUnknownUntil = w.now.Add(w.between(time.Second, 4*time.Second)) })
		}
	}},
	{"store down", func(w *world) {
		for _, at := range takeovers {
			w.after(at-w.upTo(2*time.Second), func() { w.storeDownUntil = w.now.Add(w.between(2*time.Second, 6*time.Second)) })
		}
	}},
	{"full list", func(w *world) { w.listLimit = 4 }},
	{"slow load", func(w *world) { w.loadPause = w.between(100*time.Millisecond, 400*time.Millisecond) }},
}

// takeovers are when the owner of a troubled world is about to change.
var takeovers = []time.Duration{4 * time.Second, 12 * time.Second}

// TestTroubleMatrix runs each trouble alone and all in pairs, with changes of the
// owner, a runner's death and a job that lasts.
func TestTroubleMatrix(t *testing.T) {
	const seeds = 5
	for a := range troubles {
		for b := a; b < len(troubles); b++ {
			title := troubles[a].name
			if b > a {
				title += " and " + troubles[b].name
			}
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprintf("%s/%d", title, seed), func(t *testing.T) {
					w := newWorld(t, seed, 5, faults{})
					troubles[a].strike(w)
					if b > a {
						troubles[b].strike(w)
					}
					runTroubled(w)
				})
			}
		}
	}
}

// lastingJob numbers the job that lasts.
const lastingJob = 900

func runTroubled(w *world) {
	const jobs = 40
	for n := range jobs {
		w.after(w.upTo(16*time.Second), func() { w.submit(n, twoSteps(w)) })
	}
	w.submit(lastingJob, job.Spec{Steps: []job.Step{{
		Count: 3, Persistent: true, Resources: job.Resources{CPU: 500, Memory: 64}, EstimatedRuntime: 7 * time.Second,
	}}})
	for _, at := range takeovers {
		w.after(at+w.upTo(livesInterval), w.takeOver)
	}
	w.after(w.between(2*time.Second, 16*time.Second), func() { w.kill(w.runners[w.random.IntN(len(w.runners))]) })
	w.finish(60 * time.Second)
	for index := range 3 {
		task := name(lastingJob, 0, index)
		for waited := time.Duration(0); !w.runs(task); waited += 100 * time.Millisecond {
			if waited > 3*time.Second {
				w.t.Fatalf("%v has not run for %v", task, waited)
			}
			w.run(100 * time.Millisecond)
		}
	}
}

// runs reports whether a task runs anywhere.
func (w *world) runs(task job.TaskID) bool {
	for _, r := range w.runners {
		if !r.dead && r.running[task] != nil {
			return true
		}
	}
	return false
}
