package manager

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// runnerSchema decodes each row of the table runners as a runner of the pool booking.
type runnerSchema struct{ Schema }

func (runnerSchema) RunnerTable() string { return "runners" }

func (runnerSchema) Runner(row table.Row) (job.PoolName, pool.Runner, error) {
	if string(row.Value) == "broken" {
		return "", pool.Runner{}, errors.New("broken row")
	}
	return "booking", pool.Runner{ID: pool.RunnerID(row.Name)}, nil
}

// TestRunnersAreFollowedByOwners guards against entries without a shard that read the
// heartbeats of all runners (1.39 GB of 147 entries a day on the large Skywatch site), and
// against registrations that are outdated when an entry owns a shard again.
func TestRunnersAreFollowedByOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := emptyFeedStore{newMemoryStore()}
		put := func(name string) {
			key := table.Key{Table: "runners", Name: name}
			store.mu.Lock()
			defer store.mu.Unlock()
			store.version++
			store.rows[key] = table.Row{Key: key, Version: store.version}
		}
		m := New(Options{Name: "entry-1"}, store, nil, nil, runnerSchema{})
		go m.followRunners(ctx)
		registered := func() int {
			time.Sleep(2 * ownershipCheckInterval)
			m.mu.Lock()
			defer m.mu.Unlock()
			return len(m.registrations)
		}
		setOwner := func(f *fleetOwner) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.fleet = f
			if f != nil {
				m.ownershipBegan <- struct{}{}
			}
		}
		put("r1")
		want(t, "registrations without a shard", registered(), 0)
		setOwner(&fleetOwner{})
		want(t, "registrations of an owner", registered(), 1)
		setOwner(nil)
		want(t, "registrations after the shard is lost", registered(), 0)
		put("r2")
		setOwner(&fleetOwner{})
		want(t, "registrations of an owner again", registered(), 2)
	})
}

// TestOddRegistrationIsLeftOut guards against an odd row of another writer that keeps the rows
// beside it, or later ones, from being followed.
func TestOddRegistrationIsLeftOut(t *testing.T) {
	row := func(name, value string) table.Row {
		return table.Row{Key: table.Key{Table: "runners", Name: name}, Value: []byte(value)}
	}
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, runnerSchema{})
	for _, c := range []struct {
		name string
		changes
		want []pool.RunnerID
	}{
		{"odd row among good ones", changes{rows: []table.Row{row("r1", ""), row("odd", "broken"), row("r2", "")}, snapshot: true}, []pool.RunnerID{"r1", "r2"}},
		{"good row is overwritten", changes{rows: []table.Row{row("r1", "broken"), row("r3", "")}}, []pool.RunnerID{"r2", "r3"}},
		{"odd rows are mended", changes{rows: []table.Row{row("r1", ""), row("odd", "")}}, []pool.RunnerID{"odd", "r1", "r2", "r3"}},
	} {
		m.applyRunnerRows(t.Context(), c.changes)
		var got []pool.RunnerID
		for _, r := range m.runnersInPool("booking").Runners {
			got = append(got, r.ID)
		}
		slices.Sort(got)
		want(t, c.name, got, c.want)
	}
}
