package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partitionModel plays processes in virtual time that lose the store and each other in any
// combination, are paused, and end and begin again. Writes may be carried out late.
type partitionModel struct {
	random    *rand.Rand
	now       time.Time
	stored    Row
	late      []Write
	processes []*modelProcess
	// extend decides on the extension of claims; it is Tracker.Extend or a faulty rule.
	extend func(*Tracker, Inquiry) string
	linked [][]bool
}

type modelProcess struct {
	*Tracker
	address      string
	incarnation  int
	reachesStore bool
	running      bool
	pausedUntil  time.Time
	lastResponse time.Time
}

func newPartitionModel(seed uint64, extend func(*Tracker, Inquiry) string) *partitionModel {
	const processes = 4
	m := &partitionModel{random: rand.New(rand.NewPCG(seed, 7)), now: start, extend: extend}
	for n := range processes {
		p := &modelProcess{address: fmt.Sprintf("a:%d", n), reachesStore: true}
		m.processes = append(m.processes, p)
		m.begin(p)
		row := make([]bool, processes)
		for k := range row {
			row[k] = true
		}
		m.linked = append(m.linked, row)
	}
	return m
}

// begin starts a process, which knows nothing of before.
func (m *partitionModel) begin(p *modelProcess) {
	p.incarnation++
	p.running, p.lastResponse = true, m.now
	p.Tracker = New("entry-"+p.address, p.address, fmt.Sprint(p.incarnation), m.now)
}

// run plays the model and returns whether two processes held a valid claim at once.
func (m *partitionModel) run(steps int) bool {
	for range steps {
		m.now = m.now.Add(time.Duration(1+m.random.IntN(120)) * time.Millisecond)
		m.disturb()
		p := m.processes[m.random.IntN(len(m.processes))]
		if p.running && !m.now.Before(p.pausedUntil) {
			m.act(p)
		}
		valid := 0
		for _, p := range m.processes {
			if p.running && p.Valid(m.now, shard) {
				valid++
			}
		}
		if valid > 1 {
			return true
		}
	}
	return false
}

// disturb changes what is reachable, now and then for a part of the processes together.
func (m *partitionModel) disturb() {
	p := m.processes[m.random.IntN(len(m.processes))]
	switch m.random.IntN(60) {
	case 0:
		p.reachesStore = !p.reachesStore
	case 1:
		up := m.random.IntN(2) == 0
		for _, each := range m.processes {
			each.reachesStore = up
		}
	case 2: // a part is cut off from the store and the others, or all are together again
		part := m.random.IntN(1 << len(m.processes))
		for a := range m.processes {
			m.processes[a].reachesStore = part&(1<<a) == 0
			for b := range m.processes {
				m.linked[a][b] = part&(1<<a) == 0 == (part&(1<<b) == 0)
			}
		}
	case 3:
		p.pausedUntil = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
	case 4:
		if p.running {
			p.running = false
		} else {
			m.begin(p)
		}
	case 5:
		for _, w := range m.late {
			m.commit(w)
		}
		m.late = nil
	}
}

// commit performs a write if its condition holds.
func (m *partitionModel) commit(w Write) bool {
	if w.Expect != m.stored.Version {
		return false
	}
	m.stored = Row{Shard: shard, Claim: w.Claim, Version: m.stored.Version + 1}
	return true
}

// act lets a process do what the manager's loop does.
func (m *partitionModel) act(p *modelProcess) {
	if !p.reachesStore {
		m.late = append(m.late, p.Plan(m.now, []Shard{shard})...)
		m.inquire(p)
		return
	}
	p.lastResponse = m.now
	var rows []Row
	if m.stored.Version > 0 {
		rows = append(rows, m.stored)
	}
	p.Observe(m.now, rows)
	for _, w := range p.Plan(m.now, []Shard{shard}) {
		switch {
		case !m.commit(w):
			if w.Takeover {
				p.TakeoverFailed(m.now, w)
			} else {
				p.ObserveClaim(m.now, m.stored)
			}
		case m.random.IntN(4) > 0:
			p.Committed(m.now, w, m.stored.Version)
		}
	}
}

// inquire extends the claim of a process if the store counts as unavailable to it.
func (m *partitionModel) inquire(p *modelProcess) {
	oldest, found := p.OldestRenewal()
	if !found || m.now.Sub(oldest) < OutageThreshold || m.now.Sub(p.lastResponse) < OutageThreshold {
		return
	}
	q := Inquiry{SentAt: m.now, LastResponse: p.lastResponse, Reports: map[string]PeerReport{}}
	for n, peer := range m.processes {
		if peer == p {
			continue
		}
		q.Peers = append(q.Peers, peer.address)
		age := m.now.Sub(peer.lastResponse)
		switch {
		case !m.linked[m.index(p)][n] || m.now.Before(peer.pausedUntil):
		case !peer.running:
			q.Reports[peer.address] = PeerReport{Ended: true}
		default:
			q.Reports[peer.address] = PeerReport{StoreAge: age}
			if age >= OutageThreshold {
				peer.ReportOutage(m.now)
			}
		}
	}
	m.extend(p.Tracker, q)
}

func (m *partitionModel) index(p *modelProcess) int {
	for n, each := range m.processes {
		if each == p {
			return n
		}
	}
	return -1
}

// extendByOneAnswer is a rule by which the answer of a single peer suffices.
func extendByOneAnswer(t *Tracker, q Inquiry) string {
	q.Peers = nil
	for peer := range q.Reports {
		q.Peers = append(q.Peers, peer)
	}
	return t.Extend(q)
}

// TestOneValidOwnerInPartitions checks that no two processes hold a valid claim at once in any
// of many partitions, and that the same partitions show the fault of a rule that takes the
// silence of a peer for nothing.
func TestOneValidOwnerInPartitions(t *testing.T) {
	const seeds, steps = 400, 1500
	violations := func(extend func(*Tracker, Inquiry) string) (n int) {
		for seed := range uint64(seeds) {
			if newPartitionModel(seed, extend).run(steps) {
				n++
			}
		}
		return n
	}
	want(t, "seeds with two owners", violations((*Tracker).Extend), 0)
	if violations(extendByOneAnswer) == 0 {
		t.Error("no seed shows two owners although one answer suffices")
	}
}
