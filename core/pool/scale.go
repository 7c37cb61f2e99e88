package pool

import (
	"time"

	"bronzestair/core/process"
)

// Bytes per call in the busier direction of the owner's link, including HTTP and
// TCP headers. Measured on the grown Wrekin site with 350 runners
// (docs/design/machines.md).
const (
	// pollBytes is the size of an answer that lists some running tasks and ends.
	pollBytes = 750 * process.Byte
	// startBytes is the size of a start with a payload of about 600 bytes.
	startBytes = 1000 * process.Byte
)

const (
	// maxPollFactor and maxStartFactor limit the calls of an owner with delegates to
	// multiples of those of a full core, as the owner still decides on each and handles
	// each result.
	maxPollFactor  = 1.5
	maxStartFactor = 2.5
	// pollLinkShare is the share of the link for polls. The rest is left to starts,
	// the store and callers.
	pollLinkShare = 0.5
	// maxStartDelay is how long starts may queue on the link, a fifth of the timeout
	// of an order.
	maxStartDelay = 100 * time.Millisecond
)

// ScaledTo returns the options with the limits on calls scaled to the CPU share and
// the link of the process that owns the pool. The link matters as much as the CPU:
// calls that queue on a saturated link are answered after their timeouts.
func (o Options) ScaledTo(capacity process.Capacity) Options {
	polls, starts := float64(DefaultPollRate), float64(DefaultMaxStartsInFlight)
	if capacity.CPUs > 0 {
		polls *= min(capacity.CPUs, maxPollFactor)
		starts *= min(capacity.CPUs, maxStartFactor)
	}
	if capacity.LinkRate > 0 {
		polls = min(polls, pollLinkShare*capacity.LinkRate.MessagesPerSecond(pollBytes))
		starts = min(starts, capacity.LinkRate.MessagesWithin(maxStartDelay, startBytes))
	}
	o.PollRate, o.MaxStartsInFlight = max(1, int(polls)), max(1, int(starts))
	return o
}

// CapacityChanged reports the capacity of all processes that send the pool's calls.
type CapacityChanged struct {
	Capacity process.Capacity
}

// apply implements Event.
func (e *CapacityChanged) apply(p *Pool, _ time.Time) {
	p.options = p.options.ScaledTo(e.Capacity)
	p.dispatchNeeded = true
}
