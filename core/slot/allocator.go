// Package slot divides the slots of a runner among the entries that use it.
//
// Each slot of a runner has one home entry, which may lend it to a peer for a
// limited term. At any moment at most one entry starts requests on a slot.
// Therefore the requests in flight at a runner, from all entries together, never
// exceed its slots, and no message between entries is needed on the request path.
//
// # Usage
//
//	homes := slot.AssignHomes(entries, "runner-1", 8)
//	allocator := slot.NewAllocator(homes[self], 8)
//	if lease, ok := allocator.Acquire(now); ok {
//		// start a request before lease.NotAfter
//		allocator.Release(lease.Slot)
//	}
package slot

import "time"

// Lease grants the right to start one request on a slot. It ends for borrowed
// slots only: the term is that of the loan.
type Lease struct {
	Slot Index
	// NotAfter is when the term of a borrowed slot ends. It is zero for a home slot,
	// on which the request may start at any time.
	NotAfter time.Time
}

// BorrowRequestID identifies a borrow request, in which one entry asks another for
// slots. The query of a restarted entry for its loans has an id of this type too,
// although it borrows nothing. No borrow request has the id 0.
type BorrowRequestID uint64

// Loan is a slot lent to a peer. Ask is the borrow request for which it was lent,
// and distinguishes the loan from earlier ones of the same slot.
type Loan struct {
	Runner string
	Slot   Index
	Ask    BorrowRequestID
}

// Allocator tracks which slots of a runner one entry holds, has in use, lends
// and borrows.
//
// The zero value has no slots.
type Allocator struct {
	home Mask
	// lent holds the home slots that are lent or withheld.
	lent     Mask
	borrowed Mask
	busy     Mask
	// The slices are indexed by slot. The first two describe the slots in lent, the
	// other two those in borrowed.
	lentUntil       []time.Time
	lentRequest     []BorrowRequestID
	borrowedUntil   []time.Time
	borrowedRequest []BorrowRequestID
}

// NewAllocator returns the allocator of an entry with the given home slots, at a
// runner with slots slots.
func NewAllocator(home Mask, slots int) Allocator {
	return Allocator{
		home:            home,
		lentUntil:       make([]time.Time, slots),
		lentRequest:     make([]BorrowRequestID, slots),
		borrowedUntil:   make([]time.Time, slots),
		borrowedRequest: make([]BorrowRequestID, slots),
	}
}

// SetHome changes the home slots of this entry and the number of slots of the
// runner. Home slots that are new are withheld until the given time, by which
// their previous home has stopped using them. Requests in flight continue.
func (a *Allocator) SetHome(home Mask, slots int, until time.Time) {
	a.resize(slots)
	gained := home &^ a.home
	a.home = home
	a.lent &= home
	a.borrowed &^= home
	for m := gained; m != 0; {
		i := m.First()
		m = m.Without(i)
		a.markLent(i, withheld, until)
	}
}

// resize drops the loans of slots that the runner no longer has.
func (a *Allocator) resize(slots int) {
	all := ^Mask(0)
	if slots < MaxPerRunner {
		all = 1<<slots - 1
	}
	a.lent &= all
	a.borrowed &= all
	// The slices never shrink, because a removed slot may still be busy.
	for len(a.lentUntil) < slots {
		a.lentUntil = append(a.lentUntil, time.Time{})
		a.lentRequest = append(a.lentRequest, withheld)
		a.borrowedUntil = append(a.borrowedUntil, time.Time{})
		a.borrowedRequest = append(a.borrowedRequest, withheld)
	}
}

// Held returns the slots on which this entry may start requests, including busy ones.
func (a *Allocator) Held() Mask { return a.home&^a.lent | a.borrowed }

// Busy returns the slots with a request in flight from this entry.
func (a *Allocator) Busy() Mask { return a.busy }

// Free returns the slots on which this entry may start a request now.
func (a *Allocator) Free(now time.Time) Mask {
	free := a.Held() &^ a.busy
	for m := a.borrowed & free; m != 0; {
		i := m.First()
		m = m.Without(i)
		if !now.Before(a.borrowedUntil[i]) {
			free = free.Without(i)
		}
	}
	return free
}

// Acquire marks a free slot as busy. It prefers borrowed slots, so that home
// slots remain available for lending.
func (a *Allocator) Acquire(now time.Time) (Lease, bool) {
	for free := a.borrowed &^ a.busy; free != 0; {
		i := free.First()
		if now.Before(a.borrowedUntil[i]) {
			a.busy = a.busy.With(i)
			return Lease{Slot: i, NotAfter: a.borrowedUntil[i]}, true
		}
		free = free.Without(i)
	}
	free := a.home &^ a.lent &^ a.busy
	if free == 0 {
		return Lease{}, false
	}
	i := free.First()
	a.busy = a.busy.With(i)
	return Lease{Slot: i}, true
}

// Release marks a slot as no longer busy.
func (a *Allocator) Release(i Index) { a.busy = a.busy.Without(i) }

// Lendable returns the home slots that are neither lent nor busy.
func (a *Allocator) Lendable() Mask { return a.home &^ a.lent &^ a.busy }

// Lend lends a free home slot to a peer. The loan ends with Return, or with
// ReclaimExpired once until has passed.
func (a *Allocator) Lend(request BorrowRequestID, until time.Time) (Index, bool) {
	free := a.Lendable()
	if free == 0 {
		return 0, false
	}
	i := free.First()
	a.markLent(i, request, until)
	return i, true
}

func (a *Allocator) markLent(i Index, request BorrowRequestID, until time.Time) {
	a.lent = a.lent.With(i)
	a.lentUntil[i] = until
	a.lentRequest[i] = request
}

// withheld is the borrow request recorded for home slots that are not lent by
// this incarnation but may still be in use elsewhere.
const withheld BorrowRequestID = 0

// Withhold treats every home slot as lent until the given time, because a
// previous incarnation of this entry may have lent it.
func (a *Allocator) Withhold(until time.Time) {
	for m := a.home &^ a.lent; m != 0; {
		i := m.First()
		a.markLent(i, withheld, until)
		m = m.Without(i)
	}
}

// ConfirmLoan records that a peer holds a loan from a previous incarnation. It does
// nothing unless the slot is withheld.
func (a *Allocator) ConfirmLoan(i Index, request BorrowRequestID, until time.Time) {
	if a.lent.Has(i) && a.lentRequest[i] == withheld {
		a.markLent(i, request, until)
	}
}

// ReleaseWithheld releases the withheld slots for which no loan was confirmed.
func (a *Allocator) ReleaseWithheld() { a.ReturnAll(withheld) }

// Return ends the loan of a slot. It does nothing unless the slot is lent for the
// given borrow request.
func (a *Allocator) Return(i Index, request BorrowRequestID) {
	if int(i) < len(a.lentRequest) && a.lent.Has(i) && a.lentRequest[i] == request {
		a.lent = a.lent.Without(i)
	}
}

// ReturnAll ends all loans for the given borrow request.
func (a *Allocator) ReturnAll(request BorrowRequestID) {
	for m := a.lent; m != 0; {
		i := m.First()
		m = m.Without(i)
		a.Return(i, request)
	}
}

// Lent returns the home slots that are lent to a peer or withheld.
func (a *Allocator) Lent() Mask { return a.lent }

// Borrow adds a slot of a peer, on which requests may start before until. It
// reports false if this entry already holds the slot or the slot does not exist.
func (a *Allocator) Borrow(i Index, request BorrowRequestID, until time.Time) bool {
	if int(i) >= len(a.borrowedUntil) || a.home.Has(i) || a.borrowed.Has(i) {
		return false
	}
	a.borrowed = a.borrowed.With(i)
	a.borrowedUntil[i] = until
	a.borrowedRequest[i] = request
	return true
}

// Borrowed returns the slots borrowed from peers.
func (a *Allocator) Borrowed() Mask { return a.borrowed }

// BorrowRequest returns the borrow request that obtained a borrowed slot.
func (a *Allocator) BorrowRequest(i Index) BorrowRequestID { return a.borrowedRequest[i] }

// Relinquish removes and returns the borrowed slots that are not busy: all of
// them if all is set, otherwise those whose term has ended. The caller must
// return them to their home entries.
func (a *Allocator) Relinquish(now time.Time, all bool) Mask {
	var out Mask
	for m := a.borrowed &^ a.busy; m != 0; {
		i := m.First()
		m = m.Without(i)
		if all || !now.Before(a.borrowedUntil[i]) {
			out = out.With(i)
		}
	}
	a.borrowed &^= out
	return out
}

// ReclaimExpired ends the loans that were not returned before their time limit.
func (a *Allocator) ReclaimExpired(now time.Time) {
	for m := a.lent; m != 0; {
		i := m.First()
		m = m.Without(i)
		if now.After(a.lentUntil[i]) {
			a.lent = a.lent.Without(i)
		}
	}
}
