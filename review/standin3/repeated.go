package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// playRepeated kills the process that places the work units of a large repeated submission shortly
// after its second occurrence has begun.
func playRepeated(f *fleet, trouble bool) {
	const (
		width     = 5100 // work units in each occurrence
		killDelay = 400 * time.Millisecond
	)
	time.Sleep(settleTime)
	c := newCaller(f, 1)
	j := &jobRecord{
		id: fmt.Sprintf("%016x", c.random.Uint64()), queue: f.queues[0], repeat: 2, interval: time.Second,
		steps: []stepBody{{Count: width, CPU: 100, MemMB: 16, EstRuntime: 50}},
	}
	begun := make(chan string, 1)
	f.record.mu.Lock()
	f.record.onStart = func(task string, s *startRecord) {
		if strings.HasPrefix(task, j.id+".1.") {
			select {
			case begun <- s.entry:
			default:
			}
		}
	}
	f.record.mu.Unlock()
	if !c.submit(j) {
		fail(fmt.Errorf("the submission is not accepted"))
	}
	var owner string
	select {
	case owner = <-begun:
	case <-time.After(60 * time.Second):
		fail(fmt.Errorf("the second occurrence has not begun"))
	}
	if trouble {
		time.Sleep(killDelay)
		for _, e := range f.entries {
			if e.name == owner {
				f.signal(e, syscall.SIGKILL)
				time.Sleep(time.Second)
				f.start(e)
			}
		}
	}
	for deadline := time.Now().Add(35 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if status, state := c.state(j); status == 200 && state == "completed" {
			f.record.notef("the submission is shown as completed")
			break
		}
	}
}
