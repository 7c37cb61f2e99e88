package ownership

import (
	"testing"
	"time"
)

// TestNoTakeoverWithoutRecentRead guards against a takeover that is sent during an outage
// of the store and carried out when the store returns, while the owner has kept its claim
// through the outage. The scenario deploy/days/restarts-in-outage.toml showed it on a fleet
// of large and small processes.
func TestNoTakeoverWithoutRecentRead(t *testing.T) {
	released := row("entry-2", 9)
	released.Claim.Released = true
	cases := []struct {
		name string
		// read holds the rows read until the outage; it is nil if there was no read.
		read []Row
	}{
		{"claim of another process", []Row{row("entry-2", 9)}},
		{"claim of a previous incarnation", []Row{row("entry-1", 9)}},
		{"released claim", []Row{released}},
		{"no claim", []Row{}},
		{"no read", nil},
	}
	const (
		readInterval = 600 * time.Millisecond
		outage       = 8 * time.Second
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := New("entry-1", "a:1", "y", start)
			now := start
			for n := 0; c.read != nil && n < 3; n++ {
				now = now.Add(readInterval)
				tracker.Observe(now, c.read)
			}
			var taken []time.Duration
			// 200 ms after a read was due, the last one is older than maxReadAge (700 ms).
			for d := readInterval + 200*time.Millisecond; d < outage; d += 50 * time.Millisecond {
				if writes := tracker.Plan(now.Add(d), []Shard{shard}); len(writes) > 0 {
					taken = append(taken, d)
				}
			}
			want(t, "delays of the takeovers during the outage", taken, []time.Duration(nil))
		})
	}
}

// TestClaimDoesNotExpireWithoutRead checks that time after the last read of the store does
// not count towards the TTL, because the owner may have renewed its claim meanwhile.
func TestClaimDoesNotExpireWithoutRead(t *testing.T) {
	tracker := New("entry-1", "a:1", "y", start)
	now := start
	for ; now.Sub(start) < ClaimTTL-200*time.Millisecond; now = now.Add(100 * time.Millisecond) {
		tracker.Observe(now, []Row{row("entry-2", 9)})
	}
	for d := time.Duration(0); d < time.Second; d += 50 * time.Millisecond {
		want(t, "number of writes", len(tracker.Plan(now.Add(d), []Shard{shard})), 0)
	}
}

// TestExpiredOwnershipIsNotExtended covers an owner that lost its connection to the store
// before an outage made the store unavailable to all: another process may have taken its
// shard over.
func TestExpiredOwnershipIsNotExtended(t *testing.T) {
	cases := []struct {
		name string
		// lastAnswerAfter is the time from the last renewal to the store's last answer to
		// any process.
		lastAnswerAfter time.Duration
		want            bool
	}{
		{"renewed until the outage", ClaimTTL / 2, true},
		{"expired before the outage", ClaimTTL + 100*time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := New("entry-1", "a:1", "y", start)
			tracker.Observe(start, nil)
			write := Write{Shard: shard, Takeover: true, Claim: Claim{Holder: "entry-1", Incarnation: "y", Epoch: 1}}
			tracker.Committed(start, write, 9)
			for d := ClaimTTL / 2; d < 4*ClaimTTL; d += 300 * time.Millisecond {
				tracker.Extend(Inquiry{
					SentAt: start.Add(d), LastResponse: start, Peers: []string{"b:1"},
					Reports: map[string]PeerReport{"b:1": {StoreAge: d - c.lastAnswerAfter}},
				})
			}
			want(t, "valid during the outage", tracker.Valid(start.Add(4*ClaimTTL), shard), c.want)
		})
	}
}

// TestExtensionNeedsAllPeers guards against two owners at once: the entries of a data centre
// that was cut off from the store and from the others took that for an outage of the store,
// as each heard from one other holder of claims, and went on while an entry elsewhere had
// taken over.
func TestExtensionNeedsAllPeers(t *testing.T) {
	away, reached, ended := PeerReport{StoreAge: 2 * time.Second}, PeerReport{StoreAge: OutageThreshold / 2}, PeerReport{Ended: true}
	cases := map[string]struct {
		peers   []string
		reports map[string]PeerReport
		want    string
	}{
		"all are without the store": {[]string{"b:1", "c:1"}, map[string]PeerReport{"b:1": away, "c:1": away}, ""},
		"one is silent":             {[]string{"b:1", "c:1"}, map[string]PeerReport{"b:1": away}, "peer c:1 has not answered"},
		"one reaches the store":     {[]string{"b:1", "c:1"}, map[string]PeerReport{"b:1": away, "c:1": reached}, "peer c:1 reaches the store"},
		"one has ended":             {[]string{"b:1", "c:1"}, map[string]PeerReport{"b:1": away, "c:1": ended}, ""},
		"none is known":             {nil, nil, "no other process is known"},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			tracker := New("entry-1", "a:1", "y", start)
			tracker.Observe(start, nil)
			tracker.Committed(start, Write{Shard: shard, Takeover: true, Claim: Claim{Holder: "entry-1", Incarnation: "y", Epoch: 1}}, 9)
			sentAt := start.Add(2 * time.Second)
			want(t, "refusal", tracker.Extend(Inquiry{SentAt: sentAt, LastResponse: start, Peers: c.peers, Reports: c.reports}), c.want)
			want(t, "valid", tracker.Valid(sentAt.Add(time.Second), shard), c.want == "")
		})
	}
}

// TestReportOfOutageDelaysTakeover covers a process that reports an outage to a holder, which
// then relies on its claim for ClaimTTL, and reaches the store again at once.
func TestReportOfOutageDelaysTakeover(t *testing.T) {
	tracker := New("entry-1", "a:1", "y", start)
	now := start
	for now.Sub(start) < ClaimTTL-100*time.Millisecond {
		tracker.Observe(now, []Row{row("entry-2", 9)})
		now = now.Add(100 * time.Millisecond)
	}
	reported := now.Sub(start)
	tracker.ReportOutage(now)
	if got := timeToTakeOver(tracker, row("entry-2", 9)); got < reported+ClaimTTL {
		t.Errorf("taken over after %v, within the claim that the holder extended after %v", got, reported)
	}
}
