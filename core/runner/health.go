package runner

import "time"

const (
	// failuresToEject is the number of consecutive failures that eject a runner.
	failuresToEject = 5
	// minEjectionTime is the duration of the first ejection.
	minEjectionTime = 1 * time.Second
	// maxEjectionTime limits the duration, which doubles with each ejection in a row.
	maxEjectionTime = 30 * time.Second
)

// Health tracks the outcomes of one runner and decides when to eject it. It
// implements the consecutive failure rule of outlier detection.
//
// The zero value is healthy.
type Health struct {
	// failures counts the consecutive failures, ejections the ejections since the
	// last success of the runner while it was not ejected.
	failures  int
	ejections int
	ejected   bool
	// probing is set while a probe is in flight, probeAt is when the next one is due.
	probing bool
	probeAt time.Time
}

// IsEjected reports whether the runner is ejected.
func (h *Health) IsEjected() bool { return h.ejected }

// Succeeded records a successful request.
func (h *Health) Succeeded() {
	h.failures = 0
	if !h.ejected {
		h.ejections = 0
	}
}

// Failed records a failed request and reports whether the runner should be ejected.
func (h *Health) Failed() bool {
	h.failures++
	return !h.ejected && h.failures >= failuresToEject
}

// Eject ejects the runner. Each consecutive ejection lasts twice as long as the
// previous one, up to 30 s.
func (h *Health) Eject(now time.Time) {
	h.ejected = true
	h.probing = false
	h.probeAt = now.Add(ejectionTime(h.ejections))
	h.ejections++
}

// StartProbe reports whether a probe is due, and if so marks it as in flight.
func (h *Health) StartProbe(now time.Time) bool {
	if !h.ejected || h.probing || now.Before(h.probeAt) {
		return false
	}
	h.probing = true
	return true
}

// RecordProbe records the result of a probe. After a successful probe the runner
// is readmitted, and a single failure ejects it again.
func (h *Health) RecordProbe(now time.Time, ok bool) {
	if !h.ejected {
		return
	}
	if !ok {
		h.Eject(now)
		return
	}
	h.Readmit()
}

// Readmit ends the ejection. A single failure ejects the runner again.
func (h *Health) Readmit() {
	h.ejected = false
	h.probing = false
	h.failures = failuresToEject - 1
}

func ejectionTime(ejections int) time.Duration {
	d := minEjectionTime
	for range ejections {
		d = min(2*d, maxEjectionTime)
	}
	return d
}
