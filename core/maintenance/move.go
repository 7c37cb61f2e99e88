package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
)

// Parameters of moves between pools. They assume that demand alternates between pools:
// one queue needs more than its pool has while the pools of the others are idle.
const (
	// minPoolInstances, or one in minPoolDivisor of the fleet if that is more, stay in
	// a pool that needs less, so that it has instances when its demand returns.
	minPoolInstances = 4
	minPoolDivisor   = 12
	// baselineInstances, or one in baselineDivisor of the fleet if that is more, is the
	// size up to which surplus instances fill any pool, as each may be the next to get
	// demand.
	baselineInstances = 8
	baselineDivisor   = 8
	// arrivalHeadroom multiplies the rate of arriving work, because the estimates of
	// that work are rough.
	arrivalHeadroom = 1.3
	// backlogWindow is the time in which the work of the ready tasks should be done.
	backlogWindow = 1500 * time.Millisecond
	// surplusDelay is how long a pool must have a surplus before it gives up instances
	// that no other pool needs.
	surplusDelay = 800 * time.Millisecond
	// marginInstances is added to the instances that a pool's work needs.
	marginInstances = 1
	// spreadReserve is added to the instances over which a step is spread, as one of
	// them may be in upkeep or lost.
	spreadReserve = 1
	// peakHoldTime is how long the peak of a pool's need is kept after it was observed.
	peakHoldTime = 1 * time.Second
)

// baseline returns the size up to which surplus instances fill any pool.
func (p *Planner) baseline() int {
	return max(baselineInstances, len(p.instances)/baselineDivisor)
}

// balance compares the instances that a pool needs with those that it has.
type balance struct {
	name       job.PoolName
	need, have int
	// minimum is the least number of instances that must accept tasks.
	minimum int
	// committed is the need without forecast work: for running and ready tasks with a
	// margin, and at least the pool's minimum, which includes the reserve for spread steps.
	committed int
}

func (b balance) deficit() int { return b.need - b.have }

// committedDeficit returns the deficit without forecast work.
func (b balance) committedDeficit() int { return b.committed - b.have }

// spareable returns how many instances a pool can give up, given a surplus: it keeps its
// minimum beside the instances that waves withhold.
func (p *Planner) spareable(b balance, surplus int) int {
	return min(surplus, b.have-p.withheld[b.name].total()-b.minimum)
}

// peak is a pool's need in instances that is kept for peakHoldTime unless a higher one
// is observed.
type peak struct {
	need int
	at   time.Time
}

// planMoves moves instances from pools with a surplus to pools that need more than
// they have.
func (p *Planner) planMoves(now time.Time) {
	balances := p.balances(now)
	p.releaseMoveCordons(balances)
	// Ready tasks take precedence over forecasts: a pool whose forecast exceeds the
	// fleet must not keep instances that others need for ready tasks.
	p.coverDeficits(now, balances, balance.committedDeficit)
	p.coverDeficits(now, balances, balance.deficit)
	p.redistributeSurplus(now, balances)
	p.orderMoves(now)
}

// coverDeficits cordons instances for the pools with a deficit, in descending order of
// deficit. It takes them from spare pools and from pools with a surplus, which is a
// negative result of the same function.
func (p *Planner) coverDeficits(now time.Time, balances []balance, deficit func(balance) int) {
	slices.SortFunc(balances, func(a, b balance) int {
		return cmp.Or(cmp.Compare(deficit(b), deficit(a)), cmp.Compare(a.name, b.name))
	})
	for i := range balances {
		name := balances[i].name
		for remaining := deficit(balances[i]) - p.countCordonedFor(name); remaining > 0; remaining-- {
			if !p.cordonOneFor(now, name, balances, deficit) {
				break
			}
		}
	}
}

// sparePool returns the spare pool whose name sorts first, or "" if there is none.
func (p *Planner) sparePool() job.PoolName {
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		if p.pools[name].Spare {
			return name
		}
	}
	return ""
}

// redistributeSurplus moves surplus instances to pools below the baseline, and the rest
// to the spare pool.
func (p *Planner) redistributeSurplus(now time.Time, balances []balance) {
	spare := p.sparePool()
	if spare == "" {
		return
	}
	for _, b := range balances {
		limit := max(b.need, p.baseline())
		if b.have <= limit {
			delete(p.surplusSince, b.name)
			continue
		}
		if _, ok := p.surplusSince[b.name]; !ok {
			p.surplusSince[b.name] = now
		}
		if now.Sub(p.surplusSince[b.name]) < surplusDelay {
			continue
		}
		for range p.spareable(b, b.have-limit) {
			if !p.cordonFrom(now, b.name, p.furthestBelowBaseline(balances, spare)) {
				break
			}
		}
	}
}

// furthestBelowBaseline returns the pool that is furthest below the baseline, or the
// given spare pool if none is.
func (p *Planner) furthestBelowBaseline(balances []balance, spare job.PoolName) job.PoolName {
	best, largestDeficit := spare, 0
	for _, b := range balances {
		if deficit := p.baseline() - b.have - p.countCordonedFor(b.name); deficit > largestDeficit {
			best, largestDeficit = b.name, deficit
		}
	}
	return best
}

// cordonFrom cordons an idle instance of a pool for a move and reports whether there
// was one.
func (p *Planner) cordonFrom(now time.Time, from, destination job.PoolName) bool {
	for _, id := range p.instanceOrder {
		instance := p.instances[id]
		if instance.Pool != from || instance.State != Up || p.orders[id] != nil {
			continue
		}
		runner := p.runner(instance)
		if _, cordoned := p.cordons[id]; cordoned || p.pausesCordon(now, id) || runner == nil || !runner.Known || runner.Persistent > 0 || runner.Passing > 0 {
			continue
		}
		p.cordonInstance(now, instance, destination)
		return true
	}
	return false
}

// balances returns the balance of every pool that is not spare and whose owner has
// recovered and has reported within maxReportAge. Of the other pools, only spare pools
// take part in moves.
func (p *Planner) balances(now time.Time) []balance {
	var out []balance
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		if p.pools[name].Spare {
			continue
		}
		report := p.reports[name]
		if report.at.IsZero() || now.Sub(report.at) > maxReportAge || !report.Recovered {
			continue
		}
		b := p.need(now, &report)
		b.have = p.have(name)
		out = append(out, b)
	}
	return out
}

// need computes the balance of a pool from its report. It leaves the field have at 0.
func (p *Planner) need(now time.Time, report *poolReport) balance {
	minimum := max(minPoolInstances, len(p.instances)/minPoolDivisor)
	committedInstances, forecastInstances := 0, 0
	capacity := p.meanCapacity()
	if capacity.CPU > 0 && capacity.Memory > 0 {
		memoryInstances := (report.RunningMemory + report.ReadyMemory + capacity.Memory - 1) / capacity.Memory
		minimum = max(minimum, int(memoryInstances)+marginInstances)
		committedInstances = int((report.RunningCPU + report.ReadyCPU + capacity.CPU - 1) / capacity.CPU)
		forecast := job.MilliCPU(arrivalHeadroom*float64(report.Arriving)) + job.MilliCPU(float64(report.Backlog)/backlogWindow.Seconds())
		forecastInstances = int((forecast + capacity.CPU - 1) / capacity.CPU)
	}
	if report.Spread > 0 {
		minimum = max(minimum, report.Spread+spreadReserve)
	}
	committed := max(minimum, committedInstances+marginInstances)
	return balance{name: report.Pool, minimum: minimum, committed: committed, need: p.updatePeak(now, report, max(committed, forecastInstances+marginInstances))}
}

// updatePeak returns the need of a pool to plan with. That is the last peak, until the
// current need reaches it or peakHoldTime has passed: then the current need becomes the
// peak and, if it differs, is logged.
func (p *Planner) updatePeak(now time.Time, report *poolReport, need int) int {
	last := p.peaks[report.Pool]
	if need >= last.need || now.Sub(last.at) > peakHoldTime {
		if need != last.need {
			p.emit(&LogDecision{
				Decision: "poolNeeds",
				Reason:   fmt.Sprintf("pool %s needs %d and has %d; running %d ready %d arriving %d backlog %d", report.Pool, need, p.have(report.Pool), report.RunningCPU, report.ReadyCPU, report.Arriving, report.Backlog),
				DataAge:  now.Sub(report.at),
			})
		}
		p.peaks[report.Pool] = peak{need: need, at: now}
		return need
	}
	return last.need
}

// meanCapacity returns the mean CPU and memory of the listed instances, without GPUs.
func (p *Planner) meanCapacity() job.Resources {
	var sum job.Resources
	for _, instance := range p.instances {
		sum = sum.Add(instance.Capacity)
	}
	n := max(1, len(p.instances))
	return job.Resources{CPU: sum.CPU / job.MilliCPU(n), Memory: sum.Memory / job.MiB(n)}
}

// have counts the instances of a pool, including those with an order to move to it and
// without those that are cordoned or ordered to move to another pool.
func (p *Planner) have(name job.PoolName) int {
	n := 0
	for id, instance := range p.instances {
		if o := p.orders[id]; o != nil && o.destination != "" {
			continue
		}
		if instance.Pool == name && instance.State != Down {
			n++
		}
	}
	for _, o := range p.orders {
		if o.destination == name {
			n++
		}
	}
	for id, c := range p.cordons {
		if c.destination != "" && c.destination != name && p.instances[id].Pool == name && p.orders[id] == nil {
			n--
		}
	}
	return n
}

// countCordonedFor counts the instances that are being drained for a move to a pool.
func (p *Planner) countCordonedFor(name job.PoolName) int {
	n := 0
	for id, c := range p.cordons {
		if c.destination == name && p.orders[id] == nil {
			n++
		}
	}
	return n
}

// releaseMoveCordons removes the cordons of instances that the destination pool no
// longer needs, neither for its need nor to reach the baseline.
func (p *Planner) releaseMoveCordons(balances []balance) {
	for _, b := range balances {
		surplus := p.countCordonedFor(b.name) - max(0, b.deficit(), p.baseline()-b.have)
		for _, id := range slices.Sorted(maps.Keys(p.cordons)) {
			if surplus <= 0 {
				break
			}
			if c := p.cordons[id]; c.destination == b.name && p.orders[id] == nil {
				delete(p.cordons, id)
				surplus--
				for i := range balances {
					if balances[i].name == p.instances[id].Pool {
						balances[i].have++
					}
				}
			}
		}
	}
}

// cordonOneFor cordons the instance with the lowest move cost for a pool, takes it off
// the balance of its own pool and reports whether there was one.
func (p *Planner) cordonOneFor(now time.Time, destination job.PoolName, balances []balance, deficit func(balance) int) bool {
	surplus := map[job.PoolName]int{}
	for _, b := range balances {
		surplus[b.name] = p.spareable(b, -deficit(b))
	}
	var best *Instance
	lowestCost := 0
	for _, id := range p.instanceOrder {
		instance := p.instances[id]
		cost, ok := p.moveCost(now, instance, destination, surplus)
		if ok && (best == nil || cost < lowestCost) {
			best, lowestCost = &instance, cost
		}
	}
	if best == nil {
		return false
	}
	p.cordonInstance(now, *best, destination)
	for i := range balances {
		if balances[i].name == best.Pool {
			balances[i].have--
		}
	}
	return true
}

// moveCost returns the cost of moving an instance to a pool, and whether it may be
// moved. The cost is 0 for spare instances and grows with the CPU in use otherwise.
func (p *Planner) moveCost(now time.Time, i Instance, destination job.PoolName, surplus map[job.PoolName]int) (int, bool) {
	if i.State != Up || i.Pool == destination || p.orders[i.ID] != nil {
		return 0, false
	}
	if _, cordoned := p.cordons[i.ID]; cordoned || p.pausesCordon(now, i.ID) {
		return 0, false
	}
	if p.pools[i.Pool].Spare {
		return 0, true
	}
	runner := p.runner(i)
	if surplus[i.Pool] <= 0 || runner == nil || !runner.Known || runner.Persistent > 0 {
		return 0, false
	}
	return 1 + int(runner.Used.CPU), true
}

// orderMoves orders the moves of the cordoned instances that are drained.
func (p *Planner) orderMoves(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(p.cordons)) {
		c := p.cordons[id]
		instance, listed := p.instances[id]
		if c.destination == "" || p.orders[id] != nil {
			continue
		}
		if !listed || instance.State != Up || instance.Pool == c.destination {
			delete(p.cordons, id)
			continue
		}
		if !p.drained(now, instance) || !p.safeToOrder(now, instance) {
			continue
		}
		p.orders[id] = &pendingOrder{instance: id, destination: c.destination, from: instance.Pool, runner: instance.Runner, sentAt: now, inFlight: true}
		p.emit(&LogDecision{Instance: id, Runner: instance.Runner, Decision: "moveOrdered", Reason: string(instance.Pool) + " to " + string(c.destination), DataAge: now.Sub(p.listRequestedAt)})
		p.emit(&OrderMove{Instance: id, Destination: c.destination})
	}
}
