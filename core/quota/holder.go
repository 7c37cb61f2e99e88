package quota

import (
	"time"

	"bronzestair/core/job"
)

// Call identifies a request of a lender.
type Call struct {
	// Fence is the fencing token of the lender. A higher one replaces the lender.
	Fence uint64
	// Number numbers the calls of a lender, from 1.
	Number int64
	// Answered is the number of the last call to the pool whose answer the lender has, 0 for
	// none. Leases are valid from that answer on, so that a late request carries none.
	Answered int64
}

// Grant is what a request says of an organisation.
type Grant struct {
	Lent job.Resources
	// WholeTask is as in Budget.
	WholeTask bool
	// Elsewhere is the number of jobs a second that the organisation submits to other pools.
	Elsewhere float64
}

// Request carries the leases of a pool. They replace those of the previous request. The zero
// value is the request of a configuration without organisations.
type Request struct {
	Call
	// Valid is how long the leases are valid, LeaseTime at most.
	Valid  time.Duration
	Grants map[job.Organisation]Grant
}

// Lease is a Grant with its expiry on the holder's clock.
type Lease struct {
	Grant
	Until time.Time
}

// keptAnswers is the number of answers whose times a Holder keeps. It covers LeaseTime at
// four calls a second.
const keptAnswers = 24

// Holder keeps the leases of a pool at its owner. The zero value holds none. It is not safe for
// concurrent use.
type Holder struct {
	last    Call
	answers []heldAnswer
	leases  map[job.Organisation]Lease
}

// heldAnswer is the time at which a call was answered.
type heldAnswer struct {
	number int64
	at     time.Time
}

// Apply applies a request. It returns false, and ignores the request, if a newer one or one of
// a newer lender was applied before.
func (h *Holder) Apply(now time.Time, r Request) bool {
	if r.Fence < h.last.Fence || r.Fence == h.last.Fence && r.Number <= h.last.Number {
		return false
	}
	if r.Fence > h.last.Fence {
		h.answers = nil
	}
	h.last = r.Call
	leases := make(map[job.Organisation]Lease, len(r.Grants))
	if answeredAt, ok := h.answeredAt(r.Answered); ok {
		for name, grant := range r.Grants {
			leases[name] = Lease{Grant: grant, Until: answeredAt.Add(min(r.Valid, LeaseTime))}
		}
	} else {
		// The request says nothing about the leases that are held.
		for name, lease := range h.leases {
			lease.Elsewhere = 0
			if now.Before(lease.Until) {
				leases[name] = lease
			}
		}
		for name, grant := range r.Grants {
			lease := leases[name]
			lease.Elsewhere = grant.Elsewhere
			leases[name] = lease
		}
	}
	h.leases = leases
	return true
}

func (h *Holder) answeredAt(number int64) (time.Time, bool) {
	for _, a := range h.answers {
		if a.number == number {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// Answered records that the report for the answer to a call is being made.
func (h *Holder) Answered(now time.Time, c Call) {
	if c.Fence != h.last.Fence {
		return
	}
	if len(h.answers) >= keptAnswers {
		h.answers = h.answers[1:]
	}
	h.answers = append(h.answers, heldAnswer{number: c.Number, at: now})
}

// LastCall returns the call of the last request that was applied.
func (h *Holder) LastCall() Call { return h.last }

// Leases returns the leases as of the last request. They may have expired since.
func (h *Holder) Leases() map[job.Organisation]Lease { return h.leases }
