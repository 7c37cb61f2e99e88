// Package quota keeps what an organisation has running over all pools within its cap, although
// each pool has its own owner.
//
// Half of a cap is divided into floors, which each owner of a pool may always use. The Lender,
// which the owner of the fleet runs, lends the other half to the pools as leases, by need. The
// owner of a pool keeps its leases in a Holder, and starts a task if its Budget admits it. There
// is no I/O: the caller passes requests and reports between the two.
//
// # Usage
//
//	lender := quota.NewLender(fence, time.Now())
//	lender.Configure(time.Now(), pools, organisations)
//	for name, request := range lender.Plan(time.Now()) {
//		report, err := send(name, request) // calls Holder.Apply and Holder.Answered there
//		if err == nil {
//			lender.Reported(time.Now(), name, request.Number, report)
//		}
//	}
//
// At the owner of a pool:
//
//	budget := quota.Budget{Cap: cap, Floor: share.Floor(cap, now), Lent: lease.Lent, WholeTask: lease.WholeTask}
//	if budget.Admits(used, step.Resources) {
//		// start the task
//	}
package quota

import (
	"time"

	"bronzestair/core/job"
)

const (
	// LeaseTime is how long a lease is valid by the clock of its holder. It outlasts a change
	// of the owner of the fleet, which takes about 3 s.
	LeaseTime = 5 * time.Second
	// ConfigurationLag bounds the time between two entries putting a configuration in force.
	// All entries do so within 3 s of the store's acknowledgement.
	ConfigurationLag = 5 * time.Second
	// clockDriftPercent is by how much a clock may run too fast or too slow.
	clockDriftPercent = 2
	// clockSlack covers the granularity of clocks and timers.
	clockSlack = 100 * time.Millisecond
)

// leaseBound is the time on the lender's clock after which a lease has certainly expired on the
// holder's clock.
const leaseBound = LeaseTime*(100+clockDriftPercent)/(100-clockDriftPercent) + clockSlack

// unknownAmount is larger than any capacity, and small enough for sums over all pools.
const unknownAmount = 1_000_000_000_000

// Unknown stands for a usage of which no bound is known.
var Unknown = job.Resources{CPU: unknownAmount, Memory: unknownAmount, GPU: unknownAmount}

// Budget is what an organisation may have running in a pool.
type Budget struct {
	// Cap is the organisation's cap over all pools. A zero amount means no limit.
	Cap job.Resources
	// Floor is the pool's part of the cap, Lent its valid lease.
	Floor, Lent job.Resources
	// WholeTask permits one start beyond floor and lease, so that no task is too large for
	// the parts into which a cap is divided.
	WholeTask bool
}

// Admits reports whether a task, or the sum of a gang, may start beside what the organisation
// has running in the pool at most.
func (b Budget) Admits(used, need job.Resources) bool {
	limit, have, want := amountOf(b.Cap), amountOf(used), amountOf(need)
	room := amountOf(b.Floor.Add(b.Lent))
	fits, exhausted, withinCap, alone := true, false, true, true
	for d := range limit {
		if limit[d] == 0 || want[d] == 0 {
			continue
		}
		fits = fits && have[d]+want[d] <= room[d]
		exhausted = exhausted || have[d] > room[d]
		withinCap = withinCap && have[d]+want[d] <= limit[d]
		alone = alone && have[d] == 0
	}
	return fits || b.WholeTask && !exhausted && (withinCap || alone)
}

// amount holds resources in the order CPU, memory, GPU.
type amount [3]int64

func amountOf(r job.Resources) amount {
	return amount{int64(r.CPU), int64(r.Memory), int64(r.GPU)}
}

func (a amount) resources() job.Resources {
	return job.Resources{CPU: job.MilliCPU(a[0]), Memory: job.MiB(a[1]), GPU: int(a[2])}
}

// largest returns the larger amount of each resource.
func largest(a, b job.Resources) job.Resources {
	return job.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// smallest returns the smaller amount of each resource.
func smallest(a, b job.Resources) job.Resources {
	return job.Resources{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}
