package main

import (
	"fmt"
	"sync"
	"time"
)

// The doses of late orders: a share of lateShare for lateTime, carried out minLateness to
// maxLateness after they were sent.
const (
	lateShare   = 0.055
	lateTime    = 5500 * time.Millisecond
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// playLateAck lets runners carry some calls of /hold out late, and those of a rack restart under
// their ids meanwhile.
func playLateAck(f *fleet, trouble bool) {
	const (
		rounds   = 3
		downTime = 2 * time.Second
		pause    = 15 * time.Second
	)
	time.Sleep(settleTime)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		f.loadShort(time.Now().Add(rounds * (lateTime + pause)))
	}()
	time.Sleep(3 * time.Second)
	for range rounds {
		if trouble {
			rack := f.rackOf(f.queues[0].pool)
			for _, r := range f.liveRunners() {
				r.mu.Lock()
				r.lateUntil = time.Now().Add(lateTime)
				r.mu.Unlock()
			}
			f.record.notef("for %v, some calls of /hold are carried out late", lateTime)
			time.Sleep(lateTime)
			for _, r := range rack {
				r.crash()
			}
			time.Sleep(downTime)
			for _, r := range rack {
				r.begin(0)
			}
		}
		time.Sleep(pause - downTime)
	}
	<-loaded
	time.Sleep(3 * time.Second)
}

// rackOf returns the runners of the largest rack of a pool.
func (f *fleet) rackOf(pool string) []*runner {
	racks := map[string][]*runner{}
	var largest []*runner
	for _, r := range f.liveRunners() {
		if r.pool != pool {
			continue
		}
		racks[r.rack] = append(racks[r.rack], r)
		if len(racks[r.rack]) > len(largest) {
			largest = racks[r.rack]
		}
	}
	return largest
}

// loadShort submits jobs of short work units to the first queue.
func (f *fleet) loadShort(until time.Time) {
	var callers sync.WaitGroup
	c := newCaller(f, 1)
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		j := &jobRecord{
			id: fmt.Sprintf("%016x", c.random.Uint64()), queue: f.queues[0],
			steps: []stepBody{{Count: 8, CPU: 1600, MemMB: 64, EstRuntime: 120}},
		}
		seed := c.random.Uint64()
		callers.Go(func() { newCaller(f, seed).submit(j) })
	}
	callers.Wait()
}
