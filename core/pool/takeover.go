package pool

import (
	"maps"
	"slices"
	"time"
)

// takeover tracks which runners must answer to a new owner before it knows the
// state of the runs of previous owners. A run that no runner has reported may have
// completed, so its task must not be started again. Neither a list of
// registrations, from which live runners may be missing, nor the end of a lease
// tells how a run ended.
type takeover struct {
	// registrationsRead is true once a list of registrations was read. listed is true
	// once a list of incarnations was read that includes all as of the takeover.
	registrationsRead, listed bool
	// awaited holds the incarnations that may have runs of a previous owner and have
	// not reported them.
	awaited map[RunnerID]bool
	// resolved holds the incarnations that have reported all runs or terminated.
	resolved map[RunnerID]bool
}

// registrationLag bounds the time from the registration of a runner until it is
// known to the owner. It covers a pause between two reads of the feed and a slow answer.
const registrationLag = 1500 * time.Millisecond

// takeoverTimeout limits how long a new owner waits for incarnations that it cannot
// reach because they are not registered, or for the list of incarnations. It is far
// above the outages that the platform's operators report, which last up to 10 s.
const takeoverTimeout = 30 * time.Second

// awaitRunner adds a runner that may have runs of a previous owner: one from the first
// list of registrations, or one that was registered around the takeover.
func (p *Pool) awaitRunner(now time.Time, id RunnerID) {
	t := &p.takeover
	if p.hasPreviousOwner() && !t.resolved[id] && (!t.registrationsRead || now.Sub(p.ownedSince) <= registrationLag) {
		t.awaited[id] = true
	}
}

// markResolved records that an incarnation has reported all its runs or terminated.
func (t *takeover) markResolved(id RunnerID) {
	delete(t.awaited, id)
	t.resolved[id] = true
}

// updateIncarnations awaits all incarnations of the first list and stops awaiting those
// that later lists no longer contain and that are not registered.
func (p *Pool) updateIncarnations(e *IncarnationsListed) {
	t := &p.takeover
	if !t.listed {
		t.listed = true
		for id := range e.Alive {
			if !t.resolved[id] {
				t.awaited[id] = true
			}
		}
	}
	for id := range t.awaited {
		if !e.Alive[id] && p.runners[id] == nil {
			delete(t.awaited, id)
		}
	}
}

// hasPreviousOwner reports whether a previous owner may have sent orders.
func (p *Pool) hasPreviousOwner() bool { return p.options.Epoch > 1 }

// allReported reports whether every awaited incarnation satisfies the condition or
// can no longer be waited for.
func (p *Pool) allReported(now time.Time, reported func(*runnerState) bool) bool {
	withinTimeout := now.Sub(p.ownedSince) <= takeoverTimeout
	if !p.listed || withinTimeout && !p.takeover.listed {
		return false
	}
	for id := range p.takeover.awaited {
		if r := p.runners[id]; r == nil && withinTimeout || r != nil && !reported(r) {
			return false
		}
	}
	return true
}

// leasesExpired reports whether all leases that a previous owner granted have ended, also
// those that it granted for the clock of an earlier incarnation of a runner.
func (p *Pool) leasesExpired(now time.Time) bool {
	return now.Sub(p.ownedSince) > leaseBound(p.options.MaxLease)
}

// Recovered reports whether the state of every run of a previous owner is known.
// Tasks of inherited jobs that are not persistent may start only then.
func (p *Pool) Recovered(now time.Time) bool {
	if p.loading || !p.listed {
		return false
	}
	return !p.hasPreviousOwner() || p.allReported(now, func(r *runnerState) bool { return r.resolved })
}

// UnresolvedRunners returns the runners that have not answered to this owner and the
// awaited incarnations that are not registered.
func (p *Pool) UnresolvedRunners() []RunnerID {
	var out []RunnerID
	for _, r := range p.runnerOrder {
		if !r.resolved {
			out = append(out, r.ID)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.takeover.awaited)) {
		if p.runners[id] == nil {
			out = append(out, id)
		}
	}
	return out
}

// mayStart reports whether a step's tasks are certain to be neither running nor
// completed under a previous owner. Persistent tasks do not complete, so the end of
// the leases is sufficient for them.
func (p *Pool) mayStart(now time.Time, j *jobState, step *stepState) bool {
	if !j.inherited || p.Recovered(now) {
		return true
	}
	return step.spec.Persistent && !p.loading && p.leasesExpired(now)
}

// PreviousOwnersFenced reports whether no previous owner can still acknowledge an end.
// Progress must be read from the store only after that: it is then complete together
// with the ends that are stored later, which their runners still list.
func (p *Pool) PreviousOwnersFenced(now time.Time) bool {
	if !p.hasPreviousOwner() || now.Sub(p.ownedSince) > leaseBound(p.options.Lease) {
		return true
	}
	return p.allReported(now, func(r *runnerState) bool { return r.fenced })
}

// NeedsIncarnations reports whether a list of incarnations could settle the state of
// runs that no runner reports: after a takeover, or while a runner with tasks does
// not answer.
func (p *Pool) NeedsIncarnations(now time.Time) bool {
	if p.hasPreviousOwner() && !p.Recovered(now) {
		return true
	}
	for _, r := range p.runnerOrder {
		if len(r.tasks) > 0 && r.unreachable(now) {
			return true
		}
	}
	return false
}

// apply implements Event. A runner that is missing from the list counts as terminated
// only if it does not answer, and has tasks or is awaited.
func (e *IncarnationsListed) apply(p *Pool, now time.Time) {
	for _, r := range p.runnerOrder {
		if e.Alive[r.ID] || !r.unansweredSince(now, e.RequestedAt) || len(r.tasks) == 0 && !p.takeover.awaited[r.ID] {
			continue
		}
		p.emit(&LogDecision{Runner: r.ID, Decision: "runnerGone", Reason: "no instance has this life", DataAge: now.Sub(e.RequestedAt)})
		(&RunnerEnded{Runner: r.ID, Born: r.born}).apply(p, now)
	}
	p.updateIncarnations(e)
	p.dispatchNeeded = true
}

// unansweredSince reports whether a runner does not answer and has neither answered
// nor been registered since a list of incarnations was requested. A runner that has
// just started may be missing from the list.
func (r *runnerState) unansweredSince(now, requested time.Time) bool {
	if r.failedCalls == 0 || !later(r.firstListed, r.incarnationSince).Before(requested) || !r.lastAnswer.Before(requested) {
		return false
	}
	return r.lastAnswer.IsZero() || r.unreachable(now)
}
