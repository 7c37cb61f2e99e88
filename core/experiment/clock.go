// Package experiment simulates a fleet of entries in virtual time.
//
// The entries run the reducer of package entry, as the daemon does; callers,
// runners and the links between entries are modelled. Nothing reads the machine's
// clock, so the same seed always gives the same results.
//
// # Usage
//
//	result := experiment.Run(experiment.Scenario{Seed: 1, Policy: experiment.Lending, Surge: 5})
package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs timers in the order of their times.
type clock struct {
	now          time.Time
	timers       timerHeap
	lastSequence uint64
}

// timer is an action at a point in virtual time. Timers for the same time run in
// the order in which they were scheduled.
type timer struct {
	at       time.Time
	sequence uint64
	action   func()
}

// after schedules f to run d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.timers, timer{at: c.now.Add(d), sequence: c.lastSequence, action: f})
}

// run runs all timers up to and including the end time and sets the clock to it.
func (c *clock) run(end time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.action()
	}
	c.now = end
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	t := old[n]
	*h = old[:n]
	return t
}
