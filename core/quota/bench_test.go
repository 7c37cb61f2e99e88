package quota

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// BenchmarkPlan measures one exchange of the lender: a plan and the reports of all pools, at the
// numbers of pools of 30, 100 and 1,000 entries. Every organisation waits in every pool.
func BenchmarkPlan(b *testing.B) {
	const organisations = 20
	for _, count := range []int{5, 15, 143} {
		b.Run(fmt.Sprintf("pools=%d", count), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			l := NewLender(1, now)
			var pools []Pool
			var all []Organisation
			report := Report{Fence: 1, Capacity: 1 << 40, Recovered: true, Loads: map[job.Organisation]Load{}}
			for n := range count {
				pools = append(pools, Pool{Name: job.PoolName(fmt.Sprint("pool-", n)), Floor: 1 / float64(count)})
			}
			for n := range organisations {
				name := job.Organisation(fmt.Sprint("org-", n))
				all = append(all, Organisation{Name: name, Cap: job.Resources{CPU: 1_000_000, Memory: 4_000_000}})
				report.Loads[name] = Load{Used: job.Resources{CPU: 3_000, Memory: 9_000}, Waiting: job.Resources{CPU: 50_000, Memory: 90_000}, Arriving: 3}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(planInterval)
				l.Configure(now, pools, all)
				for name, request := range l.Plan(now) {
					l.Reported(now, name, request.Number, report)
				}
			}
		})
	}
}
