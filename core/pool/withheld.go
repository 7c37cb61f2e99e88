package pool

import (
	"fmt"
	"time"
)

// chooseWithheld returns a runner for a persistent task that no usable runner can ever hold:
// one that is ejected or suspected, or cordoned and not drained yet, or nil. On a cordoned one
// the task serves until the runner can be drained; meanwhile it does not use up the disruption
// budget of its step, on which the drain may depend.
func (p *Pool) chooseWithheld(now time.Time, t *task) *runnerState {
	r := p.findWithheld(now, t)
	if r != nil {
		p.logWithheld(now, t, r)
	}
	return r
}

// findWithheld returns the runner of chooseWithheld.
func (p *Pool) findWithheld(now time.Time, t *task) *runnerState {
	for _, r := range p.runnerOrder {
		if r.lastResort(now) && r.free().HasRoomFor(t.step.spec.Demand()) &&
			p.meetsConstraints(t, r) && p.hasTicket(t, r, now) {
			return r
		}
	}
	return nil
}

// chooseOnlyPlace returns a withheld runner for a batch task with a required label that no
// other runner has, or nil: one that is ejected, or cordoned and not drained of persistent
// tasks yet.
func (p *Pool) chooseOnlyPlace(now time.Time, t *task) *runnerState {
	r := p.findOnlyPlace(now, t)
	if r != nil {
		p.logWithheld(now, t, r)
	}
	return r
}

// findOnlyPlace returns the runner of chooseOnlyPlace.
func (p *Pool) findOnlyPlace(now time.Time, t *task) *runnerState {
	if t.step.spec.RequiredLabel == "" {
		return nil
	}
	var best *runnerState
	for _, r := range p.runnerOrder {
		switch {
		case !r.accepts(now) || !p.meetsConstraints(t, r):
		case !r.cordoned && !r.health.ejected(now):
			return nil
		case r.lastResort(now) && r.free().HasRoomFor(t.step.spec.Demand()) && p.hasTicket(t, r, now):
			best = r
		}
	}
	return best
}

func (p *Pool) logWithheld(now time.Time, t *task, r *runnerState) {
	p.emit(&LogDecision{
		Job: t.id.Job, Task: t.id, Runner: r.ID, Decision: "withheldRunnerUsed", DataAge: now.Sub(r.lastAnswer),
		Reason: fmt.Sprintf("no other runner can hold the task; cordoned=%t ejected=%t suspect=%t", r.cordoned, r.health.ejected(now), r.health.suspect),
	})
}

// lastResort reports whether a withheld runner may run a task that has no other place. A
// cordoned runner that is drained of persistent tasks is about to end.
func (r *runnerState) lastResort(now time.Time) bool {
	return r.accepts(now) && (!r.cordoned || r.lastingTasks() > 0)
}

// lastingTasks counts the tasks that stay on the runner until they are stopped or fail.
func (r *runnerState) lastingTasks() int {
	n := 0
	for _, t := range r.tasksByID {
		if t.lasts() {
			n++
		}
	}
	return n
}
