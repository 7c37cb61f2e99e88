package manager

import (
	"sync"
	"time"

	"bronzestair/core/job"
)

// lostWriteTimeout is how long a write whose answer was lost may still take effect: the
// store may apply it seconds later, and this process retries it.
const lostWriteTimeout = 15 * time.Second

// uncertainJobs holds the jobs that may be stored or may still be stored by a write in
// flight. The zero value is empty.
type uncertainJobs struct {
	mu         sync.Mutex
	recordedAt map[job.ID]time.Time
	// inFlight counts the submissions of each job that have no result yet.
	inFlight map[job.ID]int
}

// begin records that a submission of a job begins. The returned function records its end.
func (u *uncertainJobs) begin(id job.ID) (end func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inFlight == nil {
		u.inFlight = map[job.ID]int{}
	}
	u.inFlight[id]++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.inFlight[id]--; u.inFlight[id] == 0 {
			delete(u.inFlight, id)
		}
	}
}

// has reports whether an earlier submission of a job may be stored or may still be.
func (u *uncertainJobs) has(now time.Time, id job.ID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, before := u.recordedAt[id]
	return u.inFlight[id] > 0 || before && now.Sub(at) < lostWriteTimeout
}

// reconcile records the result of one submission of a job and returns the result to
// report, given the earlier submissions: NotStored becomes MayBeStored while an earlier
// write may still take effect.
func (u *uncertainJobs) reconcile(now time.Time, id job.ID, result SubmitResult) SubmitResult {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, before := u.recordedAt[id]
	switch {
	case result == Stored || result == Forbidden:
		delete(u.recordedAt, id)
	case result == MayBeStored:
		u.expire(now)
		if u.recordedAt == nil {
			u.recordedAt = map[job.ID]time.Time{}
		}
		u.recordedAt[id] = now
	case before && now.Sub(at) < lostWriteTimeout:
		return MayBeStored
	}
	return result
}

// expire removes the jobs whose writes can no longer take effect.
func (u *uncertainJobs) expire(now time.Time) {
	for id, at := range u.recordedAt {
		if now.Sub(at) >= lostWriteTimeout {
			delete(u.recordedAt, id)
		}
	}
}
