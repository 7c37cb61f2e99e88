package pool

import "time"

// window bounds the starts that wait for their answer by how late answers are. It
// answers a link, or a process, that carries less than its size says: payloads
// that are long, other pools of the same owner, a neighbour on the machine. The
// zero value lets as many wait as the size allows.
type window struct {
	// lack is how far below the most the bound is.
	lack float64
}

const (
	// lateAnswer is twice what starts may wait for each other by the size of the
	// owner's link, and well below the timeout of an order.
	lateAnswer = 2 * startQueue
	// Each time as many answers have come as may be waited for, the bound falls by
	// half if all were late, and rises by four if none was. So a few slow runners,
	// one answer in ten, leave some seventy starts to wait for.
	closing = 0.5
	opening = 4
	// leastStarts keeps an owner going whose answers are all late.
	leastStarts = 4
)

// bound returns how many starts may wait for their answer, at most most.
func (w *window) bound(most int) float64 { return float64(most) - w.lack }

// observe notes the time that an answer took, or a timeout.
func (w *window) observe(took time.Duration, most int) {
	change := -opening / w.bound(most)
	if took >= lateAnswer {
		change = closing
	}
	w.lack = max(0, min(w.lack+change, float64(most-leastStarts)))
}
