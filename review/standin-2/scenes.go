package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	runnerCPU    = 16000
	runnerMemory = 65536
	// A work unit that fails does so between minLife and maxLife after its start.
	minLife = 1 * time.Second
	maxLife = 10 * time.Second
	// waveDelay is how long services run before waves are sent.
	waveDelay                 = 3 * time.Second
	services, unitsPerService = 10, 6
	// shortJobs is the number of short submissions, of which the last ten come late.
	shortJobs = 60
	// readyTimeout is far above the 3 s that entries take to serve.
	readyTimeout = 25 * time.Second
)

// newDeployment starts three entries and a pool of runners, and waits until they serve.
func newDeployment(rec *record, runners int) (*world, error) {
	w, err := newWorld(rec, runners, runnerCPU, runnerMemory)
	if err != nil {
		return nil, err
	}
	if err := w.startEntries(3, program); err != nil {
		w.stop()
		return nil, err
	}
	if err := w.ready(readyTimeout); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

// crashes plays lasting submissions whose work units fail now and then, and are to be
// started again.
func crashes(rec *record, trouble bool) (verdict, error) {
	w, err := newDeployment(rec, 3)
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	// The work units of most services fail again and again, those of two only once.
	again := func(string, int) time.Duration { return minLife + rand.N(maxLife-minLife) }
	once := func(_ string, run int) time.Duration {
		if run > 1 {
			return 0
		}
		return 15*time.Second + rand.N(25*time.Second)
	}
	for n := range services {
		st := &step{Count: unitsPerService, CPU: 200, MemMB: 256, EstRuntime: 1000, Persistent: true}
		what := "service that crashes"
		fails := again
		if n < 2 {
			what, fails = "service that fails once", once
		}
		if trouble {
			st.fails = fails
		}
		w.submit(&submission{id: newID(), what: what, steps: []*step{st}}, 4)
	}
	watch := &idleWatch{world: w}
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		watch.lasting()
	}
	return watch.verdict(services * unitsPerService), nil
}

// reservation plays lasting submissions that fit beside no other one, and then short ones.
func reservation(rec *record, trouble bool) (verdict, error) {
	w, err := newDeployment(rec, 3)
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	w.submit(&submission{id: newID(), what: "service", steps: []*step{{Count: 3, CPU: 2000, MemMB: 8192, EstRuntime: 1000, Persistent: true, MaxPerSrv: 1}}}, 4)
	time.Sleep(2 * time.Second)
	short := func(n int) {
		for range n {
			w.submit(&submission{id: newID(), what: "short", steps: []*step{{Count: 2, CPU: 500, MemMB: 256, EstRuntime: 300, takes: 300 * time.Millisecond}}}, 4)
			time.Sleep(100 * time.Millisecond)
		}
	}
	short(shortJobs - 10)
	if trouble {
		for range 3 {
			w.submit(&submission{id: newID(), what: "service that fits nowhere", steps: []*step{{Count: 1, CPU: 2000, MemMB: 60000, EstRuntime: 1000, Persistent: true}}}, 4)
		}
	}
	short(10)
	ended := time.Now()
	rec.note("the traffic ends")
	watch := &idleWatch{world: w}
	for ; time.Since(ended) < finishTime+10*time.Second; time.Sleep(50 * time.Millisecond) {
		if time.Since(ended) >= finishTime {
			watch.waiting()
		}
	}
	counts := map[string]int{}
	for _, s := range w.accepted() {
		counts[s.what+" "+w.state(s)]++
	}
	rec.note("states at the end: %v", counts)
	return watch.verdict(shortJobs), nil
}

// waves plays three waves of upkeep at a time, each of a third of a pool, while lasting and
// short work goes on.
func waves(rec *record, trouble bool) (verdict, error) {
	const machines = 6
	w, err := newDeployment(rec, machines)
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	for n := range 2 {
		// One work unit of each service fails once, a second after the waves were sent.
		failing := fmt.Sprintf(".0.0.%d", 3-2*n)
		w.submit(&submission{id: newID(), what: "service", steps: []*step{{
			Count: machines, CPU: 1000, MemMB: 2048, EstRuntime: 1000, Persistent: true, MayMiss: 1, MaxPerSrv: 1,
			fails: func(unit string, run int) time.Duration {
				if run > 1 || !strings.HasSuffix(unit, failing) {
					return 0
				}
				return waveDelay + time.Second
			},
		}}}, 4)
	}
	time.Sleep(waveDelay)
	if trouble {
		for n := range 3 {
			w.sendWave(n+1, []string{w.machines[2*n].name, w.machines[2*n+1].name}, 25*time.Second, 1)
		}
	}
	watch := &idleWatch{world: w}
	began := time.Now()
	var ended time.Time
	submissions := 0
	for time.Since(began) < 60*time.Second {
		if time.Since(began) < 20*time.Second {
			st := &step{Count: 2, CPU: 500, MemMB: 256, EstRuntime: 300, takes: 300 * time.Millisecond}
			w.submit(&submission{id: newID(), what: "short", steps: []*step{st}}, 4)
			submissions++
			ended = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
		watch.lasting()
		if time.Since(ended) > finishTime {
			watch.waiting()
		}
	}
	for n := range 3 {
		rec.note("status/wave/%d: %s", n+1, w.store.value("status", fmt.Sprintf("wave/%d", n+1)))
	}
	return watch.verdict(2*machines + submissions), nil
}
