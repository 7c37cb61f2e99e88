package manager

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// Timing of feeds, which return the changes of a table.
const (
	// feedWait is how long the store holds a feed call open while nothing changes. A
	// dead connection is noticed soon after, well before the deadline for putting a
	// new configuration in force.
	feedWait = 1 * time.Second
	// minRetryPause and maxRetryPause bound the backoff after a failed call.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// runnerFeedPause is well below the 2 s after which a draining runner must get no
	// more tasks.
	runnerFeedPause = 200 * time.Millisecond
	// reregisterGrace is the time in which runners whose registrations expired during
	// an outage of the store may register again before they are dropped.
	reregisterGrace = 2 * time.Second
	// feedOutageThreshold is the time between two answers of a feed that counts as an
	// outage. A feed of a working store answers after feedWait at the latest.
	feedOutageThreshold = feedWait + 1500*time.Millisecond
)

// changes are changed rows of a followed table, or all its rows if snapshot is true.
type changes struct {
	rows     []table.Row
	snapshot bool
}

// newBackoff returns the backoff between failed calls.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryPause, maxRetryPause
	return b
}

// followTable passes all rows of the table's part with the empty name to apply, and then
// the changes of the table. After each set of changes it waits for the interval, in which
// further changes accumulate.
func (m *Manager) followTable(ctx context.Context, name string, interval func() time.Duration, apply func(context.Context, changes)) {
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		rows, version, err := m.readPart(ctx, name, "")
		if err != nil {
			m.logger.Warn("table is not read", "table", name, "error", err)
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		retryBackoff.Reset()
		m.guard("table "+name, func() { apply(ctx, changes{rows: rows, snapshot: true}) })
		m.followChanges(ctx, name, version, interval, apply)
	}
}

// followChanges passes changes to apply until the context ends or the store no longer
// has the history after the last version read.
func (m *Manager) followChanges(ctx context.Context, name string, after table.Version, interval func() time.Duration, apply func(context.Context, changes)) {
	retryBackoff := newBackoff()
	answered := time.Now()
	for ctx.Err() == nil {
		page, err := m.store.Feed(ctx, name, after, feedWait)
		var failed *table.Failure
		switch {
		case err == nil:
			retryBackoff.Reset()
			m.detectStoreReturn(answered)
			answered = time.Now()
		case errors.As(err, &failed) && failed.HistoryLost:
			m.logger.Info("store has dropped the history of the table", "table", name, "after", after)
			return
		case ctx.Err() != nil:
			return
		default:
			m.logger.Warn("cannot read changes of table", "table", name, "error", err)
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		if len(page.Rows) == 0 {
			continue // keep the position on an empty answer, so that no change is missed
		}
		after = page.Version
		m.guard("table "+name, func() { apply(ctx, changes{rows: page.Rows}) })
		sleep(ctx, interval())
	}
}

// detectStoreReturn records the end of an outage, and reports it to the pool owners of this
// process, if the feed's last answer is older
// than feedOutageThreshold.
func (m *Manager) detectStoreReturn(lastAnswer time.Time) {
	if time.Since(lastAnswer) < feedOutageThreshold {
		return
	}
	m.mu.Lock()
	m.storeReturnedAt = time.Now()
	m.mu.Unlock()
	m.logger.Info("store answers again after an outage", "away", time.Since(lastAnswer))
	for _, o := range m.poolOwners() {
		o.submit(pool.StoreReturned{})
	}
}

// readPart returns all rows of a part and the version of the first page.
func (m *Manager) readPart(ctx context.Context, name, part string) ([]table.Row, table.Version, error) {
	var rows []table.Row
	var version table.Version
	err := m.readRange(ctx, name, part, "", "", func(page *table.Page) {
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
	})
	if err != nil {
		return nil, 0, err
	}
	return rows, version, nil
}

// readRange passes the rows of a part with names from from up to, but not including, to on to
// visit, page by page. An empty to stands for the end of the part.
func (m *Manager) readRange(ctx context.Context, name, part, from, to string, visit func(*table.Page)) error {
	for {
		page, err := m.store.Rows(ctx, name, part, from, to)
		if err != nil {
			return err
		}
		visit(page)
		if !page.More || len(page.Rows) == 0 {
			return nil
		}
		from = afterName(page.Rows)
	}
}

// afterName returns the first name after those of the rows, which are in order.
func afterName(rows []table.Row) string { return rows[len(rows)-1].Name + "\x00" }

// sleep returns after the duration or when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// applyOperatorRows puts a changed configuration in force and records waves.
func (m *Manager) applyOperatorRows(_ context.Context, c changes) {
	for _, row := range c.rows {
		if decoded, ok, err := m.schema.Catalog(row); ok {
			if err != nil {
				m.logger.Error("cannot decode configuration", "error", err)
				continue
			}
			if m.catalog.Replace(decoded) {
				m.logger.Info("configuration in force", "version", decoded.Version, "queues", len(decoded.Queues), "pools", decoded.Pools)
				m.configurationChanged()
			}
			continue
		}
		if wave, ok, err := m.schema.Wave(row); ok {
			if err != nil {
				m.logger.Error("cannot decode wave", "row", row.Name, "error", err)
				continue
			}
			m.mu.Lock()
			m.waves[wave.Number] = *wave
			m.mu.Unlock()
			m.logger.Info("wave received", "wave", wave.Number, "instances", len(wave.Instances), "maxCount", wave.MaxUnavailable, "duration", wave.Duration)
		}
	}
}

// configurationChanged passes the queue settings to all pool owners of this process.
func (m *Manager) configurationChanged() {
	current := m.catalog.Get()
	m.mu.Lock()
	m.queuePools.update(time.Now(), current)
	m.configureFloors(current)
	m.mu.Unlock()
	settings := current.QueueSettings()
	for _, o := range m.poolOwners() {
		o.submit(&pool.QueuesChanged{Queues: settings, Organisations: current.Organisations, Floor: m.floorShare(o.name)})
	}
}

// poolOwners returns the pool owners of this process. Events must be submitted to them
// without the lock: an owner whose inbox is full may wait for the lock itself.
func (m *Manager) poolOwners() []*poolOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.pools))
}

// applyRunnerRows applies changes to the copy of the runner table and passes the
// registered runners to the pool owners of this process. It does nothing once the context
// has ended, as the copy is then no longer kept up to date.
func (m *Manager) applyRunnerRows(ctx context.Context, c changes) {
	for o, event := range m.updateRegistrations(ctx, c) {
		o.submit(event)
	}
}

// updateRegistrations applies changes to the copy of the runner table and returns the events
// for the pool owners of this process.
func (m *Manager) updateRegistrations(ctx context.Context, c changes) map[*poolOwner]*pool.RunnersListed {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	now := time.Now()
	before := m.registrationStates()
	defer func() { m.logRegistrationChanges(before, m.registrationStates()) }()
	if c.snapshot {
		for name := range m.registrations {
			m.unregister(now, name)
		}
	}
	for _, row := range c.rows {
		if row.Removed {
			m.unregister(now, row.Name)
			continue
		}
		name, runner, err := m.schema.Runner(row)
		if err != nil {
			m.logger.Warn("registration names no runner", "row", row.Name, "error", err)
			delete(m.registrations, row.Name)
			continue
		}
		m.registrations[row.Name] = registration{pool: name, runner: runner}
	}
	for name, r := range m.registrations {
		if !r.lapsedAt.IsZero() && now.Sub(r.lapsedAt) > reregisterGrace {
			delete(m.registrations, name)
		}
	}
	m.registrationsReadAt = time.Now()
	events := make(map[*poolOwner]*pool.RunnersListed, len(m.pools))
	for _, o := range m.pools {
		events[o] = m.runnersInPool(o.name)
	}
	return events
}

// unregister removes a runner whose row was removed. Within reregisterGrace of the
// store's return it only marks the runner as lapsed, because rows that expired during
// the outage may be registered again. The caller holds the lock.
func (m *Manager) unregister(now time.Time, name string) {
	r := m.registrations[name]
	if now.Sub(m.storeReturnedAt) > reregisterGrace {
		delete(m.registrations, name)
		return
	}
	if r.pool != "" && r.lapsedAt.IsZero() {
		r.lapsedAt = now
		m.registrations[name] = r
	}
}

// runnersInPool returns an event with the registered runners of a pool. The caller
// holds the lock.
func (m *Manager) runnersInPool(name job.PoolName) *pool.RunnersListed {
	event := &pool.RunnersListed{}
	for _, r := range m.registrations {
		if r.pool == name {
			event.Runners = append(event.Runners, r.runner)
		}
	}
	return event
}
