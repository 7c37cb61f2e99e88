package manager

import (
	"context"
	"slices"
	"time"

	"bronzestair/core/ownership"
)

// extendInOutage extends this entry's ownerships during an outage of the store, if all other
// entries report that it is unavailable to them, too.
func (m *Manager) extendInOutage(ctx context.Context) {
	m.mu.Lock()
	oldest, found := m.tracker.OldestRenewal()
	m.mu.Unlock()
	q := ownership.Inquiry{SentAt: time.Now(), LastResponse: m.store.LastResponse()}
	if !found || q.SentAt.Sub(oldest) < ownership.OutageThreshold || q.SentAt.Sub(q.LastResponse) < ownership.OutageThreshold {
		m.extensionRefusal = ""
		return
	}
	q.Peers = m.allPeers()
	q.Reports = m.peers.StoreAges(ctx, q.Peers)
	m.mu.Lock()
	refusal := m.tracker.Extend(q)
	m.mu.Unlock()
	if refusal != m.extensionRefusal {
		m.logger.Warn("claims are not extended in the outage", "reason", refusal, "storeAge", q.SentAt.Sub(q.LastResponse), "renewedBefore", q.SentAt.Sub(oldest))
	}
	m.extensionRefusal = refusal
}

// allPeers returns the addresses of all other entries as of the last reads of the members and
// the claims. During an outage, members count as such for as long as it lasts.
func (m *Manager) allPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := m.tracker.Peers()
	for _, member := range m.members.Known() {
		if member.Address != m.options.Address && !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
