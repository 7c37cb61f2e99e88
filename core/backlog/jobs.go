package backlog

import (
	"time"

	"bronzestair/core/intake"
	"bronzestair/core/job"
)

// Jobs holds what the jobs of one pool are charged. It is safe for concurrent use. Use
// Budget.Open.
type Jobs struct {
	budget  *Budget
	entries map[job.ID]*entry
	// parked holds the accounts that have parked jobs in this pool.
	parked map[account]*parkedAccount
	// working is the charge for allocated tasks.
	working intake.Bytes
	closed  bool
}

// Open returns the jobs of a pool, which has none yet.
func (b *Budget) Open() *Jobs {
	return &Jobs{budget: b, entries: map[job.ID]*entry{}, parked: map[account]*parkedAccount{}}
}

// entry is a job that is in memory, parked or being submitted.
type entry struct {
	account account
	cost    intake.Bytes
	// submissions counts those that have no result yet.
	submissions int
	// known is set from Keep until Drop.
	known  bool
	parked bool
}

// Admit charges a new job, whose encoding has the given length, until done is called. It returns
// false if there is neither room for the job nor for parking it. A job that is kept is admitted,
// as it takes no further memory.
func (j *Jobs) Admit(record *job.Record, encoded int) (done func(), ok bool) {
	b := j.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.closed {
		return nil, false
	}
	encodings := intake.Bytes(encoded) * copies
	a, cost := account{record.Queue, record.Organisation}, Cost(record)
	e := j.entries[record.ID]
	switch {
	case e != nil && !e.parked:
	case e != nil:
		if !b.mayStoreParked(encodings) {
			return nil, false
		}
	case !j.mustWait(a) && b.fits(a, cost+encodings):
		e = &entry{account: a, cost: cost}
		j.entries[record.ID] = e
		b.charge(a, usage{jobs: cost})
	case b.mayPark(a, cost, encodings):
		e = &entry{account: a}
		j.entries[record.ID] = e
		j.park(e)
	default:
		return nil, false
	}
	e.submissions++
	charge := func(encodings intake.Bytes) { b.charge(e.account, usage{encodings: encodings}) }
	if e.parked {
		charge = func(encodings intake.Bytes) {
			b.used += encodings
			b.parkedEncodings += encodings
		}
	}
	charge(encodings)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		charge(-encodings)
		e.submissions--
		j.release(record.ID, e)
	}, true
}

// Keep records that a job was stored, until Drop. It returns false if the job is parked.
func (j *Jobs) Keep(record *job.Record) bool {
	return j.keep(record, func(a account, cost intake.Bytes) bool { return !j.mustWait(a) && j.budget.fits(a, cost) })
}

// Load is like Keep for a job that was read from the store in the course of loading all of them.
func (j *Jobs) Load(record *job.Record) bool { return j.keep(record, j.budget.fits) }

// KeepAnyway is like Keep, but there is always room. It is for jobs of which tasks are running.
func (j *Jobs) KeepAnyway(record *job.Record) {
	j.keep(record, func(account, intake.Bytes) bool { return true })
}

func (j *Jobs) keep(record *job.Record, fits func(account, intake.Bytes) bool) bool {
	b := j.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.closed {
		return true // the pool's owner has ended and takes no jobs
	}
	a, cost := account{record.Queue, record.Organisation}, Cost(record)
	e := j.entries[record.ID]
	switch {
	case e != nil && !e.parked: // admitted, or kept
	case fits(a, cost):
		if e == nil {
			e = &entry{account: a}
			j.entries[record.ID] = e
		} else {
			j.unpark(e)
		}
		e.cost = cost
		b.charge(a, usage{jobs: cost})
	case e == nil:
		e = &entry{account: a}
		j.entries[record.ID] = e
		j.park(e)
	}
	e.known = true
	return !e.parked
}

// Has reports whether a job is kept.
func (j *Jobs) Has(id job.ID) bool {
	j.budget.mu.Lock()
	defer j.budget.mu.Unlock()
	e := j.entries[id]
	return e != nil && e.known && !e.parked
}

// Drop records that a job is neither kept nor parked any longer.
func (j *Jobs) Drop(id job.ID, now time.Time) {
	b := j.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := j.entries[id]; e != nil && e.known {
		e.known = false
		b.roll(now)
		b.released += e.cost
		j.release(id, e)
	}
}

// release takes back the charge of a job that is neither known nor submitted. The caller holds
// the lock.
func (j *Jobs) release(id job.ID, e *entry) {
	if e.known || e.submissions > 0 || j.entries[id] != e {
		return
	}
	delete(j.entries, id)
	if e.parked {
		j.unpark(e)
		return
	}
	j.budget.charge(e.account, usage{jobs: -e.cost})
}

// SetWorking replaces the charge for allocated tasks.
func (j *Jobs) SetWorking(tasks int) {
	b := j.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.closed {
		return
	}
	working := intake.Bytes(tasks) * taskCost
	b.used += working - j.working
	j.working = working
}

// Close takes back all charges of jobs that are not being submitted. Nothing is charged
// afterwards.
func (j *Jobs) Close() {
	b := j.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	j.closed = true
	b.used -= j.working
	j.working = 0
	for id, e := range j.entries {
		e.known = false
		j.release(id, e)
	}
}
