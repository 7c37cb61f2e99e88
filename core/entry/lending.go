package entry

import (
	"slices"
	"time"

	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/slot"
)

const (
	// loanTerm is the time during which requests may start on a borrowed slot.
	loanTerm = 1 * time.Second
	// loanMargin is the extra time before a lender reclaims a slot that was not returned.
	loanMargin = 1 * time.Second
	// maxBorrowCount is the largest number of slots in one borrow request.
	maxBorrowCount = 32
	// minBorrowBackoff and maxBorrowBackoff bound the backoff after all peers
	// have refused to lend.
	minBorrowBackoff = 20 * time.Millisecond
	maxBorrowBackoff = 640 * time.Millisecond
	// loanQueryInterval is the interval at which peers that have not reported
	// their loans are queried again.
	loanQueryInterval = 200 * time.Millisecond
	// maxVoidRequests is the number of void borrow requests that are remembered.
	maxVoidRequests = 64
)

// lending is the state of slot lending between this entry and its peers.
type lending struct {
	peers []fleet.EntryID
	// unreported lists the peers that have not reported yet which slots they hold on
	// loan from a previous incarnation of this entry.
	unreported    []fleet.EntryID
	nextLoanQuery time.Time
	// voidRequests are the latest borrow requests that peers have declared void.
	// Such a request gets no loans if it arrives later.
	voidRequests []slot.BorrowRequestID
}

// borrowing is the state of a service's borrow requests.
type borrowing struct {
	// outstanding is the borrow request that awaits a reply, 0 for none.
	outstanding slot.BorrowRequestID
	// peer is the id of the entry to which the latest borrow request was sent.
	peer fleet.EntryID
	// refusals counts the consecutive borrow requests that obtained no loan,
	// including those without a reply.
	refusals int
	// nextPeerIndex is the index of the peer to ask next, modulo the number of peers.
	nextPeerIndex int
	// backoff is the length of the latest backoff, 0 after a loan, and notBefore is
	// when it ends.
	backoff   time.Duration
	notBefore time.Time
}

// updatePeers takes the peers from the configuration. On the first configuration
// of this incarnation it also withholds all home slots, which a previous
// incarnation may have lent, and asks the peers which of them they hold. The
// slots stay withheld until every peer has replied, or until the longest possible
// loan has ended.
func (s *State) updatePeers(firstConfiguration bool) {
	s.lending.peers = s.lending.peers[:0]
	for _, id := range s.fleet.EntryIDs() {
		if id != s.self {
			s.lending.peers = append(s.lending.peers, id)
		}
	}
	if !firstConfiguration || len(s.lending.peers) == 0 {
		return
	}
	s.lending.unreported = slices.Clone(s.lending.peers)
	for _, r := range s.runners {
		r.allocator.Withhold(s.now.Add(r.maxLoanTime()))
	}
	s.queryLoans()
}

// maxLoanTime returns how long a peer that never returns a slot may be using it.
func (r *runnerState) maxLoanTime() time.Duration {
	return loanTerm + r.service.config.LongestTimeout() + loanMargin
}

// queryLoans asks the peers that have not reported yet which slots of this entry
// they hold on loan.
func (s *State) queryLoans() {
	if len(s.lending.unreported) == 0 || s.now.Before(s.lending.nextLoanQuery) {
		return
	}
	s.lending.nextLoanQuery = s.now.Add(loanQueryInterval)
	for _, peer := range s.lending.unreported {
		s.emit(Effect{Kind: QueryLoans, Peer: peer})
	}
}

// loansReported handles the reply of a peer to a query of this entry: it records
// the loans of this entry's slots that the peer holds. Once all peers have
// replied, the slots that none of them holds are released.
func (s *State) loansReported(e *LoansReported) {
	i := slices.Index(s.lending.unreported, e.Peer)
	if i < 0 {
		return
	}
	for _, loan := range e.Loans {
		if r, ok := s.runners[runner.ID(loan.Runner)]; ok {
			r.allocator.ConfirmLoan(loan.Slot, loan.Ask, s.now.Add(r.maxLoanTime()))
		}
	}
	s.lending.unreported = slices.Delete(s.lending.unreported, i, i+1)
	if len(s.lending.unreported) > 0 {
		return
	}
	for _, config := range s.configuredServices() {
		svc := s.services[config.ID]
		for _, r := range svc.runners {
			r.allocator.ReleaseWithheld()
		}
		s.dispatchQueued(svc)
	}
}

// loansQueried handles the query of a restarted peer: it reports which of the
// peer's slots this entry holds on loan. A borrow request outstanding at that peer
// is abandoned: a loan by the previous incarnation that arrives later would be
// unknown to the new one.
func (s *State) loansQueried(e *LoansQueried) {
	for _, svc := range s.services {
		if svc.borrowing.peer == e.Peer {
			svc.borrowing.outstanding = 0
		}
	}
	var loans []slot.Loan
	for _, config := range s.configuredServices() {
		for _, r := range s.services[config.ID].runners {
			loans = r.appendLoans(loans, r.allocator.Borrowed()&r.homes[e.Peer])
		}
	}
	s.emit(Effect{Kind: ReportLoans, Peer: e.Peer, Ask: e.Ask, Loans: loans})
}

// appendLoans appends a loan for each of the given borrowed slots.
func (r *runnerState) appendLoans(loans []slot.Loan, slots slot.Mask) []slot.Loan {
	for m := slots; m != 0; {
		i := m.First()
		m = m.Without(i)
		loans = append(loans, slot.Loan{Runner: string(r.config.ID), Slot: i, Ask: r.allocator.BorrowRequest(i)})
	}
	return loans
}

// sendBorrowRequest asks one peer for slots if requests are queued, no borrow request
// is outstanding and the backoff has passed.
func (s *State) sendBorrowRequest(svc *serviceState) {
	b := &svc.borrowing
	if !s.borrows || svc.queue.Len() == 0 || b.outstanding != 0 || s.now.Before(b.notBefore) || len(s.lending.peers) == 0 {
		return
	}
	if b.refusals == 0 && b.backoff == 0 {
		b.nextPeerIndex = int(uint32(s.random)) % len(s.lending.peers)
	}
	peer := s.lending.peers[b.nextPeerIndex%len(s.lending.peers)]
	b.outstanding = slot.BorrowRequestID(max(s.random, 1))
	b.peer = peer
	s.emit(Effect{
		Kind:    BorrowSlots,
		Peer:    peer,
		Service: svc.config.ID,
		Count:   min(svc.queue.Len(), maxBorrowCount),
		Ask:     b.outstanding,
	})
}

// borrowCompleted takes the loans that a borrow request has obtained. A request
// that is no longer outstanding, or whose reply was lost, is voided at the peer,
// so that slots lent for it are returned. If no loan was taken, be it for a
// refusal or a lost reply, the next peer is asked; once this has happened at all
// peers in a row, the service backs off exponentially.
func (s *State) borrowCompleted(e *BorrowCompleted) {
	svc, ok := s.services[e.Service]
	if !ok || svc.borrowing.outstanding != e.Ask || e.Ask == 0 {
		s.emit(Effect{Kind: ReturnSlots, Peer: e.Peer, Ask: e.Ask})
		return
	}
	b := &svc.borrowing
	b.outstanding = 0
	if e.Failed {
		s.emit(Effect{Kind: ReturnSlots, Peer: e.Peer, Ask: e.Ask})
	}
	if s.borrow(e) {
		b.refusals = 0
		b.backoff = 0
		s.dispatchQueued(svc)
	} else {
		b.refusals++
		b.nextPeerIndex++
	}
	if b.refusals >= len(s.lending.peers) {
		b.refusals = 0
		b.backoff = min(max(2*b.backoff, minBorrowBackoff), maxBorrowBackoff)
		b.notBefore = s.now.Add(b.backoff)
	}
	s.sendBorrowRequest(svc)
}

// borrow adds the loans to the allocators of their runners and reports whether any
// was added. The loans that cannot be added are returned to the peer.
func (s *State) borrow(e *BorrowCompleted) bool {
	until := e.AskedAt.Add(loanTerm)
	borrowed := false
	var unusable []slot.Loan
	for _, loan := range e.Loans {
		r, ok := s.runners[runner.ID(loan.Runner)]
		if ok && r.allocator.Borrow(loan.Slot, loan.Ask, until) {
			borrowed = true
		} else {
			unusable = append(unusable, loan)
		}
	}
	if len(unusable) > 0 {
		s.emit(Effect{Kind: ReturnSlots, Peer: e.Peer, Loans: unusable})
	}
	return borrowed
}

// borrowRequested lends at most half of the free home slots, rounded up, and
// none while requests are queued here or if the borrow request is void.
func (s *State) borrowRequested(e *BorrowRequested) {
	effect := Effect{Kind: LendSlots, Peer: e.Peer, Service: e.Service, Ask: e.Ask}
	svc, ok := s.services[e.Service]
	if ok && svc.queue.Len() == 0 && !slices.Contains(s.lending.voidRequests, e.Ask) {
		effect.Loans = s.lend(svc, e)
	}
	s.emit(effect)
}

func (s *State) lend(svc *serviceState, e *BorrowRequested) []slot.Loan {
	free := 0
	for _, r := range svc.runners {
		free += r.allocator.Lendable().Count()
	}
	count := min(e.Count, maxBorrowCount, (free+1)/2)
	var loans []slot.Loan
	for len(loans) < count {
		before := len(loans)
		for _, r := range svc.runners {
			if len(loans) == count {
				break
			}
			if i, ok := r.allocator.Lend(e.Ask, s.now.Add(r.maxLoanTime())); ok {
				loans = append(loans, slot.Loan{Runner: string(r.config.ID), Slot: i, Ask: e.Ask})
			}
		}
		if len(loans) == before {
			break
		}
	}
	return loans
}

// slotsReturned ends the loans that a peer returns. If the peer voids a borrow
// request, it also ends all loans for that request and refuses it from now on.
func (s *State) slotsReturned(e *SlotsReturned) {
	for _, loan := range e.Loans {
		if r, ok := s.runners[runner.ID(loan.Runner)]; ok {
			r.allocator.Return(loan.Slot, loan.Ask)
			s.dispatchQueued(r.service)
		}
	}
	if e.VoidAsk == 0 {
		return
	}
	if len(s.lending.voidRequests) == maxVoidRequests {
		s.lending.voidRequests = slices.Delete(s.lending.voidRequests, 0, 1)
	}
	s.lending.voidRequests = append(s.lending.voidRequests, e.VoidAsk)
	for _, config := range s.configuredServices() {
		svc := s.services[config.ID]
		for _, r := range svc.runners {
			r.allocator.ReturnAll(e.VoidAsk)
		}
		s.dispatchQueued(svc)
	}
}

// returnAndReclaimLoans returns the idle borrowed slots that are not needed or
// whose term has ended, and reclaims the lent slots that were not returned in time.
func (s *State) returnAndReclaimLoans(svc *serviceState) {
	queueEmpty := svc.queue.Len() == 0
	byPeer := map[fleet.EntryID][]slot.Loan{}
	for _, r := range svc.runners {
		r.allocator.ReclaimExpired(s.now)
		if r.allocator.Borrowed() == 0 {
			continue
		}
		relinquished := r.allocator.Relinquish(s.now, queueEmpty)
		for _, peer := range s.lending.peers {
			if borrowed := relinquished & r.homes[peer]; borrowed != 0 {
				byPeer[peer] = r.appendLoans(byPeer[peer], borrowed)
			}
		}
	}
	for _, peer := range s.lending.peers {
		if loans := byPeer[peer]; len(loans) > 0 {
			s.emit(Effect{Kind: ReturnSlots, Peer: peer, Loans: loans})
		}
	}
}
