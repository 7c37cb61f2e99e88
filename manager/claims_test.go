package manager

import (
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/ownership"
)

// TestConflictingRenewalStopsShard guards against an owner that goes on sending orders
// after a peer has taken over its shard. The owner learned of the takeover only from its
// next read of claims, although a renewal had already failed with a conflict.
func TestConflictingRenewalStopsShard(t *testing.T) {
	const name job.PoolName = "booking"
	cases := []struct {
		name string
		// change alters the stored claim before the renewal.
		change func(*ownership.Claim)
		kept   bool
	}{
		{"own renewal without an answer", func(c *ownership.Claim) { c.Renewals++ }, true},
		{"another holder", func(c *ownership.Claim) { c.Holder = "entry-2" }, false},
		{"another incarnation", func(c *ownership.Claim) { c.Incarnation = "other" }, false},
		{"another epoch", func(c *ownership.Claim) { c.Epoch++ }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			m := New(Options{Name: "entry-1"}, store, nil, nil, nil)
			var acquire ownership.Write
			for now := time.Now(); acquire.Claim.Holder == ""; now = now.Add(claimInterval) {
				m.tracker.Observe(now, nil)
				for _, w := range m.tracker.Plan(now, []ownership.Shard{poolShard(name)}) {
					acquire = w
				}
			}
			version, err := m.writeClaim(t.Context(), acquire)
			if err != nil {
				t.Fatal(err)
			}
			tenure, _ := m.tracker.Committed(time.Now(), acquire, version)
			stopped := false
			m.pools[name] = newPoolOwner(m, name, tenure, func() { stopped = true })
			stored := ownership.Write{Shard: acquire.Shard, Expect: version, Claim: acquire.Claim}
			c.change(&stored.Claim)
			if _, err := m.writeClaim(t.Context(), stored); err != nil {
				t.Fatal(err)
			}
			m.renew(t.Context(), ownership.Write{Shard: acquire.Shard, Expect: version, Claim: acquire.Claim})
			want(t, "shard kept", m.localOwner(name) != nil, c.kept)
			want(t, "owner stopped", stopped, !c.kept)
			want(t, "ownership valid", m.ownershipValid(acquire.Shard), c.kept)
		})
	}
}

// TestRenewalWithoutAnswerLeavesTimeForAnother guards against an owner that loses a pool
// because one renewal got no answer: a call to the store times out after 1.4 s, and a claim
// expires after 2 s.
func TestRenewalWithoutAnswerLeavesTimeForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Name: "entry-1"}, hangingStore{newMemoryStore()}, nil, nil, nil)
		started := time.Now()
		m.renew(t.Context(), ownership.Write{Shard: fleetShard})
		const attempts = 2
		if took := time.Since(started); ownership.RenewInterval+attempts*took >= ownership.ClaimTTL {
			t.Errorf("a renewal without an answer takes %v, which leaves no time for another within %v", took, ownership.ClaimTTL)
		}
	})
}
