package entry

// ticked sends the probes that are due, returns and reclaims loans, dispatches
// queued requests, and repeats borrow requests and loan queries to peers.
func (s *State) ticked() {
	for _, config := range s.configuredServices() {
		svc := s.services[config.ID]
		for _, r := range svc.runners {
			if r.health.StartProbe(s.now) {
				s.emit(Effect{Kind: Probe, Runner: r.config.ID})
			}
		}
		s.returnAndReclaimLoans(svc)
		s.dispatchQueued(svc)
		s.sendBorrowRequest(svc)
	}
	s.queryLoans()
}
