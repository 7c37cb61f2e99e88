package runner

// Load is the load of one runner as seen by this entry.
type Load struct {
	// Busy is the number of requests in flight from this entry.
	Busy int
	// Free is the number of slots on which this entry may start a request.
	Free int
	// Latency is the moving average of the latency, in nanoseconds.
	Latency float64
}

// score estimates the latency of a new request.
func (l Load) score() float64 { return float64(l.Busy+1) * l.Latency }

// Picker selects one of the runners with a free slot.
type Picker interface {
	// Pick returns an index into loads, or false if no runner has a free slot.
	Pick(loads []Load, random uint64) (int, bool)
}

// TwoChoices picks the runner with the lower score out of two random ones with a
// free slot, after Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing" (2001).
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(loads []Load, random uint64) (int, bool) {
	usable := countUsable(loads)
	if usable == 0 {
		return 0, false
	}
	first := nthUsable(loads, int(uint32(random))%usable)
	if usable == 1 {
		return first, true
	}
	other := int(uint32(random>>32)) % (usable - 1)
	second := nthUsable(loads, other)
	if second == first {
		second = nthUsable(loads, usable-1)
	}
	if loads[second].score() < loads[first].score() {
		return second, true
	}
	return first, true
}

// LeastLoaded picks the runner with the lowest score among all that have a free
// slot. Ties go to the first one after a random start.
type LeastLoaded struct{}

// Pick implements Picker.
func (LeastLoaded) Pick(loads []Load, random uint64) (int, bool) {
	best := -1
	n := len(loads)
	for k := range n {
		i := (k + int(uint32(random))) % n
		if loads[i].Free == 0 {
			continue
		}
		if best < 0 || loads[i].score() < loads[best].score() {
			best = i
		}
	}
	return best, best >= 0
}

func countUsable(loads []Load) int {
	n := 0
	for i := range loads {
		if loads[i].Free > 0 {
			n++
		}
	}
	return n
}

func nthUsable(loads []Load, n int) int {
	for i := range loads {
		if loads[i].Free == 0 {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
