package manager

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/table"
)

// TestSubmissionToSlowOwner guards against entries that double the load of a slow store: the
// owner of the pool waited for the store, and the entry that had received the job stored it itself
// meanwhile, so that callers got no definite answer. It also guards against callers that wait for
// an owner that is lost while the store is well.
func TestSubmissionToSlowOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		// store and owner are how long the store takes for a transaction of this entry and of
		// the owner.
		store, owner time.Duration
		took         time.Duration
		commits      int
	}{
		{"slow store", 1800 * time.Millisecond, 1800 * time.Millisecond, 1800 * time.Millisecond, 1},
		{"lost owner", 10 * time.Millisecond, time.Hour, ownerSubmitTimeout + 10*time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, _ := newLoggedOwner(t, nil, nil)
				direct := newMemoryStore()
				direct.onCommit = func(*table.Tx) { time.Sleep(c.store) }
				o.m.store = newFailoverStore(direct, nil, func() []string { return nil }, slog.New(slog.DiscardHandler))
				if _, err := o.m.store.Commit(t.Context(), &table.Tx{}); err != nil { // measures the latency
					t.Fatal(err)
				}
				direct.commits = 0
				owners := newMemoryStore()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				owners.onCommit = func(*table.Tx) { sleep(ctx, c.owner) }
				o.writer = newWriter(owners, &eventRecorder{}, o.m.logger)
				o.m.direct = newWriter(o.m.store, discardSink{}, o.m.logger)
				o.m.pools[o.name] = o
				go o.writer.run(ctx)
				go o.m.direct.run(ctx)
				caller, cancelCaller := context.WithTimeout(ctx, 2850*time.Millisecond)
				defer cancelCaller()
				began := time.Now()
				spec := &job.Spec{Steps: []job.Step{{Count: 1}}}
				result, err := o.m.Submit(caller, &catalog.Queue{Name: "seats", Pool: o.name}, "", testID, spec)
				want(t, "result", result, Stored)
				want(t, "error", err, error(nil))
				want(t, "time until the answer", time.Since(began), c.took)
				want(t, "transactions", direct.commits+owners.commits, c.commits)
			})
		})
	}
}
