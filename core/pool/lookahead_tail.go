package pool

import (
	"fmt"
	"slices"
	"time"
)

// Restarts of tasks that run much longer than the others of their step.
const (
	// maxTypicalRuntimes is how many run times of a step are remembered.
	maxTypicalRuntimes = 32
	// minTypicalRuntimes is how many tasks a task is compared with at least.
	minTypicalRuntimes = 2
	// overdueFactor is how many times the typical run time a task must have run if its progress
	// does not show that it is slow. A task takes twice as long on a rack without its data.
	overdueFactor = 2.2
	// slowFactor is how many times the typical run time a task must need by its progress.
	slowFactor = 3
	// minProgressTime and minProgressPercent are what must have passed and be done before
	// the progress of a run shows its length.
	minProgressTime    = 300 * time.Millisecond
	minProgressPercent = 2
	// progressLag is how old the progress may be that a runner lists: without it, tasks that began
	// shortly before the listed time looked slow.
	progressLag = 250 * time.Millisecond
	// minTailTime is the least typical run time of a step whose tasks are restarted: below it,
	// the stop and the list that confirms it take as long as a run.
	minTailTime = 300 * time.Millisecond
	// restartGain is how many times the typical run time a task must still need. A restart
	// takes that time once, and the stop comes before it.
	restartGain = 1.5
)

// typicalRuntimes holds the run times of the first completed tasks of a step in order. The zero
// value has none.
type typicalRuntimes []time.Duration

// record adds the run time of a completed task.
func (r *typicalRuntimes) record(actual time.Duration) {
	if len(*r) < maxTypicalRuntimes {
		index, _ := slices.BinarySearch(*r, actual)
		*r = slices.Insert(*r, index, actual)
	}
}

// restartTailTasks stops the tasks of speculative steps that run much longer than the others of
// their step, once each, if another runner has room: a small part of the tasks takes several
// times as long as the others. The task starts elsewhere once its runner has listed the end of
// the run, so that no two runs of it exist at a time. If the run completes before the stop, that
// counts.
//
// Jobs of a previous owner are left alone, as it is not known when their runs began.
func (p *Pool) restartTailTasks(now time.Time) {
	if !p.looksAhead() {
		return
	}
	var usable []*runnerState
	for _, j := range p.jobOrder {
		if !j.started || j.inherited || j.outcome != "" {
			continue
		}
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if step.restartsTail() {
					usable = p.restartTailOf(now, step, usable)
				}
			}
		}
	}
}

// restartsTail reports whether tasks of the step may be restarted, and some may be running.
func (s *stepState) restartsTail() bool {
	spec := s.spec
	return spec.Speculative && s.unblocked && s.remaining > s.ready && !spec.Gang && !spec.Persistent && !spec.BestEffort
}

// restartTailOf restarts the tail of a step. It returns the usable runners, which it lists if the
// caller has not done so.
func (p *Pool) restartTailOf(now time.Time, step *stepState, usable []*runnerState) []*runnerState {
	typical := step.typicalRuntime()
	if typical < minTailTime {
		return usable
	}
	for t := range step.allocated() {
		if !t.inTail(now, typical) {
			continue
		}
		if usable == nil {
			usable = p.usableRunners(now)
		}
		r := t.runner
		if other := p.chooseRunner(now, t, usable); other == nil || other == r {
			continue
		}
		t.tailRestarted = true
		t.lastFailedOn = r.ID // so that it starts elsewhere
		p.stopTask(now, t, fmt.Sprintf("tail of its step: has run for %v, %d %% done %v ago, others take %v",
			now.Sub(t.confirmedAt), t.progressPercent, now.Sub(t.progressAt), typical))
	}
	return usable
}

// typicalRuntime returns the median run time of the step's completed tasks or, as long as there are
// too few, of those that the progress of the running ones leads to expect. It returns 0 if it is
// not known.
func (s *stepState) typicalRuntime() time.Duration {
	if n := len(s.typical); n >= minTypicalRuntimes {
		return s.typical[n/2]
	}
	var buffer [maxTypicalRuntimes]time.Duration
	projected := buffer[:0]
	for t := range s.allocated() {
		if d := t.projectedRuntime(0); d > 0 && len(projected) < maxTypicalRuntimes {
			projected = append(projected, d)
		}
	}
	if len(projected) <= minTypicalRuntimes {
		return 0
	}
	slices.Sort(projected)
	return projected[len(projected)/2]
}

// projectedRuntime returns the run time that the listed progress of a running task leads to
// expect if it is as old as given, or 0 if it is not known.
func (t *task) projectedRuntime(age time.Duration) time.Duration {
	ran := t.progressAt.Sub(t.confirmedAt)
	if t.state != running || t.resumed || t.progressPercent < minProgressPercent || ran < minProgressTime {
		return 0
	}
	return (ran - age) * 100 / time.Duration(t.progressPercent)
}

// inTail reports whether a running task is much slower than is typical, and would end sooner
// if it were restarted. A task with a checkpoint is left alone.
func (t *task) inTail(now time.Time, typical time.Duration) bool {
	if t.state != running || t.tailRestarted || t.resumed || t.checkpoint != "" || now.Sub(t.runner.lastAnswer) > unreachableAfter {
		return false
	}
	if projected := t.projectedRuntime(progressLag); projected > 0 {
		remaining := t.confirmedAt.Add(projected).Sub(now)
		return float64(projected) > slowFactor*float64(typical) && float64(remaining) > restartGain*float64(typical)
	}
	return float64(now.Sub(t.confirmedAt)) > overdueFactor*float64(typical)
}
