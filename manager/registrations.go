package manager

import (
	"context"
	"time"
)

// ownershipCheckInterval is the period at which an entry that follows the runner table
// checks whether it still owns a shard.
const ownershipCheckInterval = 1 * time.Second

// followRunners follows the runner table while this entry owns a shard. Each heartbeat of
// each runner is a change of the table, so that in a large fleet most of what all entries
// read from the store would be heartbeats that they do not need.
func (m *Manager) followRunners(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.ownershipBegan:
		}
		followCtx, stop := context.WithCancel(ctx)
		go m.stopFollowingWhenIdle(followCtx, stop)
		m.followTable(followCtx, m.schema.RunnerTable(), func() time.Duration { return runnerFeedPause }, m.applyRunnerRows)
		stop()
	}
}

// stopFollowingWhenIdle calls stop once this entry owns no shard, and drops the copy of
// the runner table: it would be outdated when the entry next owns a shard.
func (m *Manager) stopFollowingWhenIdle(ctx context.Context, stop context.CancelFunc) {
	for ctx.Err() == nil {
		sleep(ctx, ownershipCheckInterval)
		m.mu.Lock()
		idle := len(m.pools) == 0 && m.fleet == nil
		if idle {
			stop()
			clear(m.registrations)
			m.registrationsReadAt = time.Time{}
		}
		m.mu.Unlock()
	}
}
