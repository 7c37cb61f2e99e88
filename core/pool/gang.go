package pool

import (
	"slices"
	"time"

	"bronzestair/core/job"
)

// placeGang starts all members of a gang together, or none. They share a run number,
// which is the highest next run of any member so that no member has used it, and a
// checkpoint, which is that of the last member that has one.
func (p *Pool) placeGang(now time.Time, step *stepState, usable []*runnerState) {
	run := 0
	var scratch task
	for i := range step.spec.Count {
		t := step.peek(i, &scratch)
		if t.state != ready || now.Before(t.restartAt) {
			return
		}
		run = max(run, t.nextRun())
	}
	open := slices.DeleteFunc(slices.Clone(usable), func(r *runnerState) bool { return r.reservedForOther(step) })
	runners := p.fitGang(now, step, open, (*runnerState).free)
	if runners == nil {
		p.reserveForGang(now, step, usable)
		return
	}
	label := step.spec.RequiredLabel
	if slices.ContainsFunc(runners, func(r *runnerState) bool { return !r.identified(now, label) }) {
		p.identifyRunners(now, label, runners)
		return
	}
	checkpoint := ""
	for t := range step.allocated() {
		if len(t.checkpoint) > 0 {
			checkpoint = t.checkpoint
		}
	}
	var placements placementLog
	for i := range step.spec.Count {
		t := step.task(i)
		t.checkpoint = checkpoint
		p.startTask(now, t, runners[i], run)
		placements.add(now, t, runners[i])
	}
	placements.flush(p, now, step.job, step)
}

// fitGang returns a runner for each member, or nil if they do not all fit in the room that
// the runners have. If tasks of the step run longer when spread over racks, it prefers a
// rack with room for all.
func (p *Pool) fitGang(now time.Time, step *stepState, usable []*runnerState, room func(*runnerState) job.Resources) []*runnerState {
	if step.spec.SameRack {
		racks := map[string][]*runnerState{}
		for _, r := range usable {
			racks[r.Rack()] = append(racks[r.Rack()], r)
		}
		for _, r := range usable {
			if runners := p.firstFit(now, step, racks[r.Rack()], room); runners != nil {
				return runners
			}
		}
	}
	return p.firstFit(now, step, usable, room)
}

// firstFit returns for each member the first runner that has room for it beside the
// members before, or nil if they do not all fit.
func (p *Pool) firstFit(now time.Time, step *stepState, usable []*runnerState, room func(*runnerState) job.Resources) []*runnerState {
	demand := step.spec.Demand()
	left := make(map[*runnerState]job.Resources, len(usable))
	for _, r := range usable {
		left[r] = room(r)
	}
	count := map[*runnerState]int{}
	var runners []*runnerState
	var scratch task
	for i := range step.spec.Count {
		t := step.peek(i, &scratch)
		var chosen *runnerState
		for _, r := range usable {
			limit := step.spec.MaxPerInstance
			if !left[r].HasRoomFor(demand) || (limit > 0 && count[r] >= limit) ||
				!p.meetsConstraints(t, r) || !p.hasTicket(t, r, now) {
				continue
			}
			chosen = r
			break
		}
		if chosen == nil {
			return nil
		}
		left[chosen] = left[chosen].Sub(demand)
		count[chosen]++
		runners = append(runners, chosen)
	}
	return runners
}
