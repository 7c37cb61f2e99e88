package manager

import (
	"errors"
	"testing"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
)

// TestExplainAsksTheOwner guards against an explanation by an entry that does not own the pool.
func TestExplainAsksTheOwner(t *testing.T) {
	m := New(Options{Name: "entry-1", Address: "127.0.0.1:1"}, newMemoryStore(), nil, nil, nil)
	q := &catalog.Queue{Name: "seats", Pool: "booking"}
	spec := &job.Spec{Steps: []job.Step{{Count: 1}}}
	_, _, err := m.Explain(t.Context(), q, "", spec)
	want(t, "no owner", errors.Is(err, errNoOwner), true)

	o := newPoolOwner(m, "booking", ownership.Tenure{Shard: poolShard("booking")}, func() {})
	m.pools["booking"] = o
	go func() {
		p := pool.New(pool.Options{Pool: "booking"}, time.Now())
		query := <-o.queries
		query(t.Context(), p)
		close(o.done)
	}()
	explanation, peer, err := m.Explain(t.Context(), q, "", spec)
	want(t, "error", err, error(nil))
	want(t, "peer", peer, "")
	want(t, "explanation", explanation, &pool.Explanation{Pool: "booking", Ready: explanation.Ready, Steps: []pool.StepExplanation{{Tasks: 1}}})
	_, _, err = m.Explain(t.Context(), q, "", spec)
	want(t, "the owner has ended", errors.Is(err, errOwnerGone), true)
}
