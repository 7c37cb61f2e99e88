package manager

import (
	"context"
	"fmt"
	"runtime/debug"

	"bronzestair/core/ownership"
)

// guard runs f and recovers a panic, which it logs with its stack. It reports whether f
// returned. A malformed message or row must not end the whole process.
func (m *Manager) guard(work string, f func()) (returned bool) {
	defer func() {
		if !returned {
			m.logger.Error("panic", "work", work, "cause", fmt.Sprint(recover()), "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}

// guardShard runs work of a shard. After a panic it gives the shard up, as its state in
// this process may be broken, so that another entry takes it over.
func (m *Manager) guardShard(ctx context.Context, shard ownership.Shard, f func()) {
	if m.guard(string(shard), f) {
		return
	}
	m.mu.Lock()
	w, held := m.tracker.Release(shard)
	m.mu.Unlock()
	m.stopShard(shard, "panic")
	if !held {
		return
	}
	if _, err := m.writeClaim(context.WithoutCancel(ctx), w); err != nil {
		// The claim expires without a renewal.
		m.logger.Warn("cannot release claim", "shard", shard, "error", err)
		return
	}
	m.notifyClaimsChanged(context.WithoutCancel(ctx))
}
