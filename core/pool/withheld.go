package pool

import "time"

// chooseWithheld returns a runner for a persistent task that no usable runner can ever hold:
// one that is cordoned and not drained yet, or nil. The task serves there until the runner can
// be drained; meanwhile it does not use up the disruption budget of its step, on which the
// drain may depend.
func (p *Pool) chooseWithheld(now time.Time, t *task) *runnerState {
	for _, r := range p.runnerOrder {
		if r.accepts(now) && r.cordoned && r.lastingTasks() > 0 && r.free().HasRoomFor(t.step.spec.Demand()) &&
			p.meetsConstraints(t, r) && p.hasTicket(t, r, now) {
			p.emit(&LogDecision{Job: t.id.Job, Task: t.id, Runner: r.ID, Decision: "cordonIgnored", Reason: "no other runner can hold the task", DataAge: now.Sub(r.lastAnswer)})
			return r
		}
	}
	return nil
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
