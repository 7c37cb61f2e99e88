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

// newCountingOwner adds an owner of a pool with the given number of waiting jobs of the queue
// seats.
func newCountingOwner(t *testing.T, m *Manager, name job.PoolName, jobs int) {
	t.Helper()
	o := newPoolOwner(m, name, ownership.Tenure{Shard: poolShard(name)}, func() {})
	m.pools[name] = o
	p := pool.New(pool.Options{Pool: name, Epoch: 1}, time.Now())
	for n := range jobs {
		p.Reduce(time.Now(), &pool.JobStored{
			Record:  &job.Record{Pool: name, Queue: "seats", ID: job.ID([]byte("000000000000000" + string(rune('1'+n)))), Spec: job.Spec{Steps: []job.Step{{Count: 1}}}},
			Version: 1,
		})
	}
	go func() {
		for {
			select {
			case query := <-o.queries:
				query(t.Context(), p)
			case <-t.Context().Done():
				return
			}
		}
	}()
}

// TestWaitingJobsOfMovedQueue guards against a count of waiting jobs that leaves out those in a
// pool from which a configuration has sent the queue elsewhere (review case 4).
func TestWaitingJobsOfMovedQueue(t *testing.T) {
	cases := map[string]struct {
		// pools are the pools of the queue in successive configurations, the last one in force.
		pools []job.PoolName
		// removed is a pool that the last configuration does not have.
		removed job.PoolName
		want    int
	}{
		"not moved":              {[]job.PoolName{"a"}, "", 1 + 2 + 4}, // it may have moved before the entry started
		"moved":                  {[]job.PoolName{"a", "b"}, "", 1 + 2 + 4},
		"moved twice":            {[]job.PoolName{"a", "b", "c"}, "", 1 + 2 + 4},
		"moved and back":         {[]job.PoolName{"a", "b", "a"}, "", 1 + 2 + 4},
		"moved, pool is removed": {[]job.PoolName{"a", "b"}, "a", 1 + 2 + 4},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
			newCountingOwner(t, m, "a", 1)
			newCountingOwner(t, m, "b", 2)
			newCountingOwner(t, m, "c", 4)
			var q catalog.Queue
			for version, name := range c.pools {
				q = catalog.Queue{Name: "seats", Pool: name}
				current := &catalog.Catalog{Version: catalog.Version(version + 1), Queues: []catalog.Queue{q}}
				for _, p := range []job.PoolName{"a", "b", "c"} {
					if version == 0 || p != c.removed {
						current.Pools = append(current.Pools, catalog.Pool{Name: p})
					}
				}
				m.queuePools.update(time.Now(), current)
			}
			got, err := m.Waiting(t.Context(), &q)
			want(t, "error", err, error(nil))
			want(t, "waiting jobs", got, c.want)
		})
	}
}

// TestFormerPoolIsAskedUntilEmpty checks that a pool that has no more jobs of the queue is not
// asked for ever, and that one that was left and does not answer makes the count unknown.
func TestFormerPoolIsAskedUntilEmpty(t *testing.T) {
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
	newCountingOwner(t, m, "a", 0)
	newCountingOwner(t, m, "b", 2)
	q := catalog.Queue{Name: "seats", Pool: "b"}
	before := time.Now().Add(-formerPoolTime - time.Second)
	m.queuePools.update(before, &catalog.Catalog{Queues: []catalog.Queue{{Name: "seats", Pool: "a"}}})
	m.queuePools.update(before, &catalog.Catalog{Queues: []catalog.Queue{q}})
	n, err := m.Waiting(t.Context(), &q)
	want(t, "waiting jobs", n, 2)
	want(t, "error", err, error(nil))
	want(t, "former pools", len(m.queuePools.former["seats"]), 0)
	m.queuePools.update(time.Now(), &catalog.Catalog{Queues: []catalog.Queue{{Name: "seats", Pool: "gone"}}})
	m.queuePools.update(time.Now(), &catalog.Catalog{Queues: []catalog.Queue{q}})
	_, err = m.Waiting(t.Context(), &q)
	want(t, "error without an owner of the former pool", errors.Is(err, errNoOwner), true)
}

// TestRemovedPoolKeepsAnOwner guards against jobs that are left without an owner when their pool
// is removed from the configuration and its owner ends.
func TestRemovedPoolKeepsAnOwner(t *testing.T) {
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
	want(t, "shards without a configuration", m.shards(), []ownership.Shard(nil))
	m.catalog.Replace(&catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "a"}}})
	m.tracker.Observe(time.Now(), []ownership.Row{{Shard: poolShard("a"), Version: 1}, {Shard: poolShard("removed"), Version: 2}, {Shard: fleetShard, Version: 3}})
	want(t, "shards", m.shards(), []ownership.Shard{poolShard("a"), fleetShard, poolShard("removed")})
}
