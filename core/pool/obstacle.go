package pool

import "time"

// Obstacle is a reason why a task is not placed on a runner, or nowhere. The zero value means
// that there is none.
type Obstacle string

// Reasons why a runner gets no tasks, in the order in which they are checked.
const (
	// ObstacleUnresolved means that the runner has not answered to this owner yet.
	ObstacleUnresolved Obstacle = "unresolved"
	ObstacleDraining   Obstacle = "draining"
	// ObstacleUnregistered means that the runner's registration is missing.
	ObstacleUnregistered Obstacle = "unregistered"
	// ObstacleUnreachable means that the last call to the runner had no answer.
	ObstacleUnreachable Obstacle = "unreachable"
	// ObstacleStopping means that the runner runs tasks that are being stopped there.
	ObstacleStopping Obstacle = "stopping"
	// ObstacleBackingOff means that the runner has refused a start a moment ago.
	ObstacleBackingOff Obstacle = "backingOff"
	ObstacleCordoned   Obstacle = "cordoned"
	ObstacleEjected    Obstacle = "ejected"
	// ObstacleSuspect means that the runner has failed tasks and gets one batch task at a time.
	ObstacleSuspect Obstacle = "suspect"
)

// Reasons why a task is not placed on a runner that gets tasks, in the order in which they are
// checked.
const (
	// ObstacleRoom means that the task does not fit beside the tasks on the runner.
	ObstacleRoom Obstacle = "room"
	// ObstacleReserved means that room is reserved for a persistent task or a gang.
	ObstacleReserved Obstacle = "reserved"
	// ObstacleLabel means that the runner lacks the required label.
	ObstacleLabel Obstacle = "label"
	// ObstacleUnconfirmed means that the runner had the required label in an earlier incarnation, and
	// the current one has not registered yet.
	ObstacleUnconfirmed Obstacle = "unconfirmed"
	// ObstacleSpread means that as many tasks of the step are on the runner as may be.
	ObstacleSpread Obstacle = "spread"
	// ObstacleEnds means that the runner lists so many ends already that it might not list that of
	// the task.
	ObstacleEnds Obstacle = "ends"
	// ObstacleUnsaved means that the changes of the job cannot be stored, and no end of it waits for
	// that on the runner yet.
	ObstacleUnsaved Obstacle = "unsaved"
	// ObstacleTicket means that the step has no ticket for the runner.
	ObstacleTicket Obstacle = "ticket"
	// ObstaclePreference means that the task fits there, but another runner is better.
	ObstaclePreference Obstacle = "preference"
)

// refusal returns why the runner would not accept new tasks, although it might not be withheld.
func (r *runnerState) refusal(now time.Time) Obstacle {
	switch {
	case !r.resolved:
		return ObstacleUnresolved
	case r.Draining:
		return ObstacleDraining
	case !r.missingSince.IsZero():
		return ObstacleUnregistered
	case r.failedCalls > 0:
		return ObstacleUnreachable
	case len(r.unknownRuns) > 0:
		return ObstacleStopping
	case now.Before(r.backoffUntil):
		return ObstacleBackingOff
	}
	return ""
}

// withheld returns why a runner that would accept tasks gets none.
func (r *runnerState) withheld(now time.Time) Obstacle {
	switch {
	case r.cordoned:
		return ObstacleCordoned
	case r.health.ejected(now):
		return ObstacleEjected
	case !r.health.admits(now, r.batchTasks):
		return ObstacleSuspect
	}
	return ""
}

// obstacle returns why a task may not be placed on a usable runner now.
func (p *Pool) obstacle(now time.Time, t *task, r *runnerState) Obstacle {
	switch {
	case !r.free().HasRoomFor(t.step.spec.Demand()):
		return ObstacleRoom
	case !r.admits(now, t):
		return ObstacleSuspect
	case !r.respectsReservation(now, t):
		return ObstacleReserved
	}
	if o := p.constraint(t, r); o != "" {
		return o
	}
	if !p.hasTicket(t, r, now) {
		return ObstacleTicket
	}
	return ""
}

// constraint returns which of a task's placement constraints other than resources the runner
// does not meet.
func (p *Pool) constraint(t *task, r *runnerState) Obstacle {
	spec := t.step.spec
	if spec.RequiredLabel != "" {
		switch {
		case !r.hasLabel(spec.RequiredLabel):
			return ObstacleLabel
		case !r.confirms(spec.RequiredLabel):
			return ObstacleUnconfirmed
		}
	}
	if spec.MaxPerInstance > 0 && p.siblingsOn(t, r) >= spec.MaxPerInstance {
		return ObstacleSpread
	}
	if spec.Persistent {
		return "" // its ends need not be stored
	}
	if !p.canListEnd(r) {
		return ObstacleEnds
	}
	if t.job.confined && !r.awaitsSave(t.job) {
		return ObstacleUnsaved
	}
	return ""
}
