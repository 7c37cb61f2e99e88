package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// arrivingJob returns a job of one core-second, accepted at the given time.
func arrivingJob(accepted time.Time) *jobState {
	spec := job.Spec{Steps: []job.Step{{Count: 1, Resources: job.Resources{CPU: 1000}, EstimatedRuntime: time.Second}}}
	return &jobState{record: &job.Record{Spec: spec, Accepted: accepted}, runtimes: &runtimes{}}
}

// TestArrivalRateFollowsLoadPeak simulates a load that doubles every second. Without
// the forecast, a pool would request the capacity that it needed half a second
// earlier.
func TestArrivalRateFollowsLoadPeak(t *testing.T) {
	var a arrivals
	now := time.Unix(1_000_000, 0)
	j := arrivingJob(time.Time{})
	perSecond := 10.0
	for range 30 {
		for range int(perSecond / 10) {
			a.add(now, j)
		}
		now = now.Add(100 * time.Millisecond)
		perSecond *= 1.0718 // doubles in 10 steps of 100 ms
	}
	if got, minRate := float64(a.rate(now))/1000, 0.75*perSecond; got < minRate {
		t.Errorf("rate = %.0f cores, want at least %.0f at an arrival rate of %.0f", got, minRate, perSecond)
	}
}

// TestSteadyArrivalsAreNotExtrapolated simulates few large jobs at a steady mean rate.
// Their random variation must not be mistaken for a rising load.
func TestSteadyArrivalsAreNotExtrapolated(t *testing.T) {
	const (
		perSecond = 8.0
		maxRatio  = 1.5 // of the mean forecast to the actual rate; instances beyond it are idle
		jobs      = 4000
	)
	sim := newSimulation(t, 11, 0, faults{})
	var a arrivals
	j := arrivingJob(time.Time{})
	now := time.Unix(1_000_000, 0)
	sum, samples := 0.0, 0.0
	next := now
	for range jobs {
		next = next.Add(time.Duration(sim.random.ExpFloat64() / perSecond * float64(time.Second)))
		for ; now.Before(next); now = now.Add(100 * time.Millisecond) {
			sum += float64(a.rate(now)) / 1000
			samples++
		}
		a.add(next, j)
	}
	if got := sum / samples; got > maxRatio*perSecond {
		t.Errorf("mean rate = %.1f cores, want at most %.1f", got, maxRatio*perSecond)
	}
}

// TestRuntimeFactorFollowsObservedRuntimes simulates estimates that are three times too
// long. The factor must scale the requested capacity down to the actual run times.
func TestRuntimeFactorFollowsObservedRuntimes(t *testing.T) {
	var r runtimes
	for range 200 {
		r.record(3*time.Second, time.Second)
	}
	if f := r.factor(); f < 0.3 || f > 0.4 {
		t.Errorf("factor = %.2f, want 0.3 to 0.4", f)
	}
	var empty runtimes
	if f := empty.factor(); f != 1 {
		t.Errorf("factor = %v without observed runtimes, want 1", f)
	}
}

// TestDelayedJobsAreNoLoadPeak replays the end of a disruption of the store in which the
// steady arrivals of two seconds are stored at the same moment. On the large Skywatch site
// (trouble-1) a forecast of 30,000 cores followed, and moves of idle instances.
func TestDelayedJobsAreNoLoadPeak(t *testing.T) {
	const perSecond = 50
	now := time.Unix(1_000_000, 0)
	var a arrivals
	for n := range 2 * perSecond {
		accepted := now.Add(-time.Duration(n) * time.Second / perSecond)
		a.add(now, arrivingJob(accepted))
	}
	const cores = perSecond // each job has a core-second of work
	if rate := a.rate(now); rate < 900*cores || rate > 1100*cores {
		t.Errorf("forecast of %d millicores, want about %d", rate, 1000*cores)
	}
}

// TestDisruptionIsNoLoadPeak guards against forecasts of many times the demand after a takeover
// or an outage of the store: jobs arrive from the moment on from which they are seen, which looked
// like a growth from zero, and the pool kept instances that others needed.
func TestDisruptionIsNoLoadPeak(t *testing.T) {
	const perSecond = 40.0
	for _, c := range []struct {
		name  string
		begin func(*harness)
	}{
		{"takeover", func(*harness) {}},
		{"return of the store", func(h *harness) {
			h.now = h.now.Add(10 * time.Second)
			h.send(StoreReturned{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{Lookahead: LookaheadOn})
			c.begin(h)
			j := arrivingJob(time.Time{})
			for range int(perSecond) {
				h.pool.arrivals.add(h.now, j)
				h.now = h.now.Add(time.Second / perSecond)
			}
			if got := float64(h.pool.arrivals.rate(h.now)) / 1000; got > perSecond {
				t.Errorf("rate = %.0f cores, want at most %.0f", got, perSecond)
			}
		})
	}
}
