// Package ownership decides which process owns a shard of the work. It performs
// no I/O: a Tracker takes the stored claims and returns the claims to write.
//
// A claim is a lease in the form of a row that its holder rewrites to renew it. A
// process that has seen the row unchanged for ClaimTTL may replace it, on the
// condition that the row still has the same version. The version of the row that
// begins an ownership is the owner's fencing token.
//
// # Usage
//
//	tracker := ownership.New("entry-1", "10.0.0.1:7060", incarnation, time.Now())
//	tracker.Observe(time.Now(), rows)
//	for _, write := range tracker.Plan(time.Now(), shards) {
//		// commit write.Claim if the row still has version write.Expect
//	}
package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzestair/core/process"
)

// Shard identifies a part of the work that has one owner at a time.
type Shard string

// Version is the version of a claim's row; 0 means that there is no row.
type Version uint64

// Parameters of renewal and takeover.
const (
	// ClaimTTL is how long a claim is valid without renewal. Together with the time
	// of takeover and loading it stays below the lease of tasks.
	ClaimTTL = 2 * time.Second
	// validity is how long a process relies on a claim that it has renewed or extended.
	// Clocks that differ in rate by a fortieth do not make two owners.
	validity = ClaimTTL - ClaimTTL/40
	// RenewInterval leaves time for two more attempts within ClaimTTL.
	RenewInterval = 600 * time.Millisecond
	// delayPerShard delays takeovers by a process for each shard that it owns, and
	// maxTieBreakDelay bounds the delay that separates processes that own the same
	// number of shards.
	delayPerShard    = 250 * time.Millisecond
	maxTieBreakDelay = 100 * time.Millisecond
	// A process delays takeovers by its age divided by ageDivisor, at most by
	// maxAgeDelay.
	ageDivisor  = 200
	maxAgeDelay = 300 * time.Millisecond
)

// owned is the state of a shard owned by this process.
type owned struct {
	tenure  Tenure
	version Version
	claim   Claim
	// renewedAt is when the last successful write was sent.
	renewedAt   time.Time
	lastAttempt time.Time
}

// observed is the state of a shard as last read from the store.
type observed struct {
	row       Row
	changedAt time.Time
	// epochSince is when this process first saw the current epoch.
	epochSince time.Time
	// takeoverFailed is true if this process has failed to replace the row.
	takeoverFailed bool
}

// Tracker tracks the claims of all shards for one process. Create one with New.
type Tracker struct {
	holder, address, incarnation string
	started                      time.Time

	observed map[Shard]*observed
	owned    map[Shard]*owned
	// freeSince is when a shard was found to be free: not claimed, released or expired.
	freeSince map[Shard]time.Time
	// Passive stops all renewals and takeovers by this process, and its requests to
	// other processes to yield.
	Passive bool
	// Capacity is the capacity of this process. It is written into the process's claims.
	process.Capacity
	// lastRead is when all claims were last read.
	lastRead time.Time
}

// New returns a Tracker of a process that owns no shard.
func New(holder, address, incarnation string, started time.Time) *Tracker {
	return &Tracker{
		holder: holder, address: address, incarnation: incarnation, started: started,
		observed: map[Shard]*observed{}, owned: map[Shard]*owned{}, freeSince: map[Shard]time.Time{},
	}
}

// maxReadGap is the longest time between two reads after which an unchanged claim may
// still be considered expired. After a longer gap the TTL of every claim starts again,
// because its holder could not renew it either while the store was unavailable.
const maxReadGap = 1500 * time.Millisecond

// maxReadAge is the maximum age of the last read of the claims for a takeover. It is
// slightly more than the 600 ms between two reads.
const maxReadAge = 700 * time.Millisecond

// Observe takes all claims as returned by a completed read of the store, and returns
// the shards that this process has lost.
func (t *Tracker) Observe(now time.Time, rows []Row) (lost []Shard) {
	if now.Sub(t.lastRead) > maxReadGap {
		for _, s := range t.observed {
			s.changedAt = now
		}
	}
	t.lastRead = now
	for _, row := range rows {
		if t.ObserveClaim(now, row) {
			lost = append(lost, row.Shard)
		}
	}
	return lost
}

// ObserveClaim takes one stored claim, such as the one that made a renewal fail, and
// reports whether this process has lost its shard. It does not count as a read of the
// claims.
func (t *Tracker) ObserveClaim(now time.Time, row Row) bool {
	s := t.observed[row.Shard]
	if s == nil {
		s = &observed{}
		t.observed[row.Shard] = s
	}
	if row.Version > s.row.Version {
		if s.epochSince.IsZero() || row.Claim.Epoch != s.row.Claim.Epoch {
			s.epochSince = now
		}
		s.row, s.changedAt, s.takeoverFailed = row, now, false
	}
	return t.reconcileOwned(row)
}

// reconcileOwned compares a stored row with the ownership of this process, drops the
// ownership if the row has replaced it, and reports whether it did.
func (t *Tracker) reconcileOwned(row Row) bool {
	o := t.owned[row.Shard]
	if o == nil || row.Version <= o.version {
		return false
	}
	if row.Claim.Holder == t.holder && row.Claim.Incarnation == t.incarnation && row.Claim.Epoch == o.tenure.Epoch {
		// The row is a renewal of this process whose answer was lost.
		o.version = row.Version
		return false
	}
	delete(t.owned, row.Shard)
	return true
}

// Plan returns the renewals and takeovers that are due.
func (t *Tracker) Plan(now time.Time, shards []Shard) []Write {
	if t.Passive {
		return nil
	}
	var writes []Write
	for shard, o := range t.owned {
		if now.Sub(o.lastAttempt) < RenewInterval {
			continue
		}
		o.lastAttempt = now
		claim := o.claim
		claim.Renewals++
		o.claim = claim
		writes = append(writes, Write{Shard: shard, Expect: o.version, Claim: claim})
	}
	for _, shard := range shards {
		if t.owned[shard] == nil && t.takeoverDue(now, shard) {
			writes = append(writes, t.takeOver(shard))
		}
	}
	slices.SortFunc(writes, func(a, b Write) int {
		return cmp.Or(cmp.Compare(t.tieBreakDelay(a.Shard), t.tieBreakDelay(b.Shard)), cmp.Compare(a.Shard, b.Shard))
	})
	return writes
}

// takeoverDue reports whether this process may take a shard over now. Only a recent read
// shows that a shard is free: a write sent during an outage of the store may be carried
// out when the store returns, while Extend has kept the owner's claim valid.
func (t *Tracker) takeoverDue(now time.Time, shard Shard) bool {
	if now.Sub(t.lastRead) > maxReadAge {
		return false
	}
	s := t.observed[shard]
	switch {
	case s == nil || s.row.Claim.Released || t.lastRead.Sub(s.changedAt) > ClaimTTL:
	case s.row.Claim.Holder == t.holder && s.row.Claim.Incarnation != t.incarnation && !s.takeoverFailed:
		return true // held by a previous incarnation of this process
	default:
		delete(t.freeSince, shard)
		return false
	}
	if t.freeSince[shard].IsZero() {
		t.freeSince[shard] = now
	}
	return now.Sub(t.freeSince[shard]) >= t.takeoverDelay(now, shard)
}

// takeoverDelay returns how long this process leaves a free shard to others. Older
// processes wait longer: where processes are restarted in turn, one that has recently
// restarted is not restarted again soon.
func (t *Tracker) takeoverDelay(now time.Time, shard Shard) time.Duration {
	age := min(now.Sub(t.started)/ageDivisor, maxAgeDelay)
	return time.Duration(len(t.owned))*delayPerShard + age + capacityDelay(t.Capacity) + t.tieBreakDelay(shard)
}

// tieBreakDelay returns a delay below maxTieBreakDelay that depends on process and shard,
// so that processes begin with different shards.
func (t *Tracker) tieBreakDelay(shard Shard) time.Duration {
	return time.Duration(xxhash.Sum64String(t.holder+"/"+string(shard)) % uint64(maxTieBreakDelay))
}

// takeOver returns the write that makes this process the owner of a shard.
func (t *Tracker) takeOver(shard Shard) Write {
	w := Write{Shard: shard, Takeover: true, Claim: Claim{
		Holder: t.holder, Address: t.address, Incarnation: t.incarnation, Epoch: 1, Capacity: t.Capacity,
	}}
	if s := t.observed[shard]; s != nil {
		w.Expect = s.row.Version
		w.Claim.Epoch = s.row.Claim.Epoch + 1
		w.SameHolder = s.row.Claim.Holder == t.holder
	}
	return w
}

// Committed records that a write sent at the given time took effect, and returns the
// tenure if the write begins one.
func (t *Tracker) Committed(sent time.Time, w Write, version Version) (Tenure, bool) {
	if !w.Takeover {
		if o := t.owned[w.Shard]; o != nil {
			o.version, o.renewedAt = version, sent
		}
		return Tenure{}, false
	}
	tenure := Tenure{Shard: w.Shard, Epoch: w.Claim.Epoch, Fence: version}
	if s := t.observed[w.Shard]; s != nil {
		tenure.PreviousHolder = s.row.Claim.Holder
	}
	t.owned[w.Shard] = &owned{tenure: tenure, version: version, claim: w.Claim, renewedAt: sent, lastAttempt: sent}
	delete(t.freeSince, w.Shard)
	return tenure, true
}

// TakeoverFailed records that a takeover failed or had no answer. The row may have
// changed since the last read, or may be this process's claim that a later read finds.
func (t *Tracker) TakeoverFailed(now time.Time, w Write) {
	delete(t.freeSince, w.Shard)
	if s := t.observed[w.Shard]; s != nil && s.row.Version == w.Expect {
		s.row.Claim.Released = false
		s.changedAt, s.takeoverFailed = now, true
	}
}

// Release returns the write that gives up a shard, if this process owns it.
func (t *Tracker) Release(shard Shard) (Write, bool) {
	o := t.owned[shard]
	if o == nil {
		return Write{}, false
	}
	claim := o.claim
	claim.Released = true
	return Write{Shard: shard, Expect: o.version, Claim: claim}, true
}

// Drop ends the ownership of a shard without a write.
func (t *Tracker) Drop(shard Shard) { delete(t.owned, shard) }

// Valid reports whether this process certainly still owns a shard. It checks both the
// monotonic clock and the wall clock, because the monotonic clock may stop while the
// machine is suspended.
func (t *Tracker) Valid(now time.Time, shard Shard) bool {
	o := t.owned[shard]
	return o != nil && now.Sub(o.renewedAt) < validity && now.Round(0).Sub(o.renewedAt.Round(0)) < validity
}

// abandonAfter is how long a process tries to renew a claim before it drops the shard.
// It gives no orders for the shard once the claim is invalid.
const abandonAfter = 30 * time.Second

// MayRenew reports whether this process owns a shard whose claim it may still renew.
func (t *Tracker) MayRenew(now time.Time, shard Shard) bool {
	o := t.owned[shard]
	return o != nil && now.Sub(o.renewedAt) < abandonAfter
}

// OldestRenewal returns when the least recently renewed claim of this process was
// renewed, and false if it owns no shard.
func (t *Tracker) OldestRenewal() (time.Time, bool) {
	var oldest time.Time
	for _, o := range t.owned {
		if oldest.IsZero() || o.renewedAt.Before(oldest) {
			oldest = o.renewedAt
		}
	}
	return oldest, !oldest.IsZero()
}

// ReleaseAll returns the writes that give up all shards of this process.
func (t *Tracker) ReleaseAll() []Write {
	var writes []Write
	for shard := range t.owned {
		w, _ := t.Release(shard)
		writes = append(writes, w)
	}
	return writes
}

// Owner returns the last known claim of a shard, unless it is released.
func (t *Tracker) Owner(shard Shard) (Claim, bool) {
	s := t.observed[shard]
	if s == nil || s.row.Claim.Released {
		return Claim{}, false
	}
	return s.row.Claim, true
}

// Claimed returns all shards that have a claim in the store, in ascending order.
func (t *Tracker) Claimed() []Shard { return slices.Sorted(maps.Keys(t.observed)) }

// Peers returns the addresses of the other processes that hold claims.
func (t *Tracker) Peers() []string {
	var addresses []string
	for _, s := range t.observed {
		if a := s.row.Claim.Address; a != t.address && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	slices.Sort(addresses)
	return addresses
}
