package manager

import (
	"context"
	"runtime"
	"slices"
	"sync/atomic"
	"time"
)

// Timing of the check that the loops of an entry make progress.
const (
	loopCheckInterval = 1 * time.Second
	// stallThreshold is the time without progress after which a loop counts as stalled. The
	// loops wake at least every 300 ms; one call to the store, through several peers, takes up
	// to some seconds.
	stallThreshold = 8 * time.Second
	// maxStackBytes bounds the stacks that are logged once for each stall.
	maxStackBytes = 64 << 10
)

// loopProgress records when a loop last began an iteration. The zero value is ready for use.
type loopProgress struct{ recordedAt atomic.Pointer[time.Time] }

func (l *loopProgress) record() {
	now := time.Now()
	l.recordedAt.Store(&now)
}

// stalled reports whether the loop has begun and has made no progress for stallThreshold.
func (l *loopProgress) stalled() bool {
	at := l.recordedAt.Load()
	return at != nil && time.Since(*at) > stallThreshold
}

// watchLoops checks the loops until the context ends. While one is stalled, the entry is not
// ready, and it gives up the pools whose loops are stalled. It takes no lock before it has
// reported the entry as not ready, because the stalled loop may hold it.
func (m *Manager) watchLoops(ctx context.Context) {
	ticker := time.NewTicker(loopCheckInterval)
	defer ticker.Stop()
	owners := make(chan []*poolOwner, 1)
	var known, stalled []*poolOwner
	listing := false
	// checks counts the checks in a row that found a stalled loop, reported the stalled pools
	// that were given up.
	checks, reported := 0, 0
	lastCheck := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case known = <-owners:
			listing = false
			continue
		case <-ticker.C:
		}
		// After a pause of the whole process, its loops get time to go on.
		paused := time.Since(lastCheck) > 3*loopCheckInterval
		lastCheck = time.Now()
		if !listing {
			listing = true
			go func() { owners <- m.poolOwners() }() // may wait for the lock
		}
		stalled = m.stalledPools(append(stalled, known...)) // also those that were given up
		if paused || !m.claimsProgress.stalled() && len(stalled) == 0 {
			checks, reported = 0, 0
			m.stalled.Store(false)
			continue
		}
		checks++
		if checks == 2 || checks > 2 && len(stalled) > reported {
			reported = len(stalled)
			m.reportStall(stalled)
		}
	}
}

// stalledPools returns the owners whose loop is stalled and that have not ended.
func (m *Manager) stalledPools(owners []*poolOwner) (stalled []*poolOwner) {
	for _, o := range owners {
		select {
		case <-o.done:
		default:
			if o.progress.stalled() && !slices.Contains(stalled, o) {
				stalled = append(stalled, o)
			}
		}
	}
	return stalled
}

// reportStall makes the entry not ready, logs the stacks of all goroutines, and gives up the
// pools whose owners are stalled.
func (m *Manager) reportStall(stalled []*poolOwner) {
	m.stalled.Store(true)
	stacks := make([]byte, maxStackBytes)
	stacks = stacks[:runtime.Stack(stacks, true)]
	names := []string{}
	for _, o := range stalled {
		names = append(names, string(o.name))
		go m.stopShard(o.shard, "its loop makes no progress")
	}
	m.logger.Error("loop makes no progress", "claims", m.claimsProgress.stalled(), "pools", names, "stacks", string(stacks))
}
