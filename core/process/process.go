// Package process describes the machine resources of one process of the system, as
// far as decisions depend on them.
//
// # Usage
//
//	capacity := process.Capacity{CPUs: 0.8, LinkRate: 10 * process.MegabitPerSecond}
//	perSecond := capacity.LinkRate.MessagesPerSecond(700 * process.Byte)
package process

import "time"

// Bytes is an amount of data in bytes.
type Bytes float64

const Byte Bytes = 1

// BitRate is a data rate in bits per second.
type BitRate float64

// MegabitPerSecond is one million bits per second.
const MegabitPerSecond BitRate = 1e6

const bitsPerByte = 8

// MessagesPerSecond returns how many messages of the given size can be sent per second.
func (r BitRate) MessagesPerSecond(size Bytes) float64 {
	return float64(r) / bitsPerByte / float64(size)
}

// MessagesWithin returns how many messages of the given size can be sent within d.
func (r BitRate) MessagesWithin(d time.Duration, size Bytes) float64 {
	return r.MessagesPerSecond(size) * d.Seconds()
}

// Capacity is the processor time and network bandwidth of a process. The zero value
// is a process with a full core and an unlimited link.
type Capacity struct {
	// CPUs is the processor time in cores; 0 means a full core.
	CPUs float64 `json:"share,omitempty"`
	// LinkRate is the rate of the network link; 0 means unlimited.
	LinkRate BitRate `json:"link,omitempty"`
}
