package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// runnerLife is the state that a runner has from a start to its end.
type runnerLife struct {
	runner    *runner
	number    int
	born      time.Time
	clockBase time.Duration
	fence     uint64
	until     time.Duration
	running   map[string]*run
	ended     []endRecord
	nextEnd   int64
	lastRun   map[string]int
	changed   chan struct{}
}

func (l *runnerLife) name() string { return fmt.Sprintf("%s/%d", l.runner.id, l.number) }

func (l *runnerLife) clock() time.Duration { return l.clockBase + time.Since(l.born) }

// end ends a run. The caller holds the runner's lock.
func (l *runnerLife) end(run *run, how string) {
	if l.running[run.task] != run {
		return
	}
	delete(l.running, run.task)
	l.lastRun[run.task] = max(l.lastRun[run.task], run.run)
	l.ended = append(l.ended, endRecord{l.nextEnd, run, how})
	l.nextEnd++
	f := l.runner.fleet
	f.record.ended(run.task, run.startRecord, how)
	f.leaveGang(run, how == "done")
	close(l.changed)
	l.changed = make(chan struct{})
}

// lapse records that the lease has lapsed since the ends that are still listed.
func (l *runnerLife) lapse() {
	for _, e := range l.ended {
		e.run.lapsed = true
	}
}

func (l *runnerLife) extend(untilMS int64) {
	l.until = max(l.until, min(time.Duration(untilMS)*time.Millisecond, l.clock()+maxLease))
}

// start carries out a start. The caller holds the runner's lock, also below.
func (l *runnerLife) start(_ *http.Request, o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		l.runner.fleet.record.notef("runner %s refuses %s run %d by %s: %s", l.name(), o.Task, o.Run, o.entry, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if current := l.running[o.Task]; current != nil && current.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if time.Duration(o.UntilMS)*time.Millisecond <= l.clock() {
		return refuse("late")
	}
	l.extend(o.UntilMS)
	if o.Run <= l.lastRun[o.Task] || l.running[o.Task] != nil {
		return refuse("old")
	}
	step, ok := l.runner.fleet.step(o.Task)
	if !ok {
		return http.StatusBadRequest, map[string]any{}
	}
	used := step.CPU
	for _, other := range l.running {
		used += other.step.CPU
	}
	if used > capacity {
		return refuse("room")
	}
	begun := &run{task: o.Task, step: step, startRecord: &startRecord{
		kind: l.runner.kind, runner: l, entry: o.entry, run: o.Run, fence: o.Fence, at: time.Now(),
	}}
	l.running[o.Task] = begun
	l.runner.fleet.record.started(o.Task, begun.startRecord)
	if step.Gang {
		begun.gang = fmt.Sprintf("%s#%d", o.Task[:strings.LastIndexByte(o.Task, '.')], o.Run)
		l.runner.fleet.joinGang(begun)
	}
	return http.StatusOK, map[string]any{}
}

func (l *runnerLife) stop(_ *http.Request, o order) (int, map[string]any) {
	if current := l.running[o.Task]; current != nil && current.run <= o.Run && current.stoppedAt.IsZero() {
		current.stoppedAt = time.Now()
	}
	l.lastRun[o.Task] = max(l.lastRun[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

func (l *runnerLife) poll(request *http.Request, o order) (int, map[string]any) {
	for _, e := range l.ended {
		if e.number <= o.AckCursor {
			l.runner.fleet.record.acknowledge(e.run.task, e.run.startRecord)
		}
	}
	l.ended = slices.DeleteFunc(l.ended, func(e endRecord) bool { return e.number <= o.AckCursor })
	if o.UntilMS > 0 {
		l.extend(o.UntilMS)
	}
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(l.ended) == 0 && l.runner.current(l); {
		changed := l.changed
		l.runner.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-request.Context().Done():
			waiting = false
		case <-time.After(20 * time.Millisecond): // the life may have ended
		}
		l.runner.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range l.running {
		running = append(running, []any{run.task, run.run, "", run.percent(), run.step.CPU})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended, "born": l.born.UnixMilli()}
}

func (r *run) percent() int {
	switch {
	case !r.step.Persistent:
		return min(99, int(100*r.worked/max(1, r.step.takes())))
	case time.Since(r.at) < startUp:
		return 0
	}
	return 100
}
