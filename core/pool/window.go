package pool

import "time"

// window bounds the starts that wait for their answer by how long they take. It
// answers a link that carries less than the owner's size says: payloads that are
// long, other pools of the same owner, a neighbour on the machine. The zero value
// lets as many wait as the size allows.
type window struct {
	// lack is how far below the most the bound is.
	lack float64
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
	// leastPart of the starts may be waited for even if all take long.
	leastPart = 8
)

// bound returns how many starts may wait for their answer, at most most.
func (w *window) bound(most int) float64 { return float64(most) - w.lack }

// observe notes how long a start took, with or without an answer.
func (w *window) observe(took time.Duration, most int) {
	change := -opening / w.bound(most)
	if took >= lateStart {
		change = closing
	}
	w.lack = max(0, min(w.lack+change, float64(most-most/leastPart)))
}
