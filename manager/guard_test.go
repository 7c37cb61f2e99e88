package manager

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// brokenRunners panics on each poll.
type brokenRunners struct{ Runners }

func (brokenRunners) Poll(context.Context, *pool.PollRunner) (*pool.RunnerPolled, error) {
	panic("malformed answer")
}

// emptyFeedStore is a store whose feeds report no changes.
type emptyFeedStore struct{ *memoryStore }

func (s emptyFeedStore) Feed(ctx context.Context, _ string, after table.Version, wait time.Duration) (*table.Page, error) {
	sleep(ctx, wait)
	return &table.Page{Version: after}, nil
}

func (s emptyFeedStore) Parts(context.Context, string) ([]string, error) { return nil, nil }

// TestPanicEndsOnlyItsShard guards against a malformed message that ends the whole
// process: its shard is released, and the process goes on.
func TestPanicEndsOnlyItsShard(t *testing.T) {
	const name job.PoolName = "booking"
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var log strings.Builder
		store := emptyFeedStore{newMemoryStore()}
		m := New(Options{Name: "entry-1", Address: "a", Logger: slog.New(slog.NewTextHandler(&log, nil))}, store, brokenRunners{}, oneInstance{}, nil)
		m.registrations["r1"] = registration{pool: name, runner: pool.Runner{ID: "r1"}}
		m.registrationsReadAt = time.Now()
		m.group = &errgroup.Group{}
		m.takeOver(ctx, ownership.Write{Shard: poolShard(name), Takeover: true, Claim: ownership.Claim{Holder: "entry-1", Epoch: 1}})
		time.Sleep(time.Second)
		want(t, "pool is owned", m.localOwner(name) != nil, false)
		want(t, "panics logged", strings.Count(log.String(), "msg=panic"), 1)
		claim, _ := m.decodeClaim(store.rows[claimKey(poolShard(name))])
		want(t, "claim is released", claim.Claim.Released, true)
	})
}
