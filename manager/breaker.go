package manager

import (
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// breakerDelay is how long calls to a peer that has not answered are left out. A peer that
// is cut off stays so for seconds, and each call to it would use up a caller's time.
const breakerDelay = 1 * time.Second

// breakers are the circuit breakers for the calls to peers that callers wait for: after a
// call without an answer, further ones are not made for breakerDelay. The zero value is
// ready for use.
type breakers struct {
	mu sync.Mutex
	// openUntil holds, for each peer that has not answered, when it may be called again.
	openUntil map[string]time.Time
}

// open reports whether calls to a peer are to be left out now.
func (b *breakers) open(now time.Time, address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.openUntil[address])
}

// record records the result of a call to a peer.
func (b *breakers) record(now time.Time, address string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable:
		if b.openUntil == nil {
			b.openUntil = map[string]time.Time{}
		}
		b.openUntil[address] = now.Add(breakerDelay)
	default:
		delete(b.openUntil, address)
	}
}
