package entry

// maxEjectedShare is the largest share of the runners of a service that may be
// ejected at once, so that false failure detection cannot empty a pool. Of two or
// more runners at least one may be ejected, even if that exceeds the share. Runners
// that leave do not count, as they accept no requests anyway.
const maxEjectedShare = 0.34

// eject ejects a runner unless the limit for its service has been reached. A probe
// readmits it. This ejection concerns requests; the runnerHealth of package pool
// ejects runners after failed runs of tasks and uses no probes.
func (s *State) eject(r *runnerState) {
	staying, ejected := r.service.countStaying()
	if r.leaving || ejected >= ejectionLimit(staying) {
		return
	}
	r.health.Eject(s.now)
}

// countStaying counts the runners that do not leave, and those of them that are ejected.
func (svc *serviceState) countStaying() (staying, ejected int) {
	for _, r := range svc.runners {
		if r.leaving {
			continue
		}
		staying++
		if r.health.IsEjected() {
			ejected++
		}
	}
	return staying, ejected
}

// readmitExcess readmits the ejected runners of each service beyond the limit, which falls
// when others leave, and dispatches queued requests.
func (s *State) readmitExcess() {
	for _, config := range s.configuredServices() {
		svc := s.services[config.ID]
		staying, ejected := svc.countStaying()
		for _, r := range svc.runners {
			if ejected > ejectionLimit(staying) && !r.leaving && r.health.IsEjected() {
				r.health.Readmit()
				ejected--
			}
		}
		s.dispatchQueued(svc)
	}
}

// ejectionLimit returns how many of n runners may be ejected at once: none if
// there is only one, otherwise at least one.
func ejectionLimit(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(maxEjectedShare*float64(n)))
}

// probeEnded readmits a runner after a successful probe. After a failed one the
// runner stays ejected for longer.
func (s *State) probeEnded(e *ProbeEnded) {
	r, ok := s.runners[e.Runner]
	if !ok {
		return
	}
	r.health.RecordProbe(s.now, e.OK)
	s.dispatchQueued(r.service)
}
