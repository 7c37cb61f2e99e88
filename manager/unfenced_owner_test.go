package manager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/maintenance"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// feedStore is a store whose feed reports the removal of the test's job.
type feedStore struct{ *memoryStore }

func (m feedStore) Feed(ctx context.Context, name string, _ table.Version, wait time.Duration) (*table.Page, error) {
	sleep(ctx, wait)
	m.mu.Lock()
	defer m.mu.Unlock()
	page := &table.Page{Version: m.version}
	key := jobKey(jobTable, "seats", testID)
	if _, ok := m.rows[key]; name == jobTable && !ok {
		page.Rows = []table.Row{{Key: key, Removed: true}}
	}
	return page, nil
}

// oneInstance lists only the instance of runner r1.
type oneInstance struct{ Instances }

func (oneInstance) List(context.Context) ([]maintenance.Instance, error) {
	return []maintenance.Instance{{ID: "m1", Pool: "booking", State: maintenance.Up, Runner: "r1"}}, nil
}

// TestUnfencedOwnerSeesCancellations guards against an owner that misses cancellations
// until it has loaded all jobs. A runner that does not answer delays the loading after a
// change of owner, while a peer cancels a job that the new owner has stored.
func TestUnfencedOwnerSeesCancellations(t *testing.T) {
	const (
		name        job.PoolName = "booking"
		cancelDelay              = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := feedStore{newMemoryStore()}
		m := New(Options{Name: "entry-1"}, store, &unresponsiveRunners{}, oneInstance{}, nil)
		m.registrations["r1"] = registration{pool: name, runner: pool.Runner{ID: "r1"}}
		m.registrationsReadAt = time.Now()
		o := newPoolOwner(m, name, ownership.Tenure{Shard: poolShard(name), Epoch: 2, Fence: 1}, cancel)
		go o.run(ctx)
		time.Sleep(100 * time.Millisecond)
		record, value := testRecord()
		if result, err := o.writer.storeNewJob(ctx, record, value); result != Stored {
			t.Fatalf("storeNewJob = %v, %v, want stored", result, err)
		}
		if err := New(Options{Name: "entry-2"}, store, nil, nil, nil).Cancel(ctx, &catalog.Queue{Name: record.Queue, Pool: name}, "", testID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(cancelDelay)
		state, _ := o.jobState(ctx, "", testID)
		want(t, "state known to the owner", state, job.Cancelled)
		cancel()
		<-o.done
		time.Sleep(2 * callDuration) // lets calls in flight end
	})
}
