package manager

import (
	"sync"
	"time"
)

const (
	// partOutageThreshold is the time without a successful transaction after which a part that
	// fails counts as unavailable.
	partOutageThreshold = 400 * time.Millisecond
	// maxPartFailureTime is the time after which a failed transaction is a time-out. A store that
	// is slow causes these, too, and still stores most jobs.
	maxPartFailureTime = 500 * time.Millisecond
	// partRetryInterval is how long a part counts as unavailable after its last failed
	// transaction. After that, the next write finds out.
	partRetryInterval = 1 * time.Second
)

// partHealth tracks which parts of the store's tables do not take writes, as the store may
// lose some of them. The zero value knows of no failure.
type partHealth struct {
	mu     sync.Mutex
	failed map[string]partFailure
}

// partFailure is a series of failed transactions on a part.
type partFailure struct {
	first, last time.Time
}

// record records the result of a transaction on a part.
func (h *partHealth) record(now time.Time, part string, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !failed {
		delete(h.failed, part)
		return
	}
	if h.failed == nil {
		h.failed = map[string]partFailure{}
	}
	f, ok := h.failed[part]
	if !ok {
		f.first = now
	}
	f.last = now
	h.failed[part] = f
}

// unavailable reports whether a write to the part would probably fail.
func (h *partHealth) unavailable(now time.Time, part string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, ok := h.failed[part]
	return ok && f.last.Sub(f.first) >= partOutageThreshold && now.Sub(f.last) < partRetryInterval
}
