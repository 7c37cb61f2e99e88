package pool

import (
	"fmt"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
)

// Hysteresis of the state of a full pool.
const (
	// fullAfter is how long work must have waited for room until the pool counts as full. It
	// is longer than the gap between the end of a task and the next start in its room.
	fullAfter = 100 * time.Millisecond
	// roomAfter is how long no work may have waited until the pool has room again.
	roomAfter = 250 * time.Millisecond
)

// AdmissionState is the state of a pool on which the admission of jobs depends. It is
// immutable.
type AdmissionState struct {
	// Full is true while ready work of jobs that are not in excess waits for room.
	Full bool
	// Organisations is nil if the configuration names none.
	Organisations *organisation.Directory
	// Elsewhere holds what the owner of the fleet has last told, as of ElsewhereAt.
	Elsewhere   map[job.Organisation]OrganisationLease
	ElsewhereAt time.Time
}

// PublishAdmission passes the state of the pool to its Admission.
type PublishAdmission struct {
	State AdmissionState
}

func (*PublishAdmission) isEffect() {}

// poolAdmission is the reducer's part in the admission of jobs.
type poolAdmission struct {
	// due is true from a tick until the state is published.
	due  bool
	full bool
	// changingSince is since when work waits, if the pool is not full, or since when none
	// waits, if it is. It is zero otherwise.
	changingSince time.Time
	arriving      map[job.Organisation]float64
	elsewhere     map[job.Organisation]OrganisationLease
	elsewhereAt   time.Time
}

// publishAdmission updates whether the pool is full and publishes its state.
func (p *Pool) publishAdmission(now time.Time) {
	p.admission.due = false
	if p.organisations == nil && !p.admission.full {
		return
	}
	p.updateFull(now)
	p.emit(&PublishAdmission{State: AdmissionState{
		Full: p.admission.full, Organisations: p.organisations,
		Elsewhere: p.admission.elsewhere, ElsewhereAt: p.admission.elsewhereAt,
	}})
}

func (p *Pool) updateFull(now time.Time) {
	a := &p.admission
	waits := p.organisations != nil && p.waitsForRoom(now)
	if waits == a.full {
		a.changingSince = time.Time{}
		return
	}
	if a.changingSince.IsZero() {
		a.changingSince = now
	}
	delay := fullAfter
	if a.full {
		delay = roomAfter
	}
	if now.Sub(a.changingSince) < delay {
		return
	}
	a.full, a.changingSince = waits, time.Time{}
	decision := "poolHasRoom"
	if waits {
		decision = "poolFull"
	}
	p.emit(&LogDecision{Decision: decision, Reason: fmt.Sprintf("%d jobs, capacity %d millicores", len(p.jobs), p.capacity(now).CPU)})
}

// waitsForRoom reports whether a ready task of a job that is not in excess fits on no runner
// now, although it would fit on an empty one. Expired jobs are left out, as excess jobs come
// before them; so are persistent tasks and gangs, which keep room by reservations and may wait
// for a long time while the pool has room for others.
func (p *Pool) waitsForRoom(now time.Time) bool {
	if p.loading || !p.Recovered(now) {
		return false
	}
	usable := p.usableRunners(now)
	room := maxOpenRoom(now, usable)
	var largest job.Resources
	for _, r := range usable {
		largest.CPU, largest.Memory = max(largest.CPU, r.Capacity.CPU), max(largest.Memory, r.Capacity.Memory)
		largest.GPU = max(largest.GPU, r.Capacity.GPU)
	}
	for _, j := range p.ranked {
		if j.ready == 0 || j.outcome != "" || j.excess || j.rank.tier == tierExpired {
			continue
		}
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				spec := step.spec
				if step.ready == 0 || spec.Persistent || spec.Gang {
					continue
				}
				if demand := spec.Demand(); !room.HasRoomFor(demand) && largest.HasRoomFor(demand) {
					return true
				}
			}
		}
	}
	return false
}
