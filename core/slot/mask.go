package slot

import "math/bits"

// Index is the number of a slot of one runner, from 0.
type Index uint8

// MaxPerRunner is the largest number of slots that a runner can have.
const MaxPerRunner = 64

// Mask is a set of slots of one runner, as a bit mask: bit i stands for slot i.
type Mask uint64

// With returns the set with slot i added.
func (m Mask) With(i Index) Mask { return m | 1<<i }

// Without returns the set with slot i removed.
func (m Mask) Without(i Index) Mask { return m &^ (1 << i) }

// Has reports whether slot i is in the set.
func (m Mask) Has(i Index) bool { return m&(1<<i) != 0 }

// Count returns the number of slots in the set.
func (m Mask) Count() int { return bits.OnesCount64(uint64(m)) }

// First returns the lowest slot in the set, which must not be empty.
func (m Mask) First() Index { return Index(bits.TrailingZeros64(uint64(m))) }
