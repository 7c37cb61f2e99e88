package pool

import "math"

// meetable decides which jobs of a list in the order of their due times can start in time if
// the admitted ones run in that order. It is a binary tree over the positions in the list. The
// zero value is ready for reset.
type meetable struct {
	// leaves is the number of positions, rounded up to a power of two. Node 1 is the root,
	// node n has the children 2n and 2n+1, and the leaves begin at node leaves.
	leaves int
	nodes  []meetableNode
}

// meetableNode summarises the admitted jobs of a range of positions.
type meetableNode struct {
	// work is their work in millicore-seconds.
	work float64
	// slack is how much more work may precede the range before one of them starts late.
	slack float64
}

// reset removes all jobs and makes room for a list of n.
func (m *meetable) reset(n int) {
	m.leaves = 1
	for m.leaves < n {
		m.leaves *= 2
	}
	if cap(m.nodes) < 2*m.leaves {
		m.nodes = make([]meetableNode, 2*m.leaves)
	}
	m.nodes = m.nodes[:2*m.leaves]
	for i := range m.nodes {
		m.nodes[i] = meetableNode{slack: math.Inf(1)}
	}
}

// admit adds the job at a position if it and all jobs admitted before still start in time, and
// reports whether it did. slack is how much work may precede the job.
func (m *meetable) admit(position int, slack, work float64) bool {
	m.set(position, meetableNode{work: work, slack: slack})
	if m.nodes[1].slack >= 0 {
		return true
	}
	m.set(position, meetableNode{slack: math.Inf(1)})
	return false
}

func (m *meetable) set(position int, node meetableNode) {
	i := m.leaves + position
	m.nodes[i] = node
	for i /= 2; i > 0; i /= 2 {
		left, right := m.nodes[2*i], m.nodes[2*i+1]
		m.nodes[i] = meetableNode{work: left.work + right.work, slack: min(left.slack, right.slack-left.work)}
	}
}
