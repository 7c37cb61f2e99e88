package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// BenchmarkOrganisations simulates the load peak of BenchmarkLoadPeak with jobs of different
// numbers of organisations. us/event is the time of the reducer alone.
func BenchmarkOrganisations(b *testing.B) {
	for _, count := range []int{0, 20, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var reducing time.Duration
			events := 0
			for b.Loop() {
				sim := newSimulation(b, 3, 85, faults{})
				sim.runnerCPU = 16_000
				sim.listRunners()
				if count > 0 {
					weights := make([]float64, count)
					for i := range weights {
						weights[i] = float64(1 + i%7)
					}
					sim.setOrganisations(directory(b, weights...))
				}
				for n := range 1000 {
					step := job.Step{Count: 8, Resources: job.Resources{CPU: 1500, Memory: 64}, EstimatedRuntime: 640 * time.Millisecond}
					second := step
					second.After = []int{0}
					var name job.Organisation
					if count > 0 {
						name = organisationName(n * 37 % count)
					}
					sim.after(time.Duration(n)*8*time.Millisecond, func() {
						sim.submitFor(name, n, job.Spec{Steps: []job.Step{step, second}}, false)
					})
				}
				sim.run(20 * time.Second)
				reducing += sim.reduceTime
				events += sim.eventCount
			}
			b.ReportMetric(float64(reducing.Microseconds())/float64(events), "us/event")
			b.ReportMetric(float64(events)/float64(b.N), "events")
		})
	}
}
