package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["restart"] = playRestart }

// playRestart restarts an idle runner under its id. The answer to the first look at
// the new life is lost.
func playRestart(l *ledger, trouble bool) ([]string, error) {
	bookings := newRoute("seats", 3)
	i, err := newInstallation(l, 8, 3, bookings)
	if i != nil {
		defer i.close()
	}
	if err != nil {
		return nil, err
	}
	if err := i.waitReady(); err != nil {
		return nil, err
	}
	units := step{Count: 12, CPU: 1000, MemMB: 256, EstRuntime: 300}
	for n := range 3 {
		id := fmt.Sprintf("aaaaaaaaaaaa%04d", n)
		if err := i.submit(i.entries[n%3], bookings, id, "ms=300 cpu=1000", units); err != nil {
			return nil, err
		}
		if err := i.waitState(i.entries[n%3], bookings, id, "completed", 10*time.Second); err != nil {
			return nil, err
		}
	}
	err = waitUntil("all runners idle", 10*time.Second, func() bool {
		for _, r := range i.runners {
			if !r.idle() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		victim := busiest(i.runners)
		var lost atomic.Bool
		victim.crash()
		time.Sleep(2 * time.Second)
		victim.lossy = func(path string) bool { return path == "/hold" && lost.CompareAndSwap(false, true) }
		if err := victim.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	for n := range 3 {
		id := fmt.Sprintf("bbbbbbbbbbbb%04d", n)
		if err := i.submit(i.entries[n%3], bookings, id, "ms=300 cpu=1000", units); err != nil {
			return nil, err
		}
	}
	for n := range 3 {
		if err := i.waitState(i.entries[n%3], bookings, fmt.Sprintf("bbbbbbbbbbbb%04d", n), "completed", 20*time.Second); err != nil {
			l.note("%v", err)
		}
	}
	return l.twice(), nil
}

// busiest returns the runner that has listed most ends.
func busiest(runners []*runner) *runner {
	best := runners[0]
	for _, r := range runners {
		if r.nextEnd > best.nextEnd {
			best = r
		}
	}
	return best
}
