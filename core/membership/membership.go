// Package membership tracks which entries of the fleet are alive, and orders them for an
// entry that needs the help of another one. It performs no I/O: a Tracker takes the rows
// that all entries write about themselves.
//
// # Usage
//
//	tracker := membership.New("entry-1", "zone-a")
//	tracker.Observe(time.Now(), members)
//	for _, peer := range tracker.Peers(time.Now()) {
//		// ask peer.Address
//	}
package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzestair/core/job"
	"bronzestair/core/process"
)

const (
	// RefreshInterval is the period at which an entry writes its row.
	RefreshInterval = 15 * time.Second
	// Lifetime is how long an entry counts as a member after its row has changed. It
	// outlasts one missed refresh.
	Lifetime = 2*RefreshInterval + 10*time.Second
)

// Member is what an entry states about itself.
type Member struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Capacity is the entry's share of its machine's resources.
	process.Capacity
	// RowFormat is the newest format of stored rows that the entry reads. It is 0 in rows of versions
	// that did not state it.
	RowFormat job.RowFormat `json:"rowFormat,omitempty"`
	// Refreshes counts the writes of the row, so that each one changes it.
	Refreshes uint64 `json:"refreshes"`
}

// Tracker tracks the members for one entry. Use New.
type Tracker struct {
	name, dataCentre string
	members          map[string]observed
}

// observed is a member and when its row was last found to have changed.
type observed struct {
	Member
	changedAt time.Time
}

// New returns the tracker of an entry in a data centre. It knows no members.
func New(name, dataCentre string) *Tracker {
	return &Tracker{name: name, dataCentre: dataCentre, members: map[string]observed{}}
}

// Observe takes rows that have changed since the last call, and drops the members whose
// rows have not changed for Lifetime.
func (t *Tracker) Observe(now time.Time, changed []Member) {
	for _, m := range changed {
		if known, ok := t.members[m.Name]; m.Name != "" && (!ok || known.Member != m) {
			t.members[m.Name] = observed{m, now}
		}
	}
	for name, m := range t.members {
		if now.Sub(m.changedAt) > Lifetime {
			delete(t.members, name)
		}
	}
}

// CommonRowFormat returns the newest format of stored rows that this entry and all members read, 0
// until the tracker has taken this entry's own row and with it those of the others.
func (t *Tracker) CommonRowFormat() job.RowFormat {
	own, ok := t.members[t.name]
	if !ok {
		return 0
	}
	common := own.RowFormat
	for _, m := range t.members {
		common = min(common, m.RowFormat)
	}
	return common
}

// Known returns the other members as of the last call of Observe, however long ago that was.
func (t *Tracker) Known() []Member {
	var out []Member
	for name, m := range t.members {
		if name != t.name {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Peers returns the other members, those of the own data centre first. Each entry gets
// them in an order of its own, so that entries that need help at the same time do not all
// ask the same peer, and the larger ones more often at the front (weighted rendezvous
// hashing).
func (t *Tracker) Peers(now time.Time) []Member {
	type candidate struct {
		Member
		remote bool
		score  float64
	}
	var candidates []candidate
	for _, m := range t.members {
		if m.Name == t.name || now.Sub(m.changedAt) > Lifetime {
			continue
		}
		candidates = append(candidates, candidate{m.Member, m.DataCentre != t.dataCentre, t.score(m.Member)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.remote != b.remote && b.remote:
			return -1
		case a.remote != b.remote:
			return 1
		}
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Member, len(candidates))
	for i, c := range candidates {
		out[i] = c.Member
	}
	return out
}

// score ranks a member for this entry; the lowest is the best. A member with twice the
// processor time is the best one for twice as many entries.
func (t *Tracker) score(m Member) float64 {
	const hashRange = 1 << 64
	uniform := (float64(xxhash.Sum64String(t.name+"/"+m.Name)) + 1) / hashRange
	cpus := m.CPUs
	if cpus == 0 {
		cpus = 1
	}
	return -math.Log(uniform) / cpus
}
