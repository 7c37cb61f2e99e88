package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/process"
)

// TestSized checks which of processor time and link bounds the calls.
func TestSized(t *testing.T) {
	cases := []struct {
		name          string
		size          process.Size
		holds, starts int
	}{
		{"nothing known", process.Size{}, DefaultHoldRate, DefaultStartsInFlight},
		{"little processor time", process.Size{Share: 0.192, Link: 10 * process.Megabit}, 384, 76},
		{"wide link", process.Size{Share: 0.8, Link: 200 * process.Megabit}, 1600, 320},
		{"small link", process.Size{Share: 0.8, Link: 4 * process.Megabit}, 333, 50},
		{"tiny link", process.Size{Share: 0.8, Link: process.Megabit / 1000}, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := Options{}.Sized(c.size)
			want(t, "calls a second", o.HoldRate, c.holds)
			want(t, "starts in flight", o.StartsInFlight, c.starts)
		})
	}
}

// TestSmallLinkStaysBelowTimeouts replays a turn of the grown Wrekin fleet with
// links of 4 Mbit/s (trial, quiet-1, seed 5): 85 runners and 1,000 starts a second,
// twice what the link carries. Starts that waited on it were answered after their
// timeout, stopped, sent again, and made the queue longer.
func TestSmallLinkStaysBelowTimeouts(t *testing.T) {
	const (
		jobs = 500
		turn = 4 * time.Second
	)
	w := newWorld(t, 5, 85, faults{})
	w.cores = 16000
	w.uplink.rate = 4 * process.Megabit
	w.pool.options = w.pool.options.Sized(process.Size{Share: 0.8, Link: w.uplink.rate})
	w.listRunners()
	spec := job.Spec{Steps: []job.Step{{
		Count: 8, Resources: job.Resources{CPU: 2000, Memory: 2100}, EstimatedRuntime: 640 * time.Millisecond,
	}}}
	for n := range jobs {
		w.after(time.Duration(n)*turn/jobs, func() { w.submit(n, spec) })
	}
	w.run(30 * time.Second)
	want(t, "calls without an answer in time", w.uplink.late, 0)
	want(t, "jobs that are finished", fmt.Sprint(len(w.finished)), fmt.Sprint(jobs))
}
