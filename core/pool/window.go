package pool

import "time"

// window bounds the starts that wait for their answer by how long they take. It
// answers a link that carries less than the owner's size says: payloads that are
// long, other pools of the same owner, a neighbour on the machine. The zero value
// begins with the least and opens fast until a start takes long.
type window struct {
	// gained is how far the bound is above the least.
	gained float64
	// full is true once a start has taken long.
	full bool
}

const (
	// lateStart is twice what starts may wait for each other by the size of the
	// owner's link, and well below the timeout of an order.
	lateStart = 2 * startQueue
	// Each time as many starts are over as may be waited for, the bound falls by
	// half if all took long, and rises by four if none did. So a few slow runners,
	// one start in ten, leave some seventy to wait for.
	closing = 0.5
	opening = 4
	// leastPart of the starts, and leastStarts, may be waited for even if all take
	// long: leastStarts pass a link of 4 Mbit/s in a fifteenth of an order's timeout.
	leastPart   = 8
	leastStarts = 16
)

// least returns how many starts may always wait for their answer.
func least(most int) float64 { return float64(min(most, max(leastStarts, most/leastPart))) }

// bound returns how many starts may wait for their answer, at most most.
func (w *window) bound(most int) float64 { return least(most) + w.gained }

// observe notes how long a start took, with or without an answer.
func (w *window) observe(took time.Duration, most int) {
	change := 1.0 // doubles the bound as often as so many starts are over
	switch {
	case took >= lateStart:
		change = -closing
		w.full = true
	case w.full:
		change = opening / w.bound(most)
	}
	w.gained = max(0, min(w.gained+change, float64(most)-least(most)))
}
