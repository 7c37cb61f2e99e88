package ownership

import (
	"fmt"
	"time"
)

// OutageThreshold is the age of the store's last answer from which on the store counts as
// unavailable to a process.
const OutageThreshold = 900 * time.Millisecond

// PeerReport is what another process has answered to an Inquiry.
type PeerReport struct {
	// StoreAge is the time since the store last answered the process, directly or through
	// a peer.
	StoreAge time.Duration
	// Ended is true if no process listens at the address any more. A later one reads the
	// claims anew, and takes none over within ClaimTTL of that.
	Ended bool
}

// Inquiry asks all other processes during an outage of the store whether it is unavailable
// to them as well.
type Inquiry struct {
	SentAt time.Time
	// LastResponse is when the store last answered this process.
	LastResponse time.Time
	// Peers are the addresses of all known processes but this one, Reports their answers.
	// Peers that have not answered are missing from Reports.
	Peers   []string
	Reports map[string]PeerReport
}

// Extend renews the ownerships of this process as of an inquiry during an outage of the
// store, and returns "" or why it does not. No other process can have taken a shard over if
// the store was unavailable to every one: silence shows nothing, as a process that is cut off
// from this one may reach the store. An ownership that had expired by the store's last answer
// to any process is not extended, because another one may have replaced its claim before.
func (t *Tracker) Extend(q Inquiry) (refusal string) {
	if len(q.Peers) == 0 {
		return "no other process is known"
	}
	answered := q.LastResponse
	for _, peer := range q.Peers {
		report, ok := q.Reports[peer]
		switch {
		case !ok:
			return fmt.Sprintf("peer %s has not answered", peer)
		case report.Ended:
		case report.StoreAge < OutageThreshold:
			return fmt.Sprintf("peer %s reaches the store", peer)
		default:
			if at := q.SentAt.Add(-report.StoreAge); at.After(answered) {
				answered = at
			}
		}
	}
	for _, o := range t.owned {
		if q.SentAt.After(o.renewedAt) && answered.Sub(o.renewedAt) < ClaimTTL {
			o.renewedAt = q.SentAt
		}
	}
	return ""
}

// ReportOutage records that this process reports the store as unavailable to a peer, which
// may then extend its ownerships by ClaimTTL. Claims that this process has read do not expire
// before that.
func (t *Tracker) ReportOutage(now time.Time) {
	for _, s := range t.observed {
		s.changedAt = now
	}
}
