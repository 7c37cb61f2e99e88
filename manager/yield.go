package manager

import (
	"context"
	"time"

	"bronzestair/core/ownership"
	"bronzestair/io/owner"
)

// Small entries yield shards to larger ones that own nothing. Otherwise, after outages
// and restarts, entries with a fifth of a core may own pools that need more than that in
// a burst, while larger entries are idle.

// yieldTimeout gives the holder time for one write to a store of normal latency.
const yieldTimeout = 600 * time.Millisecond

// requestYield asks a smaller entry to yield a shard that this entry should own.
func (m *Manager) requestYield(ctx context.Context) {
	if time.Since(m.store.direct.LastResponse()) > ownership.OutageThreshold {
		return
	}
	pools := m.poolShards()
	m.mu.Lock()
	shard, address := m.tracker.YieldCandidate(time.Now(), pools)
	m.mu.Unlock()
	if shard == "" {
		return
	}
	yieldCtx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	if err := m.peers.Yield(yieldCtx, address, string(shard)); err != nil {
		m.logger.Info("smaller entry did not yield shard", "shard", shard, "peer", address, "error", err)
		return
	}
	m.logger.Info("smaller entry yielded shard", "shard", shard, "peer", address)
	m.takeOverReleased(ctx)
}

// Yield releases a shard at the request of a larger entry, which then takes it over.
func (m *Manager) Yield(ctx context.Context, name string) error {
	if time.Since(m.store.direct.LastResponse()) > ownership.OutageThreshold {
		return errStoreUnavailable
	}
	shard := ownership.Shard(name)
	m.mu.Lock()
	w, held := m.tracker.Release(shard)
	m.mu.Unlock()
	if !held {
		return owner.ErrNotOwner
	}
	m.stopShard(shard, "a larger entry asks for it")
	if _, err := m.writeClaim(ctx, w); err != nil {
		// The claim expires without a renewal.
		m.logger.Warn("cannot release claim", "shard", shard, "error", err)
		return err
	}
	go m.notifyClaimsChanged(context.WithoutCancel(ctx))
	return nil
}
