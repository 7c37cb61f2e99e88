package manager

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// newFullOwner returns a manager with the owner of the pool booking, whose loop does not run
// and whose inbox is full.
func newFullOwner() (*Manager, *poolOwner) {
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, runnerSchema{})
	o := newPoolOwner(m, "booking", ownership.Tenure{Shard: poolShard("booking")}, func() {})
	m.pools["booking"] = o
	for range inboxSize {
		o.inbox <- pool.Ticked{}
	}
	return m, o
}

// TestFullInboxHoldsNoLock guards against a deadlock: the registrations, or a configuration,
// were submitted to a full inbox with the manager's lock held, for which the owner's loop
// waited.
func TestFullInboxHoldsNoLock(t *testing.T) {
	for name, submit := range map[string]func(*Manager){
		"registrations": func(m *Manager) {
			m.applyRunnerRows(context.Background(), changes{rows: []table.Row{{Key: table.Key{Table: "runners", Name: "r1"}}}})
		},
		"configuration": func(m *Manager) {
			m.catalog.Replace(&catalog.Catalog{Version: 1})
			m.configurationChanged()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, o := newFullOwner()
				go submit(m)
				synctest.Wait() // the submission blocks now
				if m.mu.TryLock() {
					m.mu.Unlock()
				} else {
					t.Error("the lock is held while the submission waits")
				}
				close(o.done)
			})
		})
	}
}

// TestOverloadedOwnerRefusesJobs checks that a job is refused before anything is stored, and
// that a job which an earlier request may have stored is not reported as refused.
func TestOverloadedOwnerRefusesJobs(t *testing.T) {
	m, o := newFullOwner()
	record := &job.Record{Pool: "booking", Queue: "seats", ID: testID}
	result, _ := m.submitToOwner(t.Context(), record, nil)
	want(t, "result", result, NotStored)
	o.writer.uncertainJobs.reconcile(time.Now(), testID, MayBeStored)
	result, _ = m.submitToOwner(t.Context(), record, nil)
	want(t, "result for a job that may be stored", result, MayBeStored)
}

// TestStalledEntryIsNotReady covers an owner whose loop is stuck: the entry reports that it is
// not ready and gives the pool up. A pause of the whole process does not count.
func TestStalledEntryIsNotReady(t *testing.T) {
	for _, stuck := range []bool{false, true} {
		t.Run(fmt.Sprintf("stuck %t", stuck), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, runnerSchema{})
				m.catalog.Replace(&catalog.Catalog{Version: 1})
				o := newPoolOwner(m, "booking", ownership.Tenure{Shard: poolShard("booking")}, func() {})
				m.pools["booking"] = o
				go m.watchLoops(ctx)
				end := time.Now().Add(stallThreshold / 2)
				if !stuck {
					end = time.Now().Add(time.Minute)
				}
				go func() {
					for time.Now().Before(end) {
						o.progress.record()
						time.Sleep(100 * time.Millisecond)
					}
				}()
				time.Sleep(30 * time.Second)
				want(t, "ready", m.Ready(), !stuck)
				want(t, "pool kept", m.localOwner("booking") != nil, !stuck)
				cancel()
				close(o.done)
				time.Sleep(time.Minute)
			})
		})
	}
}
