package pool

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzestair/core/job"
)

// dispatch places as many ready tasks as fit, in the order of their jobs' ranks.
func (p *Pool) dispatch(now time.Time) {
	p.reviewReservations(now)
	p.beginCapReview(now)
	candidates := p.candidates(now)
	if len(candidates) == 0 {
		return
	}
	usable := p.usableRunners(now)
	largest := maxOpenRoom(now, usable)
	for _, j := range candidates {
		if p.startWindowFull() {
			return
		}
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				// In an overloaded pool most steps fit on no runner, so the scan of all
				// runners is skipped.
				// Persistent tasks and gangs are looked at all the same: they reserve room.
				reserves := step.spec.Persistent || step.spec.Gang
				if step.ready == 0 || (!reserves && !largest.HasRoomFor(step.spec.Demand())) || !p.mayStart(now, j, step) || p.waitsForCap(now, j, step) {
					continue
				}
				before := step.ready
				p.placeStep(now, j, step, usable)
				if step.ready < before {
					largest = maxOpenRoom(now, usable)
				}
			}
		}
	}
}

// startWindowFull reports whether as many starts await their answer as the window
// permits. A load peak may bring more tasks than a small entry can start. An answer that
// is then read too late counts as missing, and its task runs twice.
func (p *Pool) startWindowFull() bool { return p.startsBeyondWindow(0) }

// startsBeyondWindow reports whether the window is full once that many more tasks have started.
func (p *Pool) startsBeyondWindow(more int) bool {
	return float64(p.startsInFlight+more) >= p.startWindow.bound(p.options.MaxStartsInFlight)
}

// maxOpenRoom returns the largest open amount of each resource on any of the runners.
func maxOpenRoom(now time.Time, runners []*runnerState) job.Resources {
	var largest job.Resources
	for _, r := range runners {
		free := r.openRoom(now)
		largest.CPU = max(largest.CPU, free.CPU)
		largest.Memory = max(largest.Memory, free.Memory)
		largest.GPU = max(largest.GPU, free.GPU)
	}
	return largest
}

// usableRunners returns the runners on which tasks may be placed. If there are none, these are
// the withheld ones that are not about to end.
func (p *Pool) usableRunners(now time.Time) []*runnerState {
	var out, fallback []*runnerState
	for _, r := range p.runnerOrder {
		switch {
		case r.usable(now):
			out = append(out, r)
		case r.lastResort(now):
			fallback = append(fallback, r)
		}
	}
	if len(out) == 0 {
		return fallback
	}
	return out
}

// placeStep starts the ready tasks of a step as far as capacity permits.
func (p *Pool) placeStep(now time.Time, j *jobState, step *stepState, usable []*runnerState) {
	if !p.ensureTickets(now, j, step) {
		return
	}
	if step.spec.Gang {
		p.placeGang(now, step, usable)
		return
	}
	var placements placementLog
	defer func() { placements.flush(p, now, j, step) }()
	var scratch task
	for i := range step.spec.Count {
		t := step.peek(i, &scratch)
		if t.state != ready || now.Before(t.restartAt) {
			continue
		}
		if p.waitsForCap(now, j, step) {
			return
		}
		r := p.chooseRunner(now, t, usable)
		switch {
		case r != nil:
		case step.spec.Persistent:
			r = p.waitForRoom(now, t, usable)
		default:
			r = p.chooseOnlyPlace(now, t)
		}
		if r == nil {
			return
		}
		if p.startWindowFull() {
			return
		}
		if !r.identified(now, step.spec.RequiredLabel) {
			p.identifyRunners(now, step.spec.RequiredLabel, append(slices.Clip(usable), r))
			return
		}
		t = step.task(i)
		p.startTask(now, t, r, t.nextRun())
		placements.add(now, t, r)
	}
}

// placementLog collects the placements that one dispatch makes for a step, so that
// they take one log line.
type placementLog struct {
	text    strings.Builder
	dataAge time.Duration
}

func (l *placementLog) add(now time.Time, t *task, r *runnerState) {
	if l.text.Len() > 0 {
		l.text.WriteByte(' ')
	}
	l.text.WriteString(strconv.Itoa(t.id.Index))
	l.text.WriteByte('.')
	l.text.WriteString(strconv.Itoa(t.run))
	l.text.WriteByte('@')
	l.text.WriteString(string(r.ID))
	l.dataAge = max(l.dataAge, now.Sub(r.lastAnswer))
}

// flush emits the log line, which lists each task as index.run@runner.
func (l *placementLog) flush(p *Pool, now time.Time, j *jobState, step *stepState) {
	if l.text.Len() > 0 {
		p.emit(&LogDecision{
			Job: j.id(), Step: step.key(), Decision: "tasksPlaced",
			Reason: l.text.String(), DataAge: l.dataAge,
		})
	}
}

// startTask assigns a task to a runner and sends the start order.
func (p *Pool) startTask(now time.Time, t *task, r *runnerState, run int) {
	if res := t.step.reservation; res != nil {
		p.endReservation(now, res, "placed", 0)
	}
	t.addReady(-1)
	t.state = starting
	t.run = run
	t.resumed = t.checkpoint != ""
	t.progressAt = now
	r.assign(t)
	p.sendStart(now, t)
}

// chooseRunner returns the runner with the best score for a task, or nil if none
// is eligible.
func (p *Pool) chooseRunner(now time.Time, t *task, usable []*runnerState) *runnerState {
	var best *runnerState
	var bestScore placementScore
	for _, r := range usable {
		if p.obstacle(now, t, r) != "" {
			continue
		}
		s := p.score(t, r)
		if best == nil || s.compare(bestScore) < 0 {
			best, bestScore = r, s
		}
	}
	return best
}

// meetsConstraints checks a task's placement constraints other than resources.
func (p *Pool) meetsConstraints(t *task, r *runnerState) bool { return p.constraint(t, r) == "" }

// siblingsOn counts the tasks of the task's step on a runner.
func (p *Pool) siblingsOn(t *task, r *runnerState) int {
	n := 0
	for _, other := range r.tasksByID {
		if other.step == t.step {
			n++
		}
	}
	return n
}

// placementScore ranks runners for a task; the lowest is the best.
type placementScore struct {
	failedBefore   bool // the last failed run of the task was on this runner
	otherRack      bool // the data or the siblings are on another rack
	recentFailures int  // failures of the runner since its last success
	// wantedRack is true if others have their data on the runner's rack, and look-ahead is enabled.
	wantedRack bool
	// firstPersistent is true if the task would be the runner's first persistent one.
	firstPersistent bool
	warmUp          time.Duration // how much longer the runner is slow after its start
	freeCPU         job.MilliCPU  // free CPU after the placement, negated for persistent tasks
}

func (s placementScore) compare(o placementScore) int {
	return cmp.Or(
		compareBool(s.failedBefore, o.failedBefore),
		cmp.Compare(s.recentFailures, o.recentFailures),
		compareBool(s.otherRack, o.otherRack),
		compareBool(s.wantedRack, o.wantedRack),
		compareBool(s.firstPersistent, o.firstPersistent),
		cmp.Compare(s.warmUp, o.warmUp),
		cmp.Compare(s.freeCPU, o.freeCPU),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (p *Pool) score(t *task, r *runnerState) placementScore {
	spec := t.step.spec
	s := placementScore{
		failedBefore: t.lastFailedOn == r.ID, recentFailures: r.health.failures, warmUp: r.WarmUpRemaining,
		freeCPU: r.free().CPU - spec.Demand().CPU, wantedRack: p.takesWantedRoom(t, r),
	}
	if spec.DataRack != "" {
		s.otherRack = !r.hasLabel(spec.DataRack)
	} else if spec.SameRack {
		s.otherRack = !p.sharesRack(t, r)
	}
	if spec.Persistent {
		// A runner with a persistent task cannot be moved to another pool, so the
		// persistent tasks of different steps share runners, spread as evenly as possible.
		s.firstPersistent = len(r.tasks) == r.batchTasks
		s.freeCPU = -s.freeCPU
	}
	return s
}

// sharesRack reports whether no sibling of a task is assigned to another rack.
func (p *Pool) sharesRack(t *task, r *runnerState) bool {
	for sibling := range t.step.allocated() {
		if other := sibling.runner; other != nil && other.Rack() != r.Rack() {
			return false
		}
	}
	return true
}
