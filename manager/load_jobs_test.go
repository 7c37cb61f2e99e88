package manager

import (
	"testing"

	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// TestOnlyRemovalsAreAppliedBeforeLoading checks that a new owner does not take a previous
// owner's job from the feed, which states neither its progress nor that it is inherited.
func TestOnlyRemovalsAreAppliedBeforeLoading(t *testing.T) {
	const name job.PoolName = "booking"
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
	o := newPoolOwner(m, name, ownership.Tenure{Shard: poolShard(name), Epoch: 2, Fence: 5}, func() {})
	_, value := testRecord()
	stored := table.Row{Key: jobKey(jobTable, "seats", testID), Value: value, Version: 7}
	removed := table.Row{Key: jobKey(jobTable, "seats", "00000000000000bb"), Version: 8, Removed: true}
	o.applyRemovals(t.Context(), changes{rows: []table.Row{stored, removed}})
	close(o.inbox)
	var got []pool.Event
	for e := range o.inbox {
		got = append(got, e)
	}
	want(t, "events", got, []pool.Event{&pool.JobRemoved{ID: "00000000000000bb"}})
}
