package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
)

// An incarnation is named by the runner's ID and its Born. The owner may learn of a new
// one from the registration or from the answer to any call, in any order. Calls that it
// sent before may still reach the new incarnation, with numbers of ends and expiries that
// belong to the previous one.

// incarnationProofAge is how long after its last answer a runner without failed calls is
// taken for the same incarnation. A busy runner answers a poll at least once in pollWait,
// and a restart breaks the connection of that poll.
const incarnationProofAge = pollWait + 600*time.Millisecond

// maxCallTime is how long a call takes at most until its answer counts as lost.
const maxCallTime = 1 * time.Second

// unansweredStart is a start without an answer.
type unansweredStart struct {
	run    int
	sentAt time.Time
}

// unansweredStartRetention is how long after it was sent an unanswered start may be
// carried out.
const unansweredStartRetention = 30 * time.Second

// recordUnansweredStart remembers a start without an answer and drops old ones.
func (r *runnerState) recordUnansweredStart(now time.Time, id job.TaskID, run int) {
	maps.DeleteFunc(r.unansweredStarts, func(_ job.TaskID, s unansweredStart) bool {
		return now.Sub(s.sentAt) > unansweredStartRetention
	})
	r.unansweredStarts[id] = unansweredStart{run: run, sentAt: now}
}

// uncertainLease bounds the leases granted while a restart of the runner may have gone
// unnoticed. An incarnation that reads its clock from zero grants them at its maximum.
type uncertainLease struct {
	grantedAt, ends time.Time
}

// grantLease extends leaseEnds for a new lease and returns the end of the lease on
// the runner's clock.
func (p *Pool) grantLease(now time.Time, r *runnerState, lease time.Duration) RunnerClock {
	r.leaseEnds = later(r.leaseEnds, now.Add(leaseBound(lease)))
	if r.failedCalls > 0 || now.Sub(r.lastAnswer) > incarnationProofAge {
		r.uncertainLease = uncertainLease{grantedAt: now, ends: now.Add(leaseBound(p.options.MaxLease))}
	}
	return r.clockAt(now) + RunnerClock(lease)
}

// leaseExpired reports whether all leases on the runner have certainly ended.
func (r *runnerState) leaseExpired(now time.Time) bool {
	return now.After(later(r.leaseEnds, r.uncertainLease.ends))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// answer is what the answer to a call tells of the runner.
type answer struct {
	result CallResult
	sent   time.Time
	clock  ClockReading
	born   time.Time
}

// recordCall updates a runner's reachability, clock and incarnation from the result of a
// call. It returns the result as it applies to the current incarnation:
// RefusedOtherIncarnation if a previous one has answered.
func (p *Pool) recordCall(now time.Time, r *runnerState, a answer) CallResult {
	switch a.result {
	case Withheld:
		return a.result
	case Unknown, NotSent:
		r.failedCalls++
		if r.unreachableSince.IsZero() {
			r.unreachableSince = now
		}
		return a.result
	case RefusedFence:
		p.stepDown("runner " + string(r.ID) + " has seen a higher fencing token")
		return a.result
	}
	if !p.identify(now, r, a) {
		return RefusedOtherIncarnation
	}
	r.failedCalls = 0
	r.lastAnswer = now
	r.updateClock(a.clock)
	if !r.doubted && !a.sent.Before(r.uncertainLease.grantedAt) {
		r.uncertainLease = uncertainLease{} // its grant has reached the incarnation it was meant for
	}
	return a.result
}

// identify compares the incarnation that has answered a call with the current one. It
// returns false if it is a previous one.
func (p *Pool) identify(now time.Time, r *runnerState, a answer) bool {
	switch {
	case a.born.IsZero():
		if r.clockRestarted(a) {
			p.doubtIncarnation(now, r, a.clock.Clock)
		}
	case r.born.IsZero():
		r.born, r.doubted = a.born, false
	case a.born.Equal(r.born):
		r.doubted = false
	case a.born.After(r.born) || !a.sent.Before(r.incarnationSince):
		// A call sent after the news of an incarnation cannot be answered by a previous
		// one. Born may then be earlier because the time of day was set back.
		p.beginIncarnation(now, r, a.born, "an answer")
	default:
		p.emit(&LogDecision{Runner: r.ID, Decision: "answerOfPreviousIncarnation", Reason: a.result.String(), DataAge: now.Sub(a.sent)})
		return false
	}
	return true
}

// clockRestarted reports whether an answer without Born shows a clock that is behind that
// of the current incarnation.
func (r *runnerState) clockRestarted(a answer) bool {
	if a.clock.Clock == 0 || r.clock.Clock == 0 || !a.sent.After(r.clock.At) {
		return false
	}
	return a.clock.Clock < r.clockAt(a.sent)-RunnerClock(clockSlack)
}

// doubtIncarnation stops placements on the runner and acknowledgments to it until the
// answer to a poll names its incarnation.
func (p *Pool) doubtIncarnation(now time.Time, r *runnerState, clock RunnerClock) {
	p.emit(&LogDecision{Runner: r.ID, Decision: "runnerDoubted", Reason: "its clock reads " + time.Duration(clock).String(), DataAge: now.Sub(r.lastAnswer)})
	r.doubted, r.resolved, r.fenced = true, false, false
	r.clock = ClockReading{}
	r.nextPoll = now
}

// beginIncarnation forgets all that previous incarnations have said. The tasks stay assigned
// until the new incarnation has listed its runs, as it may have carried out their starts, and
// as a registration may be another writer's.
func (p *Pool) beginIncarnation(now time.Time, r *runnerState, born time.Time, source string) {
	p.emit(&LogDecision{
		Runner: r.ID, Decision: "runnerRestarted", DataAge: now.Sub(r.lastAnswer),
		Reason: source + " names the incarnation of " + born.UTC().Format(time.RFC3339Nano) + " after that of " + r.born.UTC().Format(time.RFC3339Nano),
	})
	r.born, r.incarnationSince = born, now
	r.doubted, r.resolved, r.fenced = false, false, false
	r.clock = ClockReading{}
	r.pendingEnds = nil
	r.handledEnd, r.storedEnd, r.ackedEnd, r.polledAck = 0, 0, 0, 0
	r.listedEnds = 0
	clear(r.unknownRuns)
	r.health, r.backoffUntil = runnerHealth{}, time.Time{}
	r.nextPoll, r.nextAcknowledgment = now, time.Time{}
	for _, cached := range p.tickets {
		delete(cached.tickets, r.ID)
	}
	for _, t := range r.tasksByID {
		t.startedBeforeRestart = true
		t.stoppedAt = time.Time{}
	}
	// Calls up to now may have granted the new incarnation a lease by the previous clock.
	r.leaseEnds = later(r.leaseEnds, now.Add(leaseBound(p.options.MaxLease)+maxCallTime))
	r.uncertainLease = uncertainLease{}
	p.rejectUnansweredStarts(r)
	p.dispatchNeeded = true
}

// rejectUnansweredStarts makes a new incarnation reject the starts that were sent to
// previous ones, had no answer and were given up. Previous incarnations were ordered to
// stop these runs, which the new one does not know.
func (p *Pool) rejectUnansweredStarts(r *runnerState) {
	for _, id := range slices.SortedFunc(maps.Keys(r.unansweredStarts), job.TaskID.Compare) {
		run := r.unansweredStarts[id].run
		if t := r.tasks[id]; t == nil || t.run != run {
			p.emit(&StopTask{Runner: r.Runner, Task: id, Run: run, Fence: p.options.Fence})
		}
	}
}

// mayStartLate reports whether an order of the task's run to a previous incarnation may
// still be carried out by the current one. Its expiry has no meaning there.
func (t *task) mayStartLate() bool { return t.startedBeforeRestart && t.orderUnanswered }

// stopLateStarts stops the unlisted tasks that a late start may still bring to the runner.
func (p *Pool) stopLateStarts(now time.Time, r *runnerState, listed map[job.TaskID]bool) {
	for _, t := range r.sortedTasks() {
		if t.mayStartLate() && !listed[t.id] {
			p.stopTask(now, t, "its start may reach the runner after the restart")
		}
	}
}

// endedRunnerRetention is how long the registration of an ended runner is ignored. A
// registration normally expires after three heartbeats without a report, about 5 s.
const endedRunnerRetention = 10 * time.Second

// endedRunner is an incarnation that has terminated.
type endedRunner struct {
	born, endedAt time.Time
}

// hasEnded reports whether a registration is that of an incarnation that has terminated.
func (p *Pool) hasEnded(now time.Time, listed *Runner) bool {
	ended, ok := p.endedRunners[listed.ID]
	if !ok {
		return false
	}
	if now.Sub(ended.endedAt) > endedRunnerRetention || listed.Born.After(ended.born) {
		delete(p.endedRunners, listed.ID)
		return false
	}
	return true
}

// recordEnded remembers that a runner has terminated and drops what is older than the
// retention.
func (p *Pool) recordEnded(now time.Time, r *runnerState) {
	for id, ended := range p.endedRunners {
		if now.Sub(ended.endedAt) > endedRunnerRetention {
			delete(p.endedRunners, id)
		}
	}
	born := r.Born
	if r.born.After(born) {
		born = r.born
	}
	p.endedRunners[r.ID] = endedRunner{born: born, endedAt: now}
}

// updateRunner applies the registration of a runner.
func (p *Pool) updateRunner(now time.Time, listed Runner) {
	r := p.runners[listed.ID]
	if r == nil && p.hasEnded(now, &listed) {
		return
	}
	if r == nil {
		r = newRunnerState(listed)
		r.firstListed = now
		p.addRunner(r)
		p.awaitRunner(now, r.ID)
		return
	}
	r.missingSince = time.Time{}
	switch {
	case listed.Born.IsZero() || listed.Born.Equal(r.born):
	case r.born.IsZero():
		r.born = listed.Born
	case !listed.Born.Equal(r.Runner.Born) && (listed.Born.After(r.born) || r.born.Equal(r.Runner.Born)):
		p.beginIncarnation(now, r, listed.Born, "the registration")
	default:
		return // the registration of a previous incarnation, which an answer has shown
	}
	if !listed.Born.Equal(r.Runner.Born) {
		p.emit(&LogDecision{
			Runner: r.ID, Decision: "runnerRegistered", DataAge: now.Sub(r.incarnationSince),
			Reason: fmt.Sprintf("incarnation of %s with labels %v after %v", listed.Born.UTC().Format(time.RFC3339Nano), listed.Labels, r.Labels),
		})
	}
	r.Runner = listed
}

// apply implements Event.
func (e *RunnerEnded) apply(p *Pool, now time.Time) {
	r := p.runners[e.Runner]
	if r != nil && !e.Born.IsZero() && r.born.After(e.Born) {
		p.emit(&LogDecision{Runner: r.ID, Decision: "endOfPreviousIncarnation", Reason: "the runner has restarted since", DataAge: now.Sub(r.incarnationSince)})
		return
	}
	p.takeover.markResolved(e.Runner)
	if r == nil {
		return
	}
	p.unassignLost(now, r, "runnerEnded", func(*task) bool { return true })
	clear(r.unknownRuns)
	p.recordEnded(now, r)
	p.dropRunner(e.Runner)
}
