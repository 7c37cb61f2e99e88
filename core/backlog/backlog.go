// Package backlog decides which accepted jobs an entry keeps in memory. The jobs of all pools
// that the entry owns share one Budget, which follows from the memory of its instance.
//
// A job is charged for what it takes while its tasks wait; the tasks that are allocated are
// charged by the pool. The budget is divided by dynamic thresholds: an account, which is a queue
// and an organisation, may use at most as much as is free. So one account alone gets half of the
// budget, two get a third each, and the backlog of one leaves room for the others. A job that
// would take more than a largeJob-th of the room that its account has left does not fit either, so
// that large jobs are the first for which there is no room.
//
// A job that is stored and does not fit is parked: it stays in the store until there is room, and
// the entry knows only its id. Small new jobs that do not fit are stored and parked as well, up to
// a limit of their own; others are refused. While jobs of an account are parked, new ones do not
// overtake them unless there is room for both. Jobs.ShouldLoad tells when to load parked jobs.
//
// # Usage
//
//	budget := backlog.NewBudget(backlog.LimitFor(memory))
//	jobs := budget.Open()
//	defer jobs.Close()
//	done, ok := jobs.Admit(record, len(value))
//	if !ok {
//		return refuse(budget.RetryAfter(time.Now(), rand.Float64()))
//	}
//	defer done()
//	if err := store(record); err == nil && !jobs.Keep(record) {
//		park(record.ID)
//	}
package backlog

import (
	"sync"
	"time"

	"bronzestair/core/intake"
	"bronzestair/core/job"
)

// Costs in memory of a job, including garbage that is not collected yet.
const (
	// jobCost is a job without its steps and texts.
	jobCost = 2 * intake.KiB
	// stepCost is a step, and its state in an occurrence.
	stepCost intake.Bytes = 704
	// occurrenceStepCost is the state of a step in each further occurrence.
	occurrenceStepCost intake.Bytes = 384
	// taskCost is an allocated task, waitingTaskCost one that waits. It stands for the memory that
	// the tasks of a job will take, of which only a part is in use at a time.
	taskCost        intake.Bytes = 384
	waitingTaskCost intake.Bytes = 16
	// numberCost is the number of an earlier step.
	numberCost intake.Bytes = 8
	// copies is how often a new job is held in its encoding until it is stored: as received, in
	// a row and in a transaction.
	copies = 4
	// parkedCost is a job of which the entry only knows the id, here and in the pool.
	parkedCost intake.Bytes = 288
)

const (
	// memoryShare is the part of the instance's memory, as its divisor, for jobs.
	memoryShare = 4
	// minLimit lets the largest legal job fit on the smallest instances.
	minLimit = 8 * intake.MiB
	// unlimited applies if the memory of the instance is not known.
	unlimited = 1024 * intake.MiB
	// largeJob is the part of the room of an account, as its divisor, that one job may take.
	largeJob = 8

	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may return.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// releaseWindow is the time over which the rate of release is measured.
	releaseWindow = 5 * time.Second
)

// LimitFor returns the memory that jobs may take in a process with the given memory. Zero means
// that the settings name no limit.
func LimitFor(memory intake.Bytes) intake.Bytes {
	if memory <= 0 {
		return unlimited
	}
	return max(minLimit, memory/memoryShare)
}

// Cost returns what a job is charged while none of its tasks is allocated.
func Cost(record *job.Record) intake.Bytes {
	spec := &record.Spec
	cost := jobCost + intake.Bytes(len(spec.Payload)) + intake.Bytes(len(spec.Steps))*stepCost + intake.Bytes(spec.Tasks())*waitingTaskCost
	for i := range spec.Steps {
		s := &spec.Steps[i]
		cost += intake.Bytes(len(s.RequiredLabel)+len(s.DataRack)+len(s.Image)) + intake.Bytes(len(s.After))*numberCost
	}
	ahead := min(spec.Occurrences()-1, job.MaxSteps/max(1, len(spec.Steps)))
	return cost + intake.Bytes(ahead*len(spec.Steps))*occurrenceStepCost
}

// account is what a job counts for.
type account struct {
	queue        job.QueueName
	organisation job.Organisation
}

// usage is what an account is charged.
type usage struct {
	// jobs is the charge for jobs in memory, encodings for those that are being stored in order to
	// be kept, parked for parked jobs.
	jobs, encodings, parked intake.Bytes
}

func (u usage) plus(v usage) usage {
	return usage{u.jobs + v.jobs, u.encodings + v.encodings, u.parked + v.parked}
}

// Budget bounds the memory of the jobs that an entry keeps for all its pools. It is safe for
// concurrent use. Use NewBudget.
type Budget struct {
	mu       sync.Mutex
	limit    intake.Bytes
	used     intake.Bytes
	accounts map[account]usage
	// total sums up the accounts.
	total usage
	// parkedEncodings is the part of used for the encodings of new jobs that will be parked.
	parkedEncodings intake.Bytes
	// released is what was released since windowSince, rate what was released per second in the
	// window before.
	released    intake.Bytes
	windowSince time.Time
	rate        float64
}

// NewBudget returns a budget that is not in use.
func NewBudget(limit intake.Bytes) *Budget {
	return &Budget{limit: limit, accounts: map[account]usage{}}
}

// Limit returns the memory that jobs may take.
func (b *Budget) Limit() intake.Bytes { return b.limit }

// Used returns the memory in use.
func (b *Budget) Used() intake.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.total.parked
}

// RetryAfter estimates when there is room again for a job that was refused, from the rate at
// which jobs end. random, between 0 and 1, spreads the callers.
func (b *Budget) RetryAfter(now time.Time, random float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
	wait := maxRetryAfter
	if b.rate > 0 {
		// Half of the limit is what one account may have.
		missing := float64(max(0, 2*b.inUse()-b.limit))
		wait = min(wait, time.Duration(missing/b.rate*float64(time.Second)))
	}
	return max(minRetryAfter, time.Duration((0.5+random)*float64(wait)))
}

// roll ends the window for the rate of release if it is over. The caller holds the lock.
func (b *Budget) roll(now time.Time) {
	if age := now.Sub(b.windowSince); age >= releaseWindow {
		b.rate = float64(b.released) / age.Seconds()
		b.released, b.windowSince = 0, now
	}
}

// fits reports whether there is room. Any job fits if there is no other. The caller holds the
// lock.
func (b *Budget) fits(a account, cost intake.Bytes) bool {
	return b.used == 0 || cost*largeJob <= b.room(a)
}

// inUse returns the memory in use, of which parked jobs count only as much as they may be. More were
// stored already, and must not keep each other from being loaded. The caller holds the lock.
func (b *Budget) inUse() intake.Bytes { return b.used + min(b.total.parked, b.limit/parkedShare) }

// room returns what an account has left. The caller holds the lock.
func (b *Budget) room(a account) intake.Bytes {
	u := b.accounts[a]
	return b.limit - b.inUse() - u.jobs - u.encodings
}

// settledRoom is like room, but once the jobs that are being stored are stored. The caller holds
// the lock.
func (b *Budget) settledRoom(a account) intake.Bytes {
	return b.room(a) + b.accounts[a].encodings + b.total.encodings + b.parkedEncodings
}

// charge adds to the memory in use. The caller holds the lock.
func (b *Budget) charge(a account, u usage) {
	b.used += u.jobs + u.encodings
	b.total = b.total.plus(u)
	if sum := b.accounts[a].plus(u); sum != (usage{}) {
		b.accounts[a] = sum
	} else {
		delete(b.accounts, a)
	}
}
