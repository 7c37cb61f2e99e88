package main

import (
	"fmt"
	"time"
)

// Bounds of rule LOST for work that nothing is done for.
const (
	// idleTime is how long a submission may have nothing running while it could.
	idleTime = 3 * time.Second
	// restartTime is how long after its last run a work unit that lasts is not judged.
	restartTime = 6 * time.Second
	// finishTime is how long after the end of the traffic other submissions are judged.
	finishTime = 14 * time.Second
)

// idleWatch finds submissions and work units for which nothing runs although there is room.
type idleWatch struct {
	world *world
	// since is when each was first found idle in a row, by its name.
	since map[string]time.Time
	// broken holds those for which the rule was broken, first says how it was first.
	broken map[string]bool
	first  string
}

// roomy reports whether two work units of a step fit on one runner, and under half of the
// service's processors and memory are in use.
func (w *world) roomy(s *step) bool {
	twice := false
	var cpu, memory, usedCPU, usedMemory int
	for _, m := range w.machines {
		r := m.runner
		r.mu.Lock()
		c, mem := r.used()
		r.mu.Unlock()
		twice = twice || r.cpu-c >= 2*s.CPU && r.memory-mem >= 2*s.MemMB
		cpu, memory, usedCPU, usedMemory = cpu+r.cpu, memory+r.memory, usedCPU+c, usedMemory+mem
	}
	return twice && 2*usedCPU < cpu && 2*usedMemory < memory
}

// observe records whether something named is idle now, and that the rule is broken if it
// has been for idleTime.
func (i *idleWatch) observe(name string, idle bool, text string) {
	if i.since == nil {
		i.since, i.broken = map[string]time.Time{}, map[string]bool{}
	}
	switch {
	case !idle:
		delete(i.since, name)
	case i.since[name].IsZero():
		i.since[name] = time.Now()
	case time.Since(i.since[name]) > idleTime && !i.broken[name]:
		i.broken[name] = true
		i.world.record.note("LOST: %s", text)
		if i.first == "" {
			i.first = "LOST: " + text
		}
	}
}

// lasting judges the work units that last.
func (i *idleWatch) lasting() {
	for _, s := range i.world.accepted() {
		for _, unit := range s.units() {
			st := i.world.step(unit)
			if !st.Persistent {
				continue
			}
			rec := i.world.record.of(unit)
			idle := rec.active == 0 && !rec.lastEnd.IsZero() && time.Since(rec.lastEnd) > restartTime && i.world.roomy(st)
			i.observe(unit, idle, fmt.Sprintf("work unit %s (%s) has had nothing running for %v, with room for two on one runner and under half of the service in use",
				unit, s.what, time.Since(rec.lastEnd).Round(10*time.Millisecond)))
		}
	}
}

// waiting judges the submissions that do not last. It is to be called from finishTime after
// the end of the traffic.
func (i *idleWatch) waiting() {
	for _, s := range i.world.accepted() {
		active, turn := 0, (*step)(nil)
		for _, unit := range s.units() {
			rec := i.world.record.of(unit)
			active += rec.active
			if st := i.world.step(unit); !rec.done && !st.Persistent {
				turn = st // no step of the scenes waits for another one
			}
		}
		idle := turn != nil && active == 0 && i.world.roomy(turn)
		i.observe(s.id, idle, fmt.Sprintf("submission %s (%s), accepted %v ago, has had nothing running for %v, with room for two of its work units on one runner and under half of the service in use",
			s.id, s.what, time.Since(s.acceptedAt).Round(10*time.Millisecond), idleTime))
	}
}

// verdict returns the result for a number of work units or submissions that were judged.
func (i *idleWatch) verdict(judged int) verdict {
	if i.first == "" {
		return verdict{}
	}
	return verdict{fmt.Sprintf("%s; so it was for %d of %d", i.first, len(i.broken), judged)}
}
