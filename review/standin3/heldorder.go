package main

import (
	"flag"
	"fmt"
	"sync"
	"time"
)

// cutAfter is the time from the beginning of the wave to the cut.
var cutAfter = flag.Duration("cut-after", 5*time.Second, "time from the beginning of the wave to the cut")

const (
	// settleTime is the time for the entries to become owners.
	settleTime = 6 * time.Second
	// cutTime is how long the machine of the holder is cut off.
	cutTime = 9 * time.Second
)

// playHeldOrder cuts the machine that most recently sent an order for a machine off from all
// others while a wave is under way and demand goes from pool to pool.
func playHeldOrder(f *fleet, trouble bool) {
	time.Sleep(settleTime)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		f.loadByTurns(time.Now().Add(26 * time.Second))
	}()
	names := []string{}
	for n, m := range f.machines {
		if n%2 == 0 {
			names = append(names, m.name)
		}
	}
	f.store.write("op", "wave/7", map[string]any{"wave": 7, "machines": names, "duration_s": 26, "max_count": 10})
	f.record.notef("operator: wave 7 of %d machines, 26 s, 10 at once", len(names))
	time.Sleep(*cutAfter)
	if trouble {
		holder := f.holder()
		if holder == nil {
			fail(fmt.Errorf("no order was sent"))
		}
		f.record.notef("machine %s is cut off", holder.name)
		holder.gate.close()
		time.Sleep(cutTime)
		holder.gate.open()
		f.record.notef("machine %s is back", holder.name)
	}
	<-loaded
	time.Sleep(3 * time.Second)
}

// loadByTurns submits jobs: each queue in turn gets turnRate a second for turnLength, the others a
// twentieth of that.
func (f *fleet) loadByTurns(until time.Time) {
	const (
		turnLength = 4500 * time.Millisecond
		turnRate   = 10 // jobs a second
		others     = 20
	)
	var callers sync.WaitGroup
	began := time.Now()
	c := newCaller(f, 1)
	for n := 0; time.Now().Before(until); n++ {
		turn := int(time.Since(began)/turnLength) % len(f.queues)
		j := &jobRecord{id: fmt.Sprintf("%016x", c.random.Uint64()), queue: f.queues[turn], steps: []stepBody{{Count: 8, CPU: 1900, MemMB: 256, EstRuntime: 1300}}}
		if n%others == 0 {
			j.queue = f.queues[c.random.IntN(len(f.queues))]
		}
		seed := c.random.Uint64()
		callers.Go(func() { newCaller(f, seed).submit(j) })
		time.Sleep(time.Second / turnRate)
	}
	callers.Wait()
}

// holder returns the entry that sent the last order for a machine, or nil.
func (f *fleet) holder() *entry {
	f.record.mu.Lock()
	name := f.record.lastHolder
	f.record.mu.Unlock()
	for _, e := range f.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}
