package pool

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"bronzestair/core/job"
)

// Reservations follow the backfilling of batch schedulers (EASY): room is kept for a task that
// fits nowhere yet. Until it is expected to be complete, other tasks use what has come free if
// they end before. Delegates know nothing of reservations, as they only send orders.
const (
	// reservationDivisor limits the reserved runners to one in reservationDivisor of the
	// usable ones, but at least one. A gang that needs more may hold the only reservation.
	reservationDivisor = 4
	// reservationGrace is kept in addition to twice the expected wait, after which a
	// reservation is given up.
	reservationGrace = 1 * time.Second
	// roomSearchInterval is the minimum interval between two searches of room for a step.
	roomSearchInterval = 100 * time.Millisecond
	// minBackfillTime is the time that must be left before reserved room is needed for
	// batch tasks to be tried there.
	minBackfillTime = 200 * time.Millisecond
)

// reservation keeps room for a persistent task or for all members of a gang.
type reservation struct {
	step *stepState
	// room is what is kept on each runner.
	room   map[*runnerState]job.Resources
	madeAt time.Time
	// expected is when the room is expected to be free.
	expected time.Time
}

// reservable is a step or a runner that takes part in at most one reservation.
type reservable struct {
	reservation *reservation
	// reservableAt is when it may take part in the next one.
	reservableAt time.Time
}

// overdue reports whether the room has not come free in twice the expected time. Estimates
// are rough, and a task may never end.
func (res *reservation) overdue(now time.Time) bool {
	return now.Sub(res.madeAt) > 2*res.expected.Sub(res.madeAt)+reservationGrace
}

// lasts reports whether a task on a runner stays there until it is stopped or fails.
func (t *task) lasts() bool {
	return t.step.spec.Persistent && t.state != stopping && t.state != done
}

// expectedEnd returns when a task on a runner is expected to leave it. A batch task that has
// exceeded its estimate is expected to take as long again as it has taken.
func (t *task) expectedEnd(now time.Time) time.Time {
	if t.state == stopping || t.state == done {
		return now
	}
	elapsed := now.Sub(t.orderedAt)
	if expected := t.job.expectedRuntime(t.step.spec); elapsed < expected {
		return t.orderedAt.Add(expected)
	}
	return now.Add(elapsed)
}

// roomAt returns the resources that are expected to be free on the runner at a time if no
// further task is placed there.
func (r *runnerState) roomAt(now, at time.Time) job.Resources {
	free := r.Capacity
	for _, t := range r.tasksByID {
		if t.lasts() || t.expectedEnd(now).After(at) {
			free = free.Sub(t.step.spec.Demand())
		}
	}
	return free
}

// canHold reports whether a task fits on the runner beside the tasks that last there.
func (r *runnerState) canHold(t *task) bool {
	free := r.Capacity
	for _, other := range r.tasksByID {
		if other.lasts() {
			free = free.Sub(other.step.spec.Demand())
		}
	}
	return free.HasRoomFor(t.step.spec.Demand())
}

// reservedForOther reports whether room on the runner is kept for another step.
func (r *runnerState) reservedForOther(step *stepState) bool {
	return r.reservation != nil && r.reservation.step != step
}

// roomBeside returns the resources on the runner that its reservation does not need.
func (r *runnerState) roomBeside(now time.Time) job.Resources {
	return r.roomAt(now, r.reservation.expected).Sub(r.reservation.room[r])
}

// mayReserve reports whether room on the runner may be kept for a task.
func (r *runnerState) mayReserve(now time.Time) bool {
	return r.usable(now) && r.reservation == nil && !now.Before(r.reservableAt)
}

// respectsReservation reports whether a task that fits on the runner now leaves the
// reserved room free in time: because it ends before, or because it fits beside it.
func (r *runnerState) respectsReservation(now time.Time, t *task) bool {
	if !r.reservedForOther(t.step) {
		return true
	}
	if spec := t.step.spec; !spec.Persistent {
		margin := time.Duration(estimateMargin * float64(t.job.expectedRuntime(spec)))
		if !now.Add(margin).After(r.reservation.expected) {
			return true
		}
	}
	return r.roomBeside(now).HasRoomFor(t.step.spec.Demand())
}

// openRoom bounds the demand of tasks of any step that may be placed on the runner.
func (r *runnerState) openRoom(now time.Time) job.Resources {
	free := r.free()
	if r.reservation == nil || r.reservation.expected.Sub(now) > minBackfillTime {
		return free
	}
	beside := r.roomBeside(now)
	return job.Resources{CPU: min(free.CPU, beside.CPU), Memory: min(free.Memory, beside.Memory), GPU: min(free.GPU, beside.GPU)}
}

// reviewReservations ends the reservations that have become pointless or overdue.
func (p *Pool) reviewReservations(now time.Time) {
	for _, res := range slices.Clone(p.reservations) {
		switch {
		case res.step.ready == 0 || res.step.job.outcome != "":
			p.endReservation(now, res, "nothing waits for it", 0)
		case !p.roomUsable(now, res):
			p.endReservation(now, res, "a runner takes no tasks", 0)
		case res.overdue(now):
			p.endReservation(now, res, "overdue", now.Sub(res.madeAt))
		}
	}
}

// roomUsable reports whether all runners of a reservation still accept tasks.
func (p *Pool) roomUsable(now time.Time, res *reservation) bool {
	for r := range res.room {
		if p.runners[r.ID] != r || !r.usable(now) {
			return false
		}
	}
	return true
}

// endReservation opens the room to all tasks. The runners are not reserved again within the
// pause.
func (p *Pool) endReservation(now time.Time, res *reservation, reason string, pause time.Duration) {
	p.reservations = slices.DeleteFunc(p.reservations, func(o *reservation) bool { return o == res })
	res.step.reservation = nil
	for r := range res.room {
		r.reservation, r.reservableAt = nil, now.Add(pause)
	}
	p.logReservation(res, "reservationEnded", reason, now.Sub(res.madeAt))
}

func (p *Pool) logReservation(res *reservation, decision, reason string, age time.Duration) {
	p.emit(&LogDecision{
		Job: res.step.job.id(), Step: res.step.key(), Decision: decision, DataAge: age,
		Reason: fmt.Sprintf("%s; %d runners, expected after %v", reason, len(res.room), res.expected.Sub(res.madeAt)),
	})
}

// reserve makes a reservation unless it would hold too many of the usable runners.
func (p *Pool) reserve(now time.Time, res *reservation, usable []*runnerState) {
	held := 0
	for _, other := range p.reservations {
		held += len(other.room)
	}
	if held > 0 && held+len(res.room) > max(1, len(usable)/reservationDivisor) {
		return
	}
	p.reservations = append(p.reservations, res)
	res.step.reservation = res
	for r := range res.room {
		r.reservation = res
	}
	p.logReservation(res, "roomReserved", "no runner has room yet", 0)
}

// searchRoom reports whether room is to be sought for a step now.
func (s *stepState) searchRoom(now time.Time) bool {
	if s.reservation != nil || now.Before(s.reservableAt) {
		return false
	}
	s.reservableAt = now.Add(roomSearchInterval)
	return true
}

// reserveFor keeps room for a persistent task on the runner where it is expected to come
// free first.
func (p *Pool) reserveFor(now time.Time, t *task, candidates, usable []*runnerState) {
	demand := t.step.spec.Demand()
	var best *runnerState
	var bestAt time.Time
	for _, r := range candidates {
		if !r.mayReserve(now) {
			continue
		}
		at := r.roomExpected(now, demand)
		if best == nil || at.Before(bestAt) || at.Equal(bestAt) && r.free().Memory > best.free().Memory {
			best, bestAt = r, at
		}
	}
	if best != nil {
		p.reserve(now, &reservation{step: t.step, room: map[*runnerState]job.Resources{best: demand}, madeAt: now, expected: bestAt}, usable)
	}
}

// roomExpected returns when a demand that the runner can hold is expected to fit.
func (r *runnerState) roomExpected(now time.Time, demand job.Resources) time.Time {
	for _, at := range expectedEnds(now, []*runnerState{r}) {
		if r.roomAt(now, at).HasRoomFor(demand) {
			return at
		}
	}
	return now
}

// expectedEnds returns when the batch tasks on the runners are expected to end, in order.
func expectedEnds(now time.Time, runners []*runnerState) []time.Time {
	var ends []time.Time
	for _, r := range runners {
		for _, t := range r.tasksByID {
			if !t.lasts() {
				ends = append(ends, t.expectedEnd(now))
			}
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return slices.CompactFunc(ends, time.Time.Equal)
}

// waitForRoom handles a persistent task that fits on no runner. It reserves room, unless no
// runner that is neither reserved for others nor cordoned could ever hold the task: then it
// returns a reserved one that has room now, whose reservation it ends, or a cordoned one.
func (p *Pool) waitForRoom(now time.Time, t *task, usable []*runnerState) *runnerState {
	if !t.step.searchRoom(now) {
		return nil
	}
	candidates, reserved := p.roomCandidates(now, t, usable)
	if len(candidates) > 0 {
		p.reserveFor(now, t, candidates, usable)
		return nil
	}
	if reserved != nil {
		p.endReservation(now, reserved.reservation, "the only place of "+t.id.String(), 0)
		return reserved
	}
	return p.chooseWithheld(now, t)
}

// roomCandidates returns the usable runners that could hold a persistent task once their batch
// tasks have ended, and among those that are reserved for other steps one with room now, or nil.
func (p *Pool) roomCandidates(now time.Time, t *task, usable []*runnerState) (candidates []*runnerState, reserved *runnerState) {
	for _, r := range usable {
		switch {
		case !p.meetsConstraints(t, r) || !p.hasTicket(t, r, now) || !r.canHold(t):
		case !r.reservedForOther(t.step):
			candidates = append(candidates, r)
		case r.free().HasRoomFor(t.step.spec.Demand()):
			reserved = r
		}
	}
	return candidates, reserved
}

// reserveForGang keeps room for all members of a gang as of the earliest time at which
// they are expected to fit. Only one gang has a reservation at a time.
func (p *Pool) reserveForGang(now time.Time, step *stepState, usable []*runnerState) {
	held := slices.ContainsFunc(p.reservations, func(res *reservation) bool { return res.step.spec.Gang })
	if held || !step.searchRoom(now) {
		return
	}
	open := slices.DeleteFunc(slices.Clone(usable), func(r *runnerState) bool {
		return !r.mayReserve(now)
	})
	ends := expectedEnds(now, open)
	fitAt := func(at time.Time) []*runnerState {
		return p.fitGang(now, step, open, func(r *runnerState) job.Resources { return r.roomAt(now, at) })
	}
	first := sort.Search(len(ends), func(i int) bool { return fitAt(ends[i]) != nil })
	if first == len(ends) {
		return // the members never fit
	}
	res := &reservation{step: step, room: map[*runnerState]job.Resources{}, madeAt: now, expected: ends[first]}
	for _, r := range fitAt(ends[first]) {
		res.room[r] = res.room[r].Add(step.spec.Demand())
	}
	p.reserve(now, res, usable)
}
