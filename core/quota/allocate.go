package quota

import (
	"slices"
	"time"

	"bronzestair/core/job"
)

// slackFraction is the part of what no pool needs that is lent all the same, so that new demand
// need not wait for a lease. It goes to the pools that use the cap, as their demand grows next. The
// rest is kept for the pool that needs it first.
const slackFraction = 0.5

// toleratedExcess is the part of a cap by which its use may exceed it.
const toleratedExcess = 0.1

// allocation is the division of one resource of a cap.
type allocation struct {
	limit int64
	pools []allocatedPool
}

// allocatedPool is a pool's part in an allocation.
type allocatedPool struct {
	// floor is what the pool may always use, bound an upper bound of what is running, held
	// the largest lease that may be in force, and waiting the demand that waits for the cap.
	floor, bound, held, waiting int64
	// slack is true if the pool gets a part of what no pool needs.
	slack bool
	// target is the lease that the pool shall get, lease the one that it gets now.
	target, lease int64
}

// committed returns what the pool has running or may start without a further lease.
func (p *allocatedPool) committed() int64 { return max(p.floor, p.bound, p.floor+p.held) }

// committed returns what all pools have running or may start without a further lease.
func (a *allocation) committed() int64 {
	sum := int64(0)
	for i := range a.pools {
		sum += a.pools[i].committed()
	}
	return sum
}

// setTargets sets the leases that the pools shall have: what they use beyond their floors, and
// the rest of the cap in proportion to the waiting demand.
func (a *allocation) setTargets() {
	budget, needed, slack, demand := a.limit, int64(0), int64(0), int64(0)
	needs := make([]int64, len(a.pools))
	for i := range a.pools {
		p := &a.pools[i]
		budget -= max(p.floor, p.bound)
		needs[i] = max(0, p.waiting-max(0, p.floor-p.bound))
		needed += needs[i]
		if p.slack {
			slack++
			demand += p.bound + p.waiting
		}
	}
	if budget < 0 {
		a.reduceTargets(-budget)
		return
	}
	spare := 0.0
	if needed < budget && slack > 0 {
		spare = float64(budget-needed) * slackFraction
	}
	for i := range a.pools {
		p := &a.pools[i]
		p.target = max(0, p.bound-p.floor)
		if needed <= budget {
			p.target += needs[i]
		} else {
			p.target += int64(float64(budget) * (float64(needs[i]) / float64(needed)))
		}
		switch {
		case !p.slack:
		case demand > 0:
			p.target += int64(spare * float64(p.bound+p.waiting) / float64(demand))
		default:
			p.target += int64(spare / float64(slack))
		}
	}
}

// reduceTargets sets the leases if more is in use than the cap. A small excess, as that of a
// whole task beyond the leases, is taken from the leases in use, so that the pools go on replacing
// tasks that end. A larger one, as after the cap was lowered, ends all leases.
func (a *allocation) reduceTargets(excess int64) {
	inUse := int64(0)
	for i := range a.pools {
		inUse += max(0, a.pools[i].bound-a.pools[i].floor)
	}
	if float64(excess) > toleratedExcess*float64(a.limit) || excess >= inUse {
		return
	}
	for i := range a.pools {
		p := &a.pools[i]
		p.target = int64(float64(max(0, p.bound-p.floor)) * (float64(inUse-excess) / float64(inUse)))
	}
}

// setLeases moves the leases towards their targets. A lease that is lowered counts until the
// pool has acknowledged it or it has expired, so others can be raised only then. While more than
// the cap is committed, none is raised, not even to what is in use: that may be the capacity
// of runners that have not answered, and a lease would permit to fill them.
func (a *allocation) setLeases() {
	free := a.limit - a.committed()
	if free < 0 {
		for i := range a.pools {
			p := &a.pools[i]
			p.lease = min(p.target, p.held)
		}
		return
	}
	wanted := int64(0)
	for i := range a.pools {
		p := &a.pools[i]
		wanted += max(0, p.floor+p.target-p.committed())
	}
	for i := range a.pools {
		p := &a.pools[i]
		raise := max(0, p.floor+p.target-p.committed())
		if wanted > free {
			raise = int64(float64(free) * (float64(raise) / float64(wanted)))
		}
		p.lease = min(p.target, p.committed()-p.floor+raise)
	}
}

// allocate adds the leases of an organisation to the grants of the pools.
func (l *Lender) allocate(now time.Time, name job.Organisation, unlimitedCPU job.MilliCPU, grants map[job.PoolName]map[job.Organisation]Grant) {
	o := l.capped[name]
	limit := amountOf(o.limit)
	leases := make([]amount, len(l.poolNames))
	within, below := true, true
	for d := range limit {
		if limit[d] == 0 {
			continue
		}
		if d == 0 && o.limit.CPU >= unlimitedCPU {
			for i := range leases {
				leases[i][d] = limit[d]
			}
			continue
		}
		a := l.allocation(now, name, d)
		a.setTargets()
		a.setLeases()
		bound := int64(0)
		for i := range a.pools {
			leases[i][d] = a.pools[i].lease
			bound += a.pools[i].bound
		}
		within = within && a.committed() <= a.limit
		below = below && bound < a.limit
	}
	frozen := !l.allReported()
	for i, poolName := range l.poolNames {
		lease := leases[i].resources()
		if frozen {
			// What a pool that has not reported yet has running is not known.
			lease = smallest(lease, l.pools[poolName].held(name))
		}
		grants[poolName][name] = Grant{Lent: lease}
	}
	if within && below && !frozen {
		l.permitWholeTask(now, name, grants)
	}
}

// allocation returns the state of one resource of an organisation.
func (l *Lender) allocation(now time.Time, name job.Organisation, dimension int) *allocation {
	o := l.capped[name]
	a := &allocation{limit: amountOf(o.limit)[dimension], pools: make([]allocatedPool, len(l.poolNames))}
	for i, poolName := range l.poolNames {
		p := l.pools[poolName]
		waiting := int64(0)
		if now.Sub(p.reportedAt) <= maxReportAge {
			waiting = amountOf(p.loads[name].Waiting)[dimension]
		}
		a.pools[i] = allocatedPool{
			floor: amountOf(floorOf(o.limit, p.Floor))[dimension], bound: amountOf(p.bounds[name])[dimension],
			held: amountOf(p.held(name))[dimension], waiting: waiting, slack: !p.Spare,
		}
	}
	return a
}

// permitWholeTask permits one pool in which tasks wait to start one beyond its lease. The pools
// take turns, and no other one may still have the permission: all together exceed the cap by
// one task at most.
func (l *Lender) permitWholeTask(now time.Time, name job.Organisation, grants map[job.PoolName]map[job.Organisation]Grant) {
	o := l.capped[name]
	var waiting []job.PoolName
	for _, poolName := range l.poolNames {
		p := l.pools[poolName]
		// A previous lender may have permitted one less than a lease time ago.
		if p.wholeTasks[name] != 0 || p.removedAt.IsZero() && p.reportedAt.Sub(l.startedAt) < leaseBound {
			return
		}
		if p.loads[name].Waiting != (job.Resources{}) && now.Sub(p.reportedAt) <= maxReportAge {
			waiting = append(waiting, poolName)
		}
	}
	if len(waiting) == 0 {
		return
	}
	next, found := slices.BinarySearch(waiting, o.lastWholeTask)
	if found {
		next++
	}
	chosen := waiting[next%len(waiting)]
	o.lastWholeTask = chosen
	grant := grants[chosen][name]
	grant.WholeTask = true
	grants[chosen][name] = grant
}
