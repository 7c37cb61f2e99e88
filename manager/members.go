package manager

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzestair/core/job"
	"bronzestair/core/membership"
	"bronzestair/core/table"
)

// memberTable holds a row of each entry, see package membership. All rows are in the part
// with the empty name.
const memberTable = "entries"

// firstWriteSpread is the time over which entries that start together spread their first
// writes: a part commits some 200 transactions a second.
const firstWriteSpread = 2 * time.Second

// maintainMembership writes this entry's row and reads those of the others until the
// context ends.
func (m *Manager) maintainMembership(ctx context.Context) {
	self := membership.Member{
		Name: m.options.Name, Address: m.options.Address, DataCentre: m.options.DataCentre, Capacity: m.options.Capacity,
		RowFormat: job.CompactRowFormat,
	}
	sleep(ctx, time.Duration(xxhash.Sum64String(self.Name)%uint64(firstWriteSpread)))
	m.writeMember(ctx, self)
	sleep(ctx, firstWriteSpread) // until the others have written theirs
	var version table.Version
	for ctx.Err() == nil {
		version = m.readMembers(ctx, version)
		sleep(ctx, membership.RefreshInterval)
		self.Refreshes++
		m.writeMember(ctx, self)
	}
}

// writeMember stores this entry's row, retrying until it succeeds.
func (m *Manager) writeMember(ctx context.Context, self membership.Member) {
	value, err := json.Marshal(self)
	if err != nil {
		m.logger.Error("cannot encode member", "error", err)
		return
	}
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		var tx table.Tx
		tx.Put(table.Key{Table: memberTable, Name: self.Name}, value)
		_, err := m.store.Commit(ctx, &tx)
		if err == nil {
			return
		}
		m.logger.Info("cannot write member", "error", err)
		sleep(ctx, retryBackoff.NextBackOff())
	}
}

// readMembers passes the members whose rows have changed after a version to the tracker,
// or all for version 0, and returns the version to continue from.
func (m *Manager) readMembers(ctx context.Context, after table.Version) table.Version {
	rows, version, err := m.changedMembers(ctx, after)
	if err != nil {
		m.logger.Info("cannot read members", "error", err)
		return after
	}
	var changed []membership.Member
	for _, row := range rows {
		var member membership.Member
		if row.Removed {
			continue
		}
		if err := json.Unmarshal(row.Value, &member); err != nil {
			m.logger.Error("cannot decode member", "row", row.Name, "error", err)
			continue
		}
		changed = append(changed, member)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.Observe(time.Now(), changed)
	return version
}

func (m *Manager) changedMembers(ctx context.Context, after table.Version) ([]table.Row, table.Version, error) {
	if after > 0 {
		page, err := m.store.Feed(ctx, memberTable, after, 0)
		var failed *table.Failure
		switch {
		case err == nil && len(page.Rows) == 0:
			return nil, after, nil
		case err == nil:
			return page.Rows, page.Version, nil
		case !errors.As(err, &failed) || !failed.HistoryLost:
			return nil, after, err
		}
	}
	return m.readPart(ctx, memberTable, "")
}

// readsCompactProgress reports whether all entries read the compact form of progress, as far as is
// known.
func (m *Manager) readsCompactProgress() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.CommonRowFormat() >= job.CompactRowFormat
}

// relayPeers returns the addresses of the peers that may relay calls to the store. Those
// that hold no claim come first, as the owners of pools have the most work of their own.
func (m *Manager) relayPeers() []string {
	out := []string{}
	for _, member := range m.membersWithoutClaims() {
		out = append(out, member.Address)
	}
	return append(out, m.otherEntries()...)
}

// membersWithoutClaims returns the other members that hold no claim, as far as is known.
func (m *Manager) membersWithoutClaims() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	holders := m.tracker.Peers()
	return slices.DeleteFunc(m.members.Peers(time.Now()), func(member membership.Member) bool {
		return slices.Contains(holders, member.Address)
	})
}
