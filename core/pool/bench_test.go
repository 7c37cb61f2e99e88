package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// BenchmarkTurn measures the reducer alone in a turn of a large pool: 85
// instances, 8 seconds of jobs that ask for more than there is.
func BenchmarkTurn(b *testing.B) {
	for b.Loop() {
		w := newWorld(b, 3, 85, faults{})
		w.cores = 16000
		w.listRunners()
		for n := range 1000 {
			spec := job.Spec{Steps: []job.Step{
				{Count: 8, Resources: job.Resources{CPU: 1500, Memory: 64}, EstimatedRuntime: 640 * time.Millisecond},
				{Count: 8, Resources: job.Resources{CPU: 1500, Memory: 64}, EstimatedRuntime: 640 * time.Millisecond, After: []int{0}},
			}}
			w.after(time.Duration(n)*8*time.Millisecond, func() { w.submit(n, spec) })
		}
		w.run(20 * time.Second)
		b.ReportMetric(float64(w.reducing.Microseconds())/float64(w.events), "us/event")
		b.ReportMetric(w.reducing.Seconds(), "reducing-s")
		b.ReportMetric(float64(w.events), "events")
		b.ReportMetric(float64(len(w.finished)), "jobs")
	}
}
