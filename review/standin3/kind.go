package main

import (
	"flag"
	"fmt"
	"sync"
	"time"
)

var downTime = flag.Duration("down", 2*time.Second, "time for which the runners are down")

// playKind crashes the runners of one rack, which start again under their ids as another kind,
// while work units wait for the kind that they had.
func playKind(f *fleet, trouble bool) {
	time.Sleep(settleTime)
	c := newCaller(f, 1)
	pool := f.queues[0].pool
	f.record.mu.Lock()
	f.record.onStart = func(task string, s *startRecord) {
		if step, ok := f.record.steps(task); ok && step.Needs != "" && step.Needs != s.kind {
			f.record.violate("ROUTE %s needs %s: %v of kind %s", task, step.Needs, s, s.kind)
		}
	}
	f.record.mu.Unlock()
	var callers sync.WaitGroup
	go func() {
		time.Sleep(6 * time.Second)
		if !trouble {
			return
		}
		var rack []*runner
		for _, r := range f.liveRunners() {
			if r.pool == pool && (len(rack) == 0 || r.rack == rack[0].rack) {
				rack = append(rack, r)
			}
		}
		for _, r := range rack {
			r.crash()
		}
		time.Sleep(*downTime)
		for _, r := range rack {
			r.mu.Lock()
			r.kind = "b"
			r.mu.Unlock()
			r.begin(0)
		}
	}()
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		j := &jobRecord{
			id: fmt.Sprintf("%016x", c.random.Uint64()), queue: f.queues[0],
			steps: []stepBody{{Count: 12, CPU: 3800, MemMB: 256, EstRuntime: 900, Needs: "a"}},
		}
		seed := c.random.Uint64()
		callers.Go(func() { newCaller(f, seed).submit(j) })
	}
	callers.Wait()
	time.Sleep(5 * time.Second)
}

// steps returns the step of a task. The caller holds the lock.
func (r *record) steps(task string) (stepBody, bool) {
	var occurrence, step, index int
	j := r.jobs[jobOf(task)]
	if j == nil {
		return stepBody{}, false
	}
	if _, err := fmt.Sscanf(task[len(j.id):], ".%d.%d.%d", &occurrence, &step, &index); err != nil || step >= len(j.steps) {
		return stepBody{}, false
	}
	return j.steps[step], true
}
