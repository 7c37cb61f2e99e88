package maintenance

import (
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
)

// Limits of cordons. Waves share them, so that overlapping ones leave a pool most of its
// instances.
const (
	// poolCordonDivisor limits how many instances of a pool all waves withhold at once: one
	// in poolCordonDivisor, but at least one.
	poolCordonDivisor = 3
	// maxCordonTime is how long an instance stays cordoned without an order. It is far above
	// the time that a drain takes.
	maxCordonTime = 12 * time.Second
	// cordonPause is the time after a lifted cordon in which others have their turn first.
	cordonPause = 6 * time.Second
)

// cordon marks an instance that is being drained for a move or an upkeep.
type cordon struct {
	cordonedAt time.Time
	// destination is the destination pool of a move; it is empty for an upkeep.
	destination job.PoolName
}

// cordonInstance begins to drain an instance, for an upkeep or, with a destination, for a move.
func (p *Planner) cordonInstance(now time.Time, i Instance, destination job.PoolName) {
	p.cordons[i.ID] = cordon{cordonedAt: now, destination: destination}
	reason := "upkeep"
	if destination != "" {
		reason = "move to " + string(destination)
	}
	p.emit(&LogDecision{Instance: i.ID, Runner: i.Runner, Decision: "instanceCordoned", Reason: reason, DataAge: now.Sub(p.listRequestedAt)})
}

// liftBlockedCordons lifts the cordons of instances that were not drained in time, as their
// tasks may wait for something that takes longer. If no other instance is due, a wave
// cordons the same one again at once.
func (p *Planner) liftBlockedCordons(now time.Time) {
	maps.DeleteFunc(p.cordonPauses, func(_ InstanceID, until time.Time) bool { return !now.Before(until) })
	for _, id := range slices.Sorted(maps.Keys(p.cordons)) {
		c := p.cordons[id]
		if p.orders[id] != nil || now.Sub(c.cordonedAt) <= maxCordonTime {
			continue
		}
		delete(p.cordons, id)
		p.cordonPauses[id] = now.Add(cordonPause)
		p.emit(&LogDecision{Instance: id, Runner: p.instances[id].Runner, Decision: "cordonLifted", Reason: "not drained in time", DataAge: now.Sub(c.cordonedAt)})
	}
}

// withheld counts the instances of a pool that take no tasks.
type withheld struct {
	// byWaves counts those that are cordoned for an upkeep or in one, otherwise those whose
	// runners shut down or are ejected.
	byWaves, otherwise int
	// limit is how many may be withheld before waves cordon no further one.
	limit int
}

func (w withheld) total() int { return w.byWaves + w.otherwise }

// full reports whether waves may cordon no further instance. They may always have one, so that
// they make progress.
func (w withheld) full() bool { return w.byWaves > 0 && w.total() >= w.limit }

// countWithheld counts the withheld instances of each pool. Instances that are about to move to
// another pool do not count as its own.
func (p *Planner) countWithheld() {
	clear(p.withheld)
	for name := range p.pools {
		p.withheld[name] = withheld{limit: p.have(name) / poolCordonDivisor}
	}
	for id, instance := range p.instances {
		w := p.withheld[instance.Pool]
		if p.cordonedForUpkeep(id) || p.inUpkeep(instance) {
			w.byWaves++
		} else if runner := p.runner(instance); runner != nil && runner.Withheld {
			w.otherwise++
		}
		p.withheld[instance.Pool] = w
	}
}

func (p *Planner) cordonedForUpkeep(id InstanceID) bool {
	c, ok := p.cordons[id]
	return ok && c.destination == ""
}

// inUpkeep reports whether an instance is in upkeep or was ordered to be.
func (p *Planner) inUpkeep(i Instance) bool {
	o := p.orders[i.ID]
	return i.State == Upkeep || o != nil && o.destination == ""
}

// cordonForWave cordons an instance, unless it is not up or too much of its pool is withheld.
// It reports whether the instance may be drained for a wave. Instances of spare pools need
// no cordon.
func (p *Planner) cordonForWave(now time.Time, i Instance) bool {
	if i.State != Up {
		return false
	}
	if p.pools[i.Pool].Spare {
		return true
	}
	if _, cordoned := p.cordons[i.ID]; cordoned {
		return true
	}
	w := p.withheld[i.Pool]
	if w.full() {
		return false
	}
	w.byWaves++
	p.withheld[i.Pool] = w
	p.cordonInstance(now, i, "")
	return true
}

// pausesCordon reports whether a cordon of the instance was lifted just before.
func (p *Planner) pausesCordon(now time.Time, id InstanceID) bool {
	return now.Before(p.cordonPauses[id])
}

// Cordons returns the runners that the owner of each pool must give no tasks: those to be
// drained, and those whose end was ordered, until the owner is notified of the end.
func (p *Planner) Cordons() map[job.PoolName][]pool.RunnerID {
	out := map[job.PoolName][]pool.RunnerID{}
	for id, o := range p.orders {
		if _, cordoned := p.cordons[id]; !cordoned && !o.runnerEnded {
			out[o.from] = append(out[o.from], o.runner)
		}
	}
	for id := range p.cordons {
		instance, ok := p.instances[id]
		if !ok {
			continue
		}
		out[instance.Pool] = append(out[instance.Pool], instance.Runner)
	}
	return out
}
