package pool

import (
	"slices"
	"time"

	"bronzestair/core/job"
)

// RunnerID identifies a runner under its registration. Each start of a runner begins a new
// incarnation, which lasts until the runner terminates and normally has an ID of its own.
// A runner may restart under the same ID; its incarnations then differ in Born.
type RunnerID string

// RunnerClock is a reading of a runner's monotonic clock.
type RunnerClock time.Duration

// Runner is a runner as it has registered itself.
type Runner struct {
	ID       RunnerID
	Address  string
	Zone     string
	Labels   []string
	Capacity job.Resources
	Draining bool
	// WarmUpRemaining is how much longer the runner is slow after its start.
	WarmUpRemaining time.Duration
	// Born is the start time of this incarnation, zero if not known.
	Born time.Time
}

// Rack returns the runner's rack, which is the last of its labels.
func (r *Runner) Rack() string {
	if len(r.Labels) == 0 {
		return ""
	}
	return r.Labels[len(r.Labels)-1]
}

// ClockReading pairs a reading of a runner's clock with a local time that is not
// before the reading, such as that at which the answer was received.
type ClockReading struct {
	Clock RunnerClock
	At    time.Time
}

// pendingEnd is an end (see EndedTask) that is handled but not yet acknowledged to the
// runner.
type pendingEnd struct {
	number int64
	job    *jobState
	// seq is the change of the job that must be stored before, 0 for none.
	seq uint64
}

// runnerState is the owner's view of a runner.
type runnerState struct {
	Runner
	// resolved is true once the runner has answered to this owner's fencing token and
	// all ends that it listed were handled.
	resolved bool
	// fenced is true once the runner has seen this owner's fencing token, so that a
	// previous owner can no longer acknowledge ends there.
	fenced bool
	// born is the start time of the current incarnation, zero if not known. All that
	// the runner says of itself and its runs holds for this incarnation only.
	born time.Time
	// doubted is true from an answer whose clock does not fit the current incarnation until a
	// poll has named it.
	doubted bool
	// incarnationSince is when the owner learnt of the current incarnation, zero if it
	// knows of no earlier one.
	incarnationSince time.Time
	clock            ClockReading
	// leaseEnds is when every task on the runner has certainly ended if the lease is
	// not extended and the clock reading is of the current incarnation. uncertainLease
	// bounds the leases for which the latter is not known.
	leaseEnds      time.Time
	uncertainLease uncertainLease
	// unansweredStarts holds the starts whose answer was lost, which may be carried out
	// late.
	unansweredStarts map[job.TaskID]unansweredStart
	tasks            map[job.TaskID]*task
	// tasksByID holds the tasks sorted by id. batchTasks counts the tasks that are not
	// persistent, bestEffortTasks the best-effort ones.
	tasksByID                   []*task
	batchTasks, bestEffortTasks int
	used                        job.Resources
	// unknownRuns maps tasks to the runs that the runner lists but should not run. They
	// are being stopped.
	unknownRuns map[job.TaskID]int
	pendingEnds []pendingEnd
	// handledEnd is the number of the last handled end, storedEnd that of the last one
	// that may be acknowledged, and ackedEnd that of the last one whose acknowledgment
	// was answered.
	handledEnd, storedEnd, ackedEnd int64
	// listedEnds is the number of ends in the last answer to a poll.
	listedEnds int

	// polling is true while a poll awaits its answer, polledAck is the number that it
	// acknowledges and polledAddress where it was sent. answeredAddress is where the runner
	// last answered a poll.
	polling bool
	// identityWanted is true if a poll is to tell whether the runner has restarted.
	identityWanted                 bool
	polledAck                      int64
	polledAddress, answeredAddress string
	nextPoll                       time.Time
	// nextAcknowledgment is when the runner may be polled before nextPoll to acknowledge
	// ends that were stored meanwhile, zero if it may not.
	nextAcknowledgment time.Time
	// failedCalls counts the unanswered calls since the last answer.
	failedCalls int
	lastAnswer  time.Time
	// firstListed is when the runner's registration was first read, missingSince when
	// it was found missing.
	firstListed, missingSince time.Time
	cordoned                  bool
	cordonedAt                time.Time
	// backoffUntil is when the runner may get tasks again after it refused a start.
	backoffUntil time.Time
	health       runnerHealth
	reservable
	// lastListed is when the runner last listed its tasks, unreachableSince when the
	// first call after that failed without an answer.
	lastListed, unreachableSince time.Time
}

func newRunnerState(r Runner) *runnerState {
	return &runnerState{
		Runner: r, born: r.Born, tasks: map[job.TaskID]*task{}, unknownRuns: map[job.TaskID]int{},
		unansweredStarts: map[job.TaskID]unansweredStart{},
	}
}

// clockAt returns a lower bound on the runner's clock at a local time.
func (r *runnerState) clockAt(now time.Time) RunnerClock {
	return r.clock.Clock + RunnerClock(float64(now.Sub(r.clock.At))*(1-clockDrift))
}

func (r *runnerState) updateClock(c ClockReading) {
	if c.Clock > 0 {
		r.clock = c
	}
}

// sortedTasks returns a copy of the tasks sorted by id, which callers may range over
// while they release tasks.
func (r *runnerState) sortedTasks() []*task { return slices.Clone(r.tasksByID) }

func (r *runnerState) free() job.Resources { return r.Capacity.Sub(r.used) }

// usable reports whether new tasks may be placed on the runner.
func (r *runnerState) usable(now time.Time) bool {
	return r.accepts(now) && r.withheld(now) == ""
}

// admits reports whether a usable runner may get the task in addition to those placed since.
func (r *runnerState) admits(now time.Time, t *task) bool {
	return t.step.spec.Persistent || r.health.admits(now, r.batchTasks)
}

// accepts reports whether the runner would accept new tasks, although it may be withheld.
func (r *runnerState) accepts(now time.Time) bool { return r.refusal(now) == "" }

// unreachable reports whether the runner has not answered for unreachableAfter.
func (r *runnerState) unreachable(now time.Time) bool {
	return r.failedCalls > 0 && now.Sub(r.lastAnswer) > unreachableAfter
}

func (r *runnerState) hasLabel(label string) bool { return slices.Contains(r.Labels, label) }

// release removes a task from the runner.
func (r *runnerState) release(t *task) {
	if r.tasks[t.id] != t {
		return
	}
	delete(r.tasks, t.id)
	if index, found := r.position(t); found {
		r.tasksByID = slices.Delete(r.tasksByID, index, index+1)
	}
	r.addCounts(t, -1)
	r.used = r.used.Sub(t.step.spec.Demand())
	t.job.usage.addAssigned(t.step.spec.Resources, -1)
	t.runner = nil
}

// position returns the index at which a task is or would be inserted in tasksByID.
func (r *runnerState) position(t *task) (int, bool) {
	return slices.BinarySearchFunc(r.tasksByID, t, func(a, b *task) int { return a.id.Compare(b.id) })
}

// addCounts adds n to the counters of the task's kinds.
func (r *runnerState) addCounts(t *task, n int) {
	if !t.step.spec.Persistent {
		r.batchTasks += n
	}
	if t.step.spec.BestEffort {
		r.bestEffortTasks += n
	}
}

// assign adds a task to the runner.
func (r *runnerState) assign(t *task) {
	r.tasks[t.id] = t
	index, _ := r.position(t)
	r.tasksByID = slices.Insert(r.tasksByID, index, t)
	r.addCounts(t, 1)
	r.used = r.used.Add(t.step.spec.Demand())
	t.job.usage.addAssigned(t.step.spec.Resources, 1)
	t.runner = r
	t.latestRun = RunRef{Run: t.run, Runner: r.ID}
}

// saved reports whether the change that the end caused is stored.
func (e *pendingEnd) saved() bool {
	return e.seq == 0 || e.job.savedSeq >= e.seq || e.job.closed
}

// unsavedEnds counts the ends that are not stored yet.
func (r *runnerState) unsavedEnds() int {
	n := 0
	for i := range r.pendingEnds {
		if !r.pendingEnds[i].saved() {
			n++
		}
	}
	return n
}

// requestSave marks the changes of unsaved ends as urgent, because the runner is being
// drained and can be removed only once they are stored.
func (r *runnerState) requestSave() {
	for i := range r.pendingEnds {
		if e := &r.pendingEnds[i]; !e.saved() {
			e.job.urgent = true
		}
	}
}

// acknowledge drops the pending ends whose changes are stored, up to the first that
// is not, and returns the number of the last end to acknowledge with the next poll, 0 for
// none. A number is only repeated after the runner has answered again: by its Born, the
// answer shows that the number is not one of a previous incarnation.
func (r *runnerState) acknowledge() int64 {
	n := 0
	for i := range r.pendingEnds {
		e := &r.pendingEnds[i]
		if !e.saved() {
			break
		}
		r.storedEnd = e.number
		n++
	}
	r.pendingEnds = r.pendingEnds[n:]
	if !r.fenced || r.failedCalls > 0 || r.storedEnd <= r.ackedEnd {
		return 0
	}
	return r.storedEnd
}

// canAcknowledge reports whether an end may be acknowledged.
func (r *runnerState) canAcknowledge() bool {
	return r.storedEnd > r.ackedEnd || len(r.pendingEnds) > 0 && r.pendingEnds[0].saved()
}

// acknowledgmentDue reports whether the runner is to be polled to acknowledge ends.
func (r *runnerState) acknowledgmentDue(now time.Time) bool {
	return !r.nextAcknowledgment.IsZero() && !now.Before(r.nextAcknowledgment) && r.canAcknowledge()
}

// apply implements Event.
func (e *RunnersListed) apply(p *Pool, now time.Time) {
	p.listed = true
	p.dispatchNeeded = true
	present := make(map[RunnerID]bool, len(e.Runners))
	for _, listed := range e.Runners {
		present[listed.ID] = true
		p.updateRunner(now, listed)
	}
	p.takeover.registrationsRead = true
	for _, r := range p.runnerOrder {
		id := r.ID
		if present[id] {
			continue
		}
		if r.missingSince.IsZero() {
			r.missingSince = now
		}
		if len(r.tasks) == 0 && len(r.unknownRuns) == 0 && !r.polling && r.leaseExpired(now) {
			p.dropRunner(id)
		}
	}
}

// apply implements Event.
func (e *RunnersCordoned) apply(p *Pool, now time.Time) {
	for _, r := range p.runnerOrder {
		id := r.ID
		if r.cordoned != e.Runners[id] {
			r.cordoned, r.cordonedAt = e.Runners[id], now
			r.requestSave()
			p.dispatchNeeded = true
		}
	}
}

// apply implements Event.
func (Ticked) apply(p *Pool, now time.Time) {
	p.dispatchNeeded, p.admission.due = true, true
	for _, r := range p.runnerOrder {
		id := r.ID
		if len(r.tasks) > 0 && r.leaseExpired(now) {
			p.expireLease(now, r)
		}
		if len(r.tasks) == 0 && r.leaseExpired(now) && !r.missingSince.IsZero() && !r.polling {
			p.dropRunner(id)
		}
	}
	p.retryStops(now)
	p.drainRunners(now)
	p.stopStalled(now)
	p.restartTailTasks(now)
	p.expireFailures(now)
	for _, r := range p.runnerOrder {
		p.throttleBestEffort(now, r)
	}
	p.startDueOccurrences(now)
}
