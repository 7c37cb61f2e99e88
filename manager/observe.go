package manager

import (
	"context"
	"slices"
	"strings"
	"time"

	"bronzestair/core/pool"
)

// CallKind is a kind of call to a runner, as a label of metrics.
type CallKind string

// The kinds of calls to runners whose duration is measured. A poll is called a hold on
// the wire and in metrics.
const (
	CallStart CallKind = "start"
	CallStop  CallKind = "stop"
	CallPoll  CallKind = "hold"
)

const (
	// maxLoggedRunners bounds the runners named in one log line. Only pools of the
	// largest installations have more.
	maxLoggedRunners = 300
	// maxLoggedAwaited bounds the runners named in the log line of a recovery.
	maxLoggedAwaited = 20
)

// joinRunnerIDs sorts the ids and returns the first of them, up to the limit,
// separated by spaces.
func joinRunnerIDs(ids []pool.RunnerID, limit int) string {
	slices.Sort(ids)
	var b strings.Builder
	for i, id := range ids[:min(len(ids), limit)] {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(id))
	}
	return b.String()
}

// logStart logs the runners that a new owner knows.
func (o *poolOwner) logStart(runners *pool.RunnersListed, readAt time.Time) {
	attributes := []any{"pool", o.name, "epoch", o.tenure.Epoch, "fence", o.tenure.Fence, "previous", o.tenure.PreviousHolder}
	if readAt.IsZero() {
		o.m.logger.Info("owner begins", append(attributes, "registrations", "not read yet")...)
		return
	}
	ids := make([]pool.RunnerID, 0, len(runners.Runners))
	for _, r := range runners.Runners {
		ids = append(ids, r.ID)
	}
	o.m.logger.Info("owner begins", append(attributes,
		"runners", len(ids), "dataAge", time.Since(readAt), "known", joinRunnerIDs(ids, maxLoggedRunners))...)
}

// registrationStates returns for each registered runner whether its registration has
// lapsed. The caller holds the lock.
func (m *Manager) registrationStates() map[string]bool {
	out := make(map[string]bool, len(m.registrations))
	for name, r := range m.registrations {
		out[name] = !r.lapsedAt.IsZero()
	}
	return out
}

// logRegistrationChanges logs the registrations that were added, lapsed or removed.
func (m *Manager) logRegistrationChanges(before, after map[string]bool) {
	var added, lapsed, removed []pool.RunnerID
	for name, isLapsed := range after {
		wasLapsed, known := before[name]
		switch {
		case isLapsed && !wasLapsed:
			lapsed = append(lapsed, pool.RunnerID(name))
		case !isLapsed && (!known || wasLapsed):
			added = append(added, pool.RunnerID(name))
		}
	}
	for name := range before {
		if _, known := after[name]; !known {
			removed = append(removed, pool.RunnerID(name))
		}
	}
	if len(added)+len(lapsed)+len(removed) == 0 {
		return
	}
	m.logger.Info("registrations changed", "registered", len(after), "added", joinRunnerIDs(added, maxLoggedRunners),
		"lapsed", joinRunnerIDs(lapsed, maxLoggedRunners), "removed", joinRunnerIDs(removed, maxLoggedRunners))
}

// observe updates the gauges. It also logs, once, that a new owner has recovered: all
// runners have answered, or it no longer waits for the others.
func (o *poolOwner) observe(p *pool.Pool) {
	runners, tasks := p.Unreachable()
	o.m.options.Meter.SilentRunners(o.name, runners, tasks)
	o.observeOrganisations(time.Now(), p)
	if o.recovered {
		return
	}
	if o.recovered = p.Recovered(time.Now()); !o.recovered {
		o.awaited = p.UnresolvedRunners()
		return
	}
	unresolved := p.UnresolvedRunners()
	o.m.logger.Info("owner recovered", "pool", o.name, "epoch", o.tenure.Epoch, "after", time.Since(o.startedAt),
		"awaited", joinRunnerIDs(o.awaited, maxLoggedAwaited),
		"unresolved", len(unresolved), "unresolvedRunners", joinRunnerIDs(unresolved, maxLoggedAwaited))
}

// measureCall records the metrics of a call to a runner and returns its duration.
func (o *poolOwner) measureCall(kind CallKind, call pool.CallResult, sent time.Time) time.Duration {
	took := time.Since(sent)
	o.m.options.Meter.RunnerCalled(kind, call, took)
	return took
}

// logDuplicateCompletion counts and logs a task that two runs have executed, at least one
// of them to completion.
func (o *poolOwner) logDuplicateCompletion(e *pool.DuplicateCompletion) {
	o.m.options.Meter.DuplicateCompletion(o.name)
	o.m.logger.Warn("task was done twice", "pool", o.name, "job", e.Task.Job, "task", e.Task.String(),
		"run", e.Ended.Run, "runner", e.Ended.Runner, "otherRun", e.Other.Run, "otherRunner", e.Other.Runner,
		"otherDone", e.OtherDone, "endAgeMax", e.MaxEndAge)
}

// logRunnerReconnected logs that a runner answers again.
func (o *poolOwner) logRunnerReconnected(e *pool.RunnerReconnected) {
	o.m.logger.Info("runner answers again", "pool", o.name, "runner", e.Runner, "silent", e.UnreachableFor, "unheard", e.SinceLastList,
		"clock", time.Duration(e.Clock), "running", e.Running, "ended", e.Ended, "acknowledged", e.Acknowledged)
}

// logJobsLoaded logs that all stored jobs have been submitted to the reducer.
func (o *poolOwner) logJobsLoaded(stored int, startedAt time.Time) {
	o.m.logger.Info("jobs are loaded", "pool", o.name, "epoch", o.tenure.Epoch, "stored", stored,
		"took", time.Since(startedAt), "after", time.Since(o.startedAt))
}

// logFenced logs that no previous owner can acknowledge ended tasks any more.
func (o *poolOwner) logFenced(ctx context.Context) {
	if ctx.Err() == nil {
		o.m.logger.Info("owner is fenced", "pool", o.name, "epoch", o.tenure.Epoch, "after", time.Since(o.startedAt))
	}
}
