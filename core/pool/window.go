package pool

import "time"

// startWindow is a congestion window: it limits the starts in flight by how long
// starts take. It adapts to a link that carries less than the capacity of the owner
// suggests, because of long payloads, other pools of the same owner or another process
// on the machine. The zero value starts at the minimum and grows exponentially until
// the first congested start.
type startWindow struct {
	// aboveMin is the size of the window in excess of the minimum.
	aboveMin float64
	// slowStartOver is true once a start was congested.
	slowStartOver bool
}

const (
	// congestedStart is the duration from which a start counts as congested. It is
	// twice the time for which starts may queue on a link whose rate is known, and well
	// below the timeout of an order.
	congestedStart = 2 * maxStartDelay
	// For each window of completed starts, the window shrinks by half if all were
	// congested and grows by four if none was. With a few slow runners that make
	// one start in ten congested, it settles at about seventy.
	windowDecrease = 0.5
	windowIncrease = 4
	// The minimum window, even if all starts are congested, is the larger of
	// minWindowStarts and the limit divided by minWindowDivisor. A link of 4 Mbit/s
	// carries minWindowStarts starts in a fifteenth of an order's timeout.
	minWindowDivisor = 8
	minWindowStarts  = 16
)

// minWindow returns the minimum window, which never exceeds the limit.
func minWindow(limit int) float64 {
	return float64(min(limit, max(minWindowStarts, limit/minWindowDivisor)))
}

// bound returns the size of the window, at most limit.
func (w *startWindow) bound(limit int) float64 { return minWindow(limit) + w.aboveMin }

// observe adjusts the window by the duration of a start, with or without an answer.
func (w *startWindow) observe(took time.Duration, limit int) {
	change := 1.0 // doubles the window with each window of completed starts
	switch {
	case took >= congestedStart:
		change = -windowDecrease
		w.slowStartOver = true
	case w.slowStartOver:
		change = windowIncrease / w.bound(limit)
	}
	w.aboveMin = max(0, min(w.aboveMin+change, float64(limit)-minWindow(limit)))
}
