// Package runner describes the backend servers that run requests, and picks one.
//
// # Usage
//
//	var picker runner.Picker = runner.TwoChoices{}
//	best, ok := picker.Pick(loads, random)
package runner

import (
	"fmt"
	"net/netip"

	"bronzestair/core/service"
)

// ID names a runner.
type ID string

// Rack names a rack of instances, which fail together.
type Rack string

// DataCentre names a data centre.
type DataCentre string

const (
	defaultSlots       = 8
	defaultConnections = 64
)

// Runner is a backend server as the fleet's configuration describes it.
//
// The zero values of Slots and Connections stand for 8 and 64.
type Runner struct {
	ID         ID             `json:"id"`
	Pool       service.PoolID `json:"pool"`
	Address    netip.AddrPort `json:"address"`
	Rack       Rack           `json:"rack,omitempty"`
	DataCentre DataCentre     `json:"dataCentre,omitempty"`
	// Slots is the most requests in flight, counted over all entries.
	Slots int `json:"slots,omitempty"`
	// Connections is the most connections, counted over all entries.
	Connections int `json:"connections,omitempty"`
}

// SlotCount returns the number of slots.
func (r Runner) SlotCount() int {
	if r.Slots == 0 {
		return defaultSlots
	}
	return r.Slots
}

// ConnectionShare returns the most connections of one entry out of entries.
func (r Runner) ConnectionShare(entries int) int {
	total := r.Connections
	if total == 0 {
		total = defaultConnections
	}
	return total / max(entries, 1)
}

// Check returns what is wrong with the runner, nil if nothing is.
func (r Runner) Check(maxSlots int) error {
	switch {
	case r.ID == "":
		return fmt.Errorf("runner has no id")
	case !r.Address.IsValid():
		return fmt.Errorf("runner %q has no address", r.ID)
	case r.SlotCount() < 0 || r.SlotCount() > maxSlots:
		return fmt.Errorf("runner %q has %d slots, not 1 to %d", r.ID, r.SlotCount(), maxSlots)
	case r.Connections < 0:
		return fmt.Errorf("runner %q has %d connections", r.ID, r.Connections)
	}
	return nil
}
