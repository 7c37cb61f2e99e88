package ownership

import (
	"time"

	"bronzestair/core/process"
)

// Processes with more capacity take precedence as owners of pools. The scarcer of
// processor time and link rate counts most: an owner with a saturated link hears from
// its runners too late, however little of its processor it uses.
const (
	// sufficientCPUs and sufficientLinkRate are what a process needs to own a pool of
	// about 100 runners without falling behind: 1,300 starts per second of 1 KB each,
	// plus half as much for the answers to calls and for the tables that it follows.
	sufficientCPUs     = 0.4
	sufficientLinkRate = 16 * process.MegabitPerSecond
	// maxScarceDelay scales the delay for the missing part of the scarcer of the two,
	// maxAmpleDelay the delay for the missing part of the other.
	maxScarceDelay = 1200 * time.Millisecond
	maxAmpleDelay  = 300 * time.Millisecond
	// minHoldTime is how long a shard stays with its holder before a process with more
	// capacity asks it to yield, because each change of owner costs the pool a second.
	minHoldTime = 4 * time.Second
	// minYieldRatio is the minimum ratio of a process's capacity to the holder's at
	// which the process asks the holder to yield.
	minYieldRatio = 2
)

// capacityFractions returns the fractions, at most 1, of sufficientCPUs and
// sufficientLinkRate that a process has. The smaller of the two comes first.
func capacityFractions(c process.Capacity) (scarce, ample float64) {
	cpu, link := 1.0, 1.0
	if c.CPUs > 0 {
		cpu = min(1, c.CPUs/sufficientCPUs)
	}
	if c.LinkRate > 0 {
		link = min(1, float64(c.LinkRate/sufficientLinkRate))
	}
	return min(cpu, link), max(cpu, link)
}

// capacityDelay returns how long a process leaves a free shard to processes with more
// capacity.
func capacityDelay(c process.Capacity) time.Duration {
	scarce, ample := capacityFractions(c)
	return time.Duration((1-scarce)*float64(maxScarceDelay) + (1-ample)*float64(maxAmpleDelay))
}

// justifiesYield reports whether the capacity of this process exceeds that of a shard's
// holder by so much that the holder should yield.
func justifiesYield(own, holder process.Capacity) bool {
	ownScarce, _ := capacityFractions(own)
	holderScarce, _ := capacityFractions(holder)
	return ownScarce >= minYieldRatio*holderScarce
}

// YieldCandidate returns a shard that its holder should yield to this process, and the
// holder's address. The shard is empty if there is none. Only a process that owns no shard
// asks others to yield.
func (t *Tracker) YieldCandidate(now time.Time, shards []Shard) (Shard, string) {
	if t.Passive || len(t.owned) > 0 {
		return "", ""
	}
	best, address := Shard(""), ""
	for _, shard := range shards {
		s := t.observed[shard]
		if s == nil || s.row.Claim.Released || now.Sub(s.epochSince) < minHoldTime || !justifiesYield(t.Capacity, s.row.Claim.Capacity) {
			continue
		}
		if best == "" || t.tieBreakDelay(shard) < t.tieBreakDelay(best) {
			best, address = shard, s.row.Claim.Address
		}
	}
	return best, address
}
