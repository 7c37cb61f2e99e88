// Package slot keeps a runner's slots apart among all the entries that use it.
//
// Each slot of a runner has one home entry, which may lend it to a peer for a
// term. At any moment at most one entry starts requests on a slot, so that a
// runner never has more requests in flight than it has slots, counted over all
// entries, without a message on the path of a request.
//
// # Usage
//
//	homes := slot.Homes(entries, "runner-1", 8)
//	ledger := slot.NewLedger(homes[self], 8)
//	if lease, ok := ledger.Take(now); ok {
//		// send a request before lease.NotAfter
//		ledger.Release(lease.Slot)
//	}
package slot

import "time"

// Lease is the right to start one request on a slot.
type Lease struct {
	Slot Index
	// NotAfter is the end of a borrowed slot's term. It is zero for a slot at home.
	NotAfter time.Time
}

// Ledger is what one entry knows of one runner's slots.
//
// The zero value holds no slot.
type Ledger struct {
	home          Mask
	lent          Mask
	borrowed      Mask
	busy          Mask
	lentUntil     []time.Time
	borrowedUntil []time.Time
}

// NewLedger returns the ledger of an entry that is home to the slots of home.
func NewLedger(home Mask, slots int) Ledger {
	return Ledger{
		home:          home,
		lentUntil:     make([]time.Time, slots),
		borrowedUntil: make([]time.Time, slots),
	}
}

// Slots returns the number of slots of the runner.
func (l *Ledger) Slots() int { return len(l.lentUntil) }

// Held returns the slots on which this entry may start requests, the busy ones included.
func (l *Ledger) Held() Mask { return l.home&^l.lent | l.borrowed }

// Busy returns the slots with a request in flight from this entry.
func (l *Ledger) Busy() Mask { return l.busy }

// Free returns the slots on which this entry may start a request now.
func (l *Ledger) Free() Mask { return l.Held() &^ l.busy }

// Take marks a free slot as busy. It prefers a borrowed slot, so that slots at
// home stay free to be lent.
func (l *Ledger) Take(now time.Time) (Lease, bool) {
	for free := l.borrowed &^ l.busy; free != 0; {
		i := free.First()
		if now.Before(l.borrowedUntil[i]) {
			l.busy = l.busy.With(i)
			return Lease{Slot: i, NotAfter: l.borrowedUntil[i]}, true
		}
		free = free.Without(i)
	}
	free := l.home &^ l.lent &^ l.busy
	if free == 0 {
		return Lease{}, false
	}
	i := free.First()
	l.busy = l.busy.With(i)
	return Lease{Slot: i}, true
}

// Release marks a slot as no longer busy.
func (l *Ledger) Release(i Index) { l.busy = l.busy.Without(i) }

// Lend gives a free slot at home to a peer. The slot comes back by Return, or
// by Reclaim once until has passed.
func (l *Ledger) Lend(until time.Time) (Index, bool) {
	free := l.home &^ l.lent &^ l.busy
	if free == 0 {
		return 0, false
	}
	i := free.First()
	l.lent = l.lent.With(i)
	l.lentUntil[i] = until
	return i, true
}

// Withhold treats every slot at home as lent until the given time, because a
// former incarnation of this entry may have lent it.
func (l *Ledger) Withhold(until time.Time) {
	for m := l.home &^ l.lent; m != 0; {
		i := m.First()
		l.lent = l.lent.With(i)
		l.lentUntil[i] = until
		m = m.Without(i)
	}
}

// Return takes a lent slot back. It does nothing for a slot that is not lent.
func (l *Ledger) Return(i Index) {
	if int(i) < len(l.lentUntil) {
		l.lent = l.lent.Without(i)
	}
}

// Lent returns the slots at home that are with a peer or withheld.
func (l *Ledger) Lent() Mask { return l.lent }

// Borrow adds a peer's slot, on which requests may start before until.
func (l *Ledger) Borrow(i Index, until time.Time) {
	if int(i) >= len(l.borrowedUntil) || l.home.Has(i) {
		return
	}
	l.borrowed = l.borrowed.With(i)
	l.borrowedUntil[i] = until
}

// Borrowed returns the slots of peers that this entry holds.
func (l *Ledger) Borrowed() Mask { return l.borrowed }

// GiveUp takes borrowed slots out that are not busy and, unless all is set,
// whose term has ended. The caller gives them back to their home.
func (l *Ledger) GiveUp(now time.Time, all bool) Mask {
	var out Mask
	for m := l.borrowed &^ l.busy; m != 0; {
		i := m.First()
		m = m.Without(i)
		if all || !now.Before(l.borrowedUntil[i]) {
			out = out.With(i)
		}
	}
	l.borrowed &^= out
	return out
}

// Reclaim takes back the lent slots whose time has passed.
func (l *Ledger) Reclaim(now time.Time) {
	for m := l.lent; m != 0; {
		i := m.First()
		m = m.Without(i)
		if now.After(l.lentUntil[i]) {
			l.lent = l.lent.Without(i)
		}
	}
}
