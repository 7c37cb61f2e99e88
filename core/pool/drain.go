package pool

import (
	"slices"
	"time"
)

// batchDrainTime is how long batch tasks on a cordoned runner may run on to end by
// themselves.
const batchDrainTime = 2500 * time.Millisecond

// handoverDrainDelay is how long a new owner evacuates nothing. Stops that its predecessor sent
// may take about a second, in which their tasks still look as if they served.
const handoverDrainDelay = 1500 * time.Millisecond

// drainRunners stops the persistent tasks on cordoned and draining runners as far as
// the disruption budgets of their steps permit. Batch tasks run to their end or, on a cordoned
// runner without persistent tasks, are stopped after batchDrainTime: an upkeep that ended
// them would lose their last ends and checkpoints.
//
// A task that has a place elsewhere is stopped by itself, as it soon serves again. The others
// give their budget back only after the upkeep. They are stopped all at once or not at all:
// otherwise two runners could each wait for the budget that the other one's evacuation holds.
func (p *Pool) drainRunners(now time.Time) {
	if p.hasPreviousOwner() && now.Sub(p.ownedSince) < handoverDrainDelay {
		return
	}
	for _, r := range p.runnerOrder {
		if !r.cordoned && !r.Draining {
			continue
		}
		var remaining []*task
		for _, t := range r.tasksByID { // not modified by stopTask, which releases nothing
			switch {
			case !t.lasts():
			case t.state == running && p.hasOtherPlace(now, t) && p.withinDisruptionBudget(now, t):
				p.stopTask(now, t, "evacuation")
			default:
				remaining = append(remaining, t)
			}
		}
		// A draining runner need not be empty, so that its tasks may serve until it leaves.
		if r.Draining || !p.mayInterrupt(now, remaining) {
			continue
		}
		for _, t := range remaining {
			p.stopTask(now, t, "evacuation without another place")
		}
		if now.Sub(r.cordonedAt) >= batchDrainTime {
			p.stopBatchTasks(now, r)
		}
	}
}

// stopBatchTasks stops the batch tasks on a runner that is drained of persistent ones.
func (p *Pool) stopBatchTasks(now time.Time, r *runnerState) {
	for _, t := range r.tasksByID {
		if !t.step.spec.Persistent && t.state != done {
			p.stopTask(now, t, "evacuation of a batch task")
		}
	}
}

// hasOtherPlace reports whether a persistent task could run on another usable runner, at the
// latest when the batch tasks there have ended. Tickets are not considered, as a step requests
// them again for its next placement.
func (p *Pool) hasOtherPlace(now time.Time, t *task) bool {
	return slices.ContainsFunc(p.runnerOrder, func(r *runnerState) bool {
		return r != t.runner && r.usable(now) && !r.reservedForOther(t.step) && p.meetsConstraints(t, r) && r.canHold(t)
	})
}

// withinDisruptionBudget reports whether planned work may interrupt a persistent
// task now.
func (p *Pool) withinDisruptionBudget(now time.Time, t *task) bool {
	return p.mayInterrupt(now, []*task{t})
}

// mayInterrupt reports whether planned work may interrupt the persistent tasks together now.
func (p *Pool) mayInterrupt(now time.Time, tasks []*task) bool {
	for _, t := range tasks {
		if t.state != running {
			return false
		}
		unavailable := t.step.untouched()
		for other := range t.step.allocated() {
			if slices.Contains(tasks, other) || !other.serving(now) {
				unavailable++
			}
		}
		// The task itself counts, whether it serves or not.
		if budget := t.step.spec.DisruptionBudget; budget > 0 && unavailable > budget {
			return false
		}
	}
	return true
}

// Throttling of best-effort tasks beside latency-sensitive ones, whose tail
// latency rises as the load of best-effort tasks changes within seconds.
const (
	// throttleAbove and unthrottleBelow are thresholds for the ratio of a serving
	// task's tail latency to its target.
	throttleAbove   = 0.85
	unthrottleBelow = 0.5
	// throttleStep, unthrottleStep and maxThrottle are in percent of full speed.
	throttleStep   = 40
	unthrottleStep = 10
	maxThrottle    = 100
	// unthrottleInterval is the minimum time between two increases of the speed.
	unthrottleInterval = 1 * time.Second
)

// throttleBestEffort slows down the best-effort tasks of a runner on which the tail
// latency of a serving task approaches its target.
func (p *Pool) throttleBestEffort(now time.Time, r *runnerState) {
	if r.bestEffortTasks == 0 {
		return
	}
	worstRatio := 0.0
	serving := false
	for _, t := range r.tasksByID {
		if target := t.step.spec.LatencyTarget; target > 0 && t.state == running {
			serving = true
			worstRatio = max(worstRatio, float64(t.tailLatency)/float64(target))
		}
	}
	for _, t := range r.tasksByID {
		if t.step.spec.BestEffort && t.state == running {
			p.adjustThrottle(now, r, t, serving, worstRatio)
		}
	}
}

func (p *Pool) adjustThrottle(now time.Time, r *runnerState, t *task, serving bool, worstRatio float64) {
	throttle := t.throttle
	lastOrder := t.throttledAt
	if t.orderedAt.After(lastOrder) {
		lastOrder = t.orderedAt
	}
	switch {
	case !serving:
		throttle = 0
	case worstRatio > throttleAbove && now.Sub(lastOrder) > 2*minPollInterval:
		throttle = min(maxThrottle, throttle+throttleStep)
	case worstRatio < unthrottleBelow && now.Sub(lastOrder) > unthrottleInterval:
		throttle = max(0, throttle-unthrottleStep)
	}
	if throttle == t.throttle {
		return
	}
	t.throttle = throttle
	t.throttledAt = now
	p.emit(&ThrottleTask{Runner: r.Runner, Task: t.id, Run: t.run, Percent: 100 - throttle, Fence: p.options.Fence})
}
