package backlog

import (
	"time"

	"bronzestair/core/intake"
)

const (
	// parkedShare is the part of the limit, as its divisor, for parked jobs.
	parkedShare = 3
	// maxNewParkedCost is the most that a new job may cost that is parked.
	maxNewParkedCost = 8 * intake.KiB
	// parkingShare is the part of the limit, as its divisor, for the encodings of new jobs that
	// will be parked.
	parkingShare = 8

	// overtakingShare is the part of the limit, as its divisor, that an account with parked jobs
	// has left when new ones may overtake them. A job of a largeJob-th of it fits beside them.
	overtakingShare = 8
	// loadShare and slowLoadShare are the parts of the limit, as their divisors, by which the room
	// of an account must grow until its parked jobs are loaded, at once or after slowLoadInterval.
	loadShare        = 16
	slowLoadShare    = 256
	slowLoadInterval = 5 * time.Second
)

// parkedAccount is an account with parked jobs.
type parkedAccount struct {
	jobs int
	// leastRoom is the least room of the account since its parked jobs were last loaded.
	leastRoom intake.Bytes
}

// mayPark reports whether a new job may be parked, which an account's jobs may be at most as much
// as there is room for others. The caller holds the lock.
func (b *Budget) mayPark(a account, cost, encodings intake.Bytes) bool {
	return cost <= maxNewParkedCost &&
		b.total.parked+b.accounts[a].parked+2*parkedCost <= b.limit/parkedShare &&
		b.mayStoreParked(encodings)
}

// mayStoreParked reports whether there is room for the encodings of a job that is, or will be,
// parked. The parked jobs do not count: jobs that were loaded before them may have used up the
// limit, and a small job must find room all the same. The caller holds the lock.
func (b *Budget) mayStoreParked(encodings intake.Bytes) bool {
	return b.used+encodings <= b.limit && b.parkedEncodings+encodings <= b.limit/parkingShare
}

// park parks a job. The caller holds the lock.
func (j *Jobs) park(e *entry) {
	e.parked = true
	j.budget.charge(e.account, usage{parked: parkedCost})
	p := j.parked[e.account]
	if p == nil {
		p = &parkedAccount{leastRoom: j.budget.settledRoom(e.account)}
		j.parked[e.account] = p
	}
	p.jobs++
}

// unpark takes back what park did. The caller holds the lock.
func (j *Jobs) unpark(e *entry) {
	e.parked = false
	j.budget.charge(e.account, usage{parked: -parkedCost})
	p := j.parked[e.account]
	if p.jobs--; p.jobs == 0 {
		delete(j.parked, e.account)
	}
}

// mustWait reports whether new jobs of an account are to wait for its parked ones. The caller
// holds the lock.
func (j *Jobs) mustWait(a account) bool {
	return j.parked[a] != nil && j.budget.room(a) < j.budget.limit/overtakingShare
}

// Parked returns the number of parked jobs.
func (j *Jobs) Parked() int {
	j.budget.mu.Lock()
	defer j.budget.mu.Unlock()
	n := 0
	for _, p := range j.parked {
		n += p.jobs
	}
	return n
}

// Loaded records that all jobs were loaded for which there is room.
func (j *Jobs) Loaded() {
	j.budget.mu.Lock()
	defer j.budget.mu.Unlock()
	for a, p := range j.parked {
		p.leastRoom = j.budget.settledRoom(a)
	}
}

// ShouldLoad reports whether an account with parked jobs has got room since the jobs were last
// loaded, which was that long ago.
func (j *Jobs) ShouldLoad(age time.Duration) bool {
	b := j.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	growth := b.limit / loadShare
	if age >= slowLoadInterval {
		growth = b.limit / slowLoadShare
	}
	for a, p := range j.parked {
		room := b.settledRoom(a)
		p.leastRoom = min(p.leastRoom, room)
		if room >= p.leastRoom+growth {
			return true
		}
	}
	return false
}
