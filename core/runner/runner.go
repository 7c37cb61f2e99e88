// Package runner describes the backend servers that execute requests, tracks
// their health and selects one for a request.
//
// # Usage
//
//	var picker runner.Picker = runner.TwoChoices{}
//	if i, ok := picker.Pick(loads, random); ok {
//		send(request, runners[i])
//	}
package runner

import (
	"fmt"
	"net/netip"

	"bronzestair/core/service"
)

// ID is the id of a runner.
type ID string

// Rack is the name of a rack. The instances of a rack share a failure domain.
type Rack string

// DataCentre is the name of a data centre.
type DataCentre string

const (
	defaultSlots       = 8
	defaultConnections = 64
)

// Runner is the configuration of a backend server. Slots defaults to 8 and
// Connections to 64.
type Runner struct {
	ID         ID             `json:"id"`
	Pool       service.PoolID `json:"pool"`
	Address    netip.AddrPort `json:"address"`
	Rack       Rack           `json:"rack,omitempty"`
	DataCentre DataCentre     `json:"dataCentre,omitempty"`
	// Slots is the largest number of requests in flight, from all entries together.
	Slots int `json:"slots,omitempty"`
	// Connections is the largest number of connections, from all entries together.
	Connections int `json:"connections,omitempty"`
}

// SlotCount returns the number of slots, or the default if it is not set.
func (r Runner) SlotCount() int {
	if r.Slots == 0 {
		return defaultSlots
	}
	return r.Slots
}

// ConnectionShare returns the number of connections that each of the given
// number of entries may open.
func (r Runner) ConnectionShare(entries int) int {
	total := r.Connections
	if total == 0 {
		total = defaultConnections
	}
	return total / max(entries, 1)
}

// Check returns the first error in the runner's configuration, or nil.
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
