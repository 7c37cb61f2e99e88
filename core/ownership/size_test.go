package ownership

import (
	"encoding/json"
	"testing"
	"time"

	"bronzestair/core/process"
)

// TestWiderLinkTakesOverFirst replays a grown Wrekin fleet whose links differ: an
// entry whose link is full owned a pool while wider ones idled.
func TestWiderLinkTakesOverFirst(t *testing.T) {
	free := row("entry-9", 9)
	free.Claim.Released = true
	delay := func(size process.Size) time.Duration {
		tracker := New("entry-1", "a:1", "y", start)
		tracker.Size = size
		return takesOver(tracker, free)
	}
	wide := delay(process.Size{Share: 0.8, Link: 200 * process.Megabit})
	narrow := delay(process.Size{Share: 0.8, Link: 4 * process.Megabit})
	small := delay(process.Size{Share: 0.192, Link: 4 * process.Megabit})
	if narrow-wide < spreadDelay {
		t.Errorf("process with the wider link takes over after %v, other after %v", wide, narrow)
	}
	if small <= narrow {
		t.Errorf("of equal links, more processor time takes over after %v, less after %v", narrow, small)
	}
}

// TestWiderLinkAsksNarrowHolder checks that the scarcer of processor time and link counts.
func TestWiderLinkAsksNarrowHolder(t *testing.T) {
	narrow := process.Size{Share: 0.8, Link: 4 * process.Megabit}
	cases := []struct {
		name   string
		size   process.Size
		holder process.Size
		want   string
	}{
		{"wide link of narrow", process.Size{Share: 0.8, Link: 200 * process.Megabit}, narrow, "b:9"},
		{"equal", narrow, narrow, ""},
		{"wide link, but little processor time", process.Size{Share: 0.1, Link: 200 * process.Megabit}, narrow, ""},
		{"narrow of little processor time", narrow, process.Size{Share: 0.05}, "b:9"},
		{"holder does not tell", process.Size{Share: 0.8, Link: 200 * process.Megabit}, process.Size{}, ""},
		{"holder tells its share alone", process.Size{Share: 0.8, Link: 200 * process.Megabit}, process.Size{Share: 0.192}, "b:9"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			held := row("entry-9", 9)
			held.Claim.Size, held.Claim.Address = c.holder, "b:9"
			tracker := New("entry-1", "a:1", "y", start)
			tracker.Size = c.size
			tracker.Observe(start, []Row{held})
			_, address := tracker.Request(start.Add(2*settleTime), []Shard{shard})
			want(t, "holder that is asked", address, c.want)
		})
	}
}

// TestClaimsOfOtherVersions checks that entries that know no links and those that
// do read each other's claims.
func TestClaimsOfOtherVersions(t *testing.T) {
	type olderClaim struct {
		Holder string  `json:"holder"`
		Epoch  int     `json:"epoch"`
		Share  float64 `json:"share,omitempty"`
	}
	older := olderClaim{Holder: "entry-1", Epoch: 3, Share: 0.4}
	text, err := json.Marshal(older)
	if err != nil {
		t.Fatal(err)
	}
	var claim Claim
	if err := json.Unmarshal(text, &claim); err != nil {
		t.Fatal(err)
	}
	want(t, "older claim", claim, Claim{Holder: "entry-1", Epoch: 3, Size: process.Size{Share: 0.4}})

	claim.Link = 10 * process.Megabit
	if text, err = json.Marshal(claim); err != nil {
		t.Fatal(err)
	}
	var read olderClaim
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	want(t, "claim read by an older entry", read, older)
}
