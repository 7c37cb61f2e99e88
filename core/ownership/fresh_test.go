package ownership

import (
	"testing"
	"time"
)

// TestNothingIsTakenOverWithoutAFreshRead replays the day restarts-in-outage on the
// grown Skywatch fleet: the owner went on through an outage of the store, and a
// takeover sent into it was carried out as the store returned.
func TestNothingIsTakenOverWithoutAFreshRead(t *testing.T) {
	released := row("entry-2", 9)
	released.Claim.Released = true
	cases := []struct {
		name string
		// read is what is read until the outage, or nil if nothing ever was.
		read []Row
	}{
		{"claim of a peer", []Row{row("entry-2", 9)}},
		{"claim of a former life", []Row{row("entry-1", 9)}},
		{"released claim", []Row{released}},
		{"no claim", []Row{}},
		{"no read", nil},
	}
	const (
		interval = 600 * time.Millisecond
		outage   = 8 * time.Second
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := New("entry-1", "a:1", "y", start)
			now := start
			for n := 0; c.read != nil && n < 3; n++ {
				now = now.Add(interval)
				tracker.Observe(now, c.read)
			}
			var taken []time.Duration
			for d := interval + 200*time.Millisecond; d < outage; d += 50 * time.Millisecond {
				if writes := tracker.Plan(now.Add(d), []Shard{shard}); len(writes) > 0 {
					taken = append(taken, d)
				}
			}
			want(t, "takeovers into the outage", taken, []time.Duration(nil))
		})
	}
}

// TestAbandonedAsOfARead checks that time in which the store was not read does not
// count: the owner may have renewed its claim meanwhile.
func TestAbandonedAsOfARead(t *testing.T) {
	tracker := New("entry-1", "a:1", "y", start)
	last := start
	for ; last.Sub(start) < Term-200*time.Millisecond; last = last.Add(100 * time.Millisecond) {
		tracker.Observe(last, []Row{row("entry-2", 9)})
	}
	for d := time.Duration(0); d < time.Second; d += 50 * time.Millisecond {
		want(t, "writes", len(tracker.Plan(last.Add(d), []Shard{shard})), 0)
	}
}
