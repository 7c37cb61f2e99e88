package manager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/table"
)

// TestJobOfSlowOwnerIsWrittenOnce guards against entries that double the load of a slow store: the
// owner of the pool waited for the store, and the entry that had received the job stored it itself
// meanwhile. Callers then got no definite answer.
func TestJobOfSlowOwnerIsWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newLoggedOwner(t, nil, nil)
		store := newMemoryStore()
		store.onCommit = func(*table.Tx) { time.Sleep(1800 * time.Millisecond) }
		o.writer = newWriter(store, &eventRecorder{}, o.m.logger)
		o.m.direct = newWriter(store, discardSink{}, o.m.logger)
		o.m.pools[o.name] = o
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go o.writer.run(ctx)
		go o.m.direct.run(ctx)
		caller, cancelCaller := context.WithTimeout(ctx, 2850*time.Millisecond)
		defer cancelCaller()
		spec := &job.Spec{Steps: []job.Step{{Count: 1}}}
		result, err := o.m.Submit(caller, &catalog.Queue{Name: "seats", Pool: o.name}, "", testID, spec)
		want(t, "result", result, Stored)
		want(t, "error", err, error(nil))
		want(t, "transactions", store.commits, 1)
	})
}
