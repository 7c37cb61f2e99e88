package manager

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/table"
)

// Timing of the claims, which are leases on shards stored in the table service.
const (
	// claimInterval is the period of the loop that renews and takes over claims.
	claimInterval = 300 * time.Millisecond
	// claimReadIntervals is the number of loop iterations per read of all claims.
	claimReadIntervals = 2
	// releasedPollInterval and releasedPolls are the period and the number of
	// attempts to take over shards after a peer has released some.
	releasedPollInterval = 40 * time.Millisecond
	releasedPolls        = 12
	// renewTimeout lets two attempts at a renewal fail within ownership.ClaimTTL. A slow
	// store commits a transaction in a quarter of a second.
	renewTimeout = ownership.RenewInterval
)

const claimTable = "claims"

func newIncarnation() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on supported systems
	}
	return hex.EncodeToString(b[:])
}

// claimKey returns the row key of a shard's claim. Each claim has a part of its own,
// because a slow store commits only a few transactions per second in one part.
func claimKey(shard ownership.Shard) table.Key {
	return table.Key{Table: claimTable, Part: string(shard), Name: claimRowName}
}

const claimRowName = "owner"

// maintainClaims renews this entry's claims and takes over free shards until the
// context ends.
func (m *Manager) maintainClaims(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		m.claimsProgress.record()
		if n%claimReadIntervals == 0 {
			m.readClaims(ctx)
			m.requestYield(ctx)
		}
		m.writeClaims(ctx)
		m.extendInOutage(ctx)
		m.stopExpiredShards()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.claimsChanged:
			m.takeOverReleased(ctx)
		}
	}
}

// takeOverReleased polls for free shards at a short interval, so that the entry with
// the shortest takeover delay acquires each one without waiting for the next
// iteration of the loop.
func (m *Manager) takeOverReleased(ctx context.Context) {
	m.readClaims(ctx)
	for range releasedPolls {
		m.claimsProgress.record()
		m.writeClaims(ctx)
		sleep(ctx, releasedPollInterval)
	}
}

// readClaims passes the stored claims to the tracker and stops the shards that this
// entry has lost.
func (m *Manager) readClaims(ctx context.Context) {
	stored, err := m.changedClaims(ctx)
	if err != nil {
		m.logger.Warn("cannot read claims", "error", err)
		return
	}
	var rows []ownership.Row
	for _, row := range stored {
		if decoded, ok := m.decodeClaim(row); ok {
			rows = append(rows, decoded)
		}
	}
	m.mu.Lock()
	lost := m.tracker.Observe(time.Now(), rows)
	m.mu.Unlock()
	for _, shard := range lost {
		m.stopShard(shard, "another entry has claimed it")
	}
}

// decodeClaim decodes a stored claim. It logs a failure and returns false.
func (m *Manager) decodeClaim(row table.Row) (ownership.Row, bool) {
	var claim ownership.Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		m.logger.Error("claim is broken", "shard", row.Part, "error", err)
		return ownership.Row{}, false
	}
	return ownership.Row{Shard: ownership.Shard(row.Part), Claim: claim, Version: ownership.Version(row.Version)}, true
}

// changedClaims returns the claims that have changed since the last call. It returns
// all claims on the first call and when the store has dropped the history.
func (m *Manager) changedClaims(ctx context.Context) ([]table.Row, error) {
	if m.claimsVersion > 0 {
		page, err := m.store.Feed(ctx, claimTable, m.claimsVersion, 0)
		var failed *table.Failure
		switch {
		case err == nil:
			if len(page.Rows) > 0 {
				m.claimsVersion = page.Version
			}
			return page.Rows, nil
		case !errors.As(err, &failed) || !failed.HistoryLost:
			return nil, err
		}
	}
	_, version, err := m.readPart(ctx, claimTable, "") // only the version is used
	if err != nil {
		return nil, err
	}
	parts, err := m.store.Parts(ctx, claimTable)
	if err != nil {
		return nil, err
	}
	var rows []table.Row
	for _, part := range parts {
		partRows, _, err := m.readPart(ctx, claimTable, part)
		if err != nil {
			return nil, err
		}
		rows = append(rows, partRows...)
	}
	m.claimsVersion = version
	return rows, nil
}

// shards returns the fleet's shard and those of all pools, or nil without a configuration. A
// pool that the configuration no longer has keeps an owner for the jobs that it has left.
func (m *Manager) shards() []ownership.Shard {
	shards := m.poolShards()
	if shards == nil {
		return nil
	}
	shards = append(shards, fleetShard)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, shard := range m.tracker.Claimed() {
		if !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}

// poolShards returns the shards of all pools, or nil without a configuration.
func (m *Manager) poolShards() []ownership.Shard {
	c := m.catalog.Get()
	if c == nil {
		return nil
	}
	shards := make([]ownership.Shard, 0, len(c.Pools))
	for _, p := range c.Pools {
		shards = append(shards, poolShard(p.Name))
	}
	return shards
}

// writeClaims renews all claims concurrently and then takes over shards in sequence.
func (m *Manager) writeClaims(ctx context.Context) {
	shards := m.shards()
	m.mu.Lock()
	writes := m.tracker.Plan(time.Now(), shards)
	m.mu.Unlock()
	var calls sync.WaitGroup
	for _, w := range writes {
		if !w.Takeover {
			calls.Go(func() { m.renew(ctx, w) })
		}
	}
	calls.Wait()
	for _, w := range writes {
		if w.Takeover {
			if m.takeOver(ctx, w) && !w.SameHolder {
				return // the takeover delay depends on the shards owned, so plan again
			}
		}
	}
}

// renew renews a claim. A write without an answer is given up early enough for another
// attempt, which may go through a peer, before the claim expires.
func (m *Manager) renew(ctx context.Context, w ownership.Write) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := time.Now()
	version, err := m.writeClaim(ctx, w)
	var conflict *table.Conflict
	switch {
	case err == nil:
		m.mu.Lock()
		m.tracker.Committed(sent, w, version)
		m.mu.Unlock()
	case errors.As(err, &conflict):
		m.logger.Warn("claim has changed since its last renewal", "shard", w.Shard)
		m.handleClaimConflict(w.Shard, conflict)
	default:
		m.logger.Warn("cannot renew claim", "shard", w.Shard, "error", err)
	}
}

// handleClaimConflict stops a shard at once if the conflicting row of a renewal is the
// claim of another owner.
func (m *Manager) handleClaimConflict(shard ownership.Shard, conflict *table.Conflict) {
	stored, exists := conflict.Row(claimKey(shard))
	if !exists {
		return
	}
	row, ok := m.decodeClaim(stored)
	if !ok {
		return
	}
	m.mu.Lock()
	lost := m.tracker.ObserveClaim(time.Now(), row)
	m.mu.Unlock()
	if lost {
		m.stopShard(shard, "another entry has claimed it")
	}
}

// writeClaim commits a claim on the condition that its row is unchanged, and returns
// the new version.
func (m *Manager) writeClaim(ctx context.Context, w ownership.Write) (ownership.Version, error) {
	defer m.claimsProgress.record()
	value, err := json.Marshal(w.Claim)
	if err != nil {
		return 0, err
	}
	key := claimKey(w.Shard)
	tx := table.Tx{Part: key.Part}
	tx.Expect(key, table.Version(w.Expect))
	tx.Put(key, value)
	version, err := m.store.Commit(ctx, &tx)
	return ownership.Version(version), err
}

// takeOver claims a shard, starts its work and reports whether the claim was stored.
func (m *Manager) takeOver(ctx context.Context, w ownership.Write) bool {
	sent := time.Now()
	version, err := m.writeClaim(ctx, w)
	if err != nil {
		m.logger.Info("cannot take over shard", "shard", w.Shard, "error", err)
		m.mu.Lock()
		m.tracker.TakeoverFailed(sent, w)
		m.mu.Unlock()
		return false
	}
	m.mu.Lock()
	tenure, _ := m.tracker.Committed(sent, w, version)
	m.mu.Unlock()
	m.logger.Info("shard taken over", "shard", w.Shard, "epoch", tenure.Epoch, "fence", tenure.Fence, "previous", tenure.PreviousHolder)
	m.startShard(ctx, tenure)
	go m.notifyClaimsChanged(ctx)
	return true
}

// notifyClaimsChanged asks all peers to read the claims now.
func (m *Manager) notifyClaimsChanged(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range m.otherEntries() {
		calls.Go(func() {
			if err := m.peers.ClaimsChanged(ctx, address); err != nil {
				m.logger.Info("cannot notify peer of changed claims", "peer", address, "error", err)
			}
		})
	}
	calls.Wait()
}

// stopExpiredShards stops the shards whose claims have gone without a renewal for so
// long that the tracker has given them up.
func (m *Manager) stopExpiredShards() {
	now := time.Now()
	m.mu.Lock()
	var expired []ownership.Shard
	for name := range m.pools {
		if !m.tracker.MayRenew(now, poolShard(name)) {
			expired = append(expired, poolShard(name))
		}
	}
	if m.fleet != nil && !m.tracker.MayRenew(now, fleetShard) {
		expired = append(expired, fleetShard)
	}
	m.mu.Unlock()
	for _, shard := range expired {
		m.stopShard(shard, "claim not renewed in time")
	}
}

// startShard starts the owner of a shard.
func (m *Manager) startShard(ctx context.Context, tenure ownership.Tenure) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case m.ownershipBegan <- struct{}{}:
	default: // a wake-up is already pending
	}
	if tenure.Shard == fleetShard {
		m.fleet = newFleetOwner(m, tenure, cancel)
		f := m.fleet
		m.group.Go(func() error { m.guardShard(ctx, tenure.Shard, func() { f.run(ctx) }); return nil })
		return
	}
	name := job.PoolName(strings.TrimPrefix(string(tenure.Shard), "pool/"))
	o := newPoolOwner(m, name, tenure, cancel)
	m.pools[name] = o
	m.group.Go(func() error { m.guardShard(ctx, tenure.Shard, func() { o.run(ctx) }); return nil })
}

// stopShard stops the owner of a shard, if it runs, and drops the ownership.
func (m *Manager) stopShard(shard ownership.Shard, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Drop(shard)
	if shard == fleetShard {
		if m.fleet != nil {
			m.fleet.cancel()
			m.fleet = nil
			m.logger.Warn("shard lost", "shard", shard, "reason", reason)
		}
		return
	}
	name := job.PoolName(strings.TrimPrefix(string(shard), "pool/"))
	if o := m.pools[name]; o != nil {
		o.cancel()
		delete(m.pools, name)
		m.logger.Warn("shard lost", "shard", shard, "reason", reason)
	}
}

// ownershipValid reports whether this entry may send orders for a shard now.
func (m *Manager) ownershipValid(shard ownership.Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Valid(time.Now(), shard)
}
