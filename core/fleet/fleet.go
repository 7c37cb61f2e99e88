// Package fleet defines the configuration that all entries share.
//
// # Usage
//
//	if err := f.Check(); err != nil {
//		return err
//	}
//	for _, r := range f.RunnersOf(seats) {
//		connect(r.Address)
//	}
package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/slot"
)

// Version is the version of a configuration. A higher version replaces a lower one.
type Version uint64

// EntryID is the id of an entry instance.
type EntryID string

// Entry is the configuration of an entry instance.
type Entry struct {
	ID          EntryID           `json:"id"`
	PeerAddress netip.AddrPort    `json:"peerAddress"`
	DataCentre  runner.DataCentre `json:"dataCentre,omitempty"`
	// OperatorAddress serves the entry's status to operators.
	OperatorAddress netip.AddrPort `json:"operatorAddress,omitzero"`
}

// Exception overrides the default limits for one service.
type Exception struct {
	Service service.ID `json:"service"`
	service.Limits
	// Reason is the operator's reason for the exception.
	Reason string `json:"reason"`
}

// Fleet is the complete configuration of a fleet: its entries, services and
// runners. In package maintenance, "fleet" means the set of instances itself.
type Fleet struct {
	// Version is assigned by the platform. It is 0 in a configuration file.
	Version    Version           `json:"version,omitempty"`
	Entries    []Entry           `json:"entries"`
	Defaults   service.Limits    `json:"defaults"`
	Exceptions []Exception       `json:"exceptions,omitempty"`
	Services   []service.Service `json:"services"`
	Runners    []runner.Runner   `json:"runners"`
}

// ResolveLimits sets the limits of every service from its exception and the defaults.
func (f *Fleet) ResolveLimits() {
	exceptions := map[service.ID]service.Limits{}
	for _, e := range f.Exceptions {
		exceptions[e.Service] = e.Limits
	}
	for i := range f.Services {
		s := &f.Services[i]
		s.Limits = exceptions[s.ID].WithDefaults(f.Defaults)
	}
}

// EntryIDs returns the ids of all entries.
func (f *Fleet) EntryIDs() []EntryID {
	ids := make([]EntryID, len(f.Entries))
	for i, e := range f.Entries {
		ids[i] = e.ID
	}
	return ids
}

// RunnerAddresses returns the addresses of all runners.
func (f *Fleet) RunnerAddresses() map[netip.AddrPort]bool {
	addresses := make(map[netip.AddrPort]bool, len(f.Runners))
	for _, r := range f.Runners {
		addresses[r.Address] = true
	}
	return addresses
}

// RunnersOf returns the runners in the pool of a service.
func (f *Fleet) RunnersOf(s service.Service) []runner.Runner {
	var out []runner.Runner
	for _, r := range f.Runners {
		if r.Pool == s.Pool {
			out = append(out, r)
		}
	}
	return out
}

// Check returns all errors in the configuration, joined, or nil.
func (f *Fleet) Check() error {
	var errs []error
	errs = append(errs, f.checkEntries()...)
	errs = append(errs, f.checkServices()...)
	errs = append(errs, f.checkExceptions()...)
	errs = append(errs, f.checkRunners()...)
	return errors.Join(errs...)
}

func (f *Fleet) checkEntries() []error {
	var errs []error
	seen := map[EntryID]bool{}
	if len(f.Entries) == 0 {
		errs = append(errs, errors.New("fleet has no entries"))
	}
	for i, e := range f.Entries {
		if e.ID == "" {
			errs = append(errs, fmt.Errorf("entries[%d] has no id", i))
		}
		if seen[e.ID] {
			errs = append(errs, fmt.Errorf("entry %q stands twice", e.ID))
		}
		if !e.PeerAddress.IsValid() {
			errs = append(errs, fmt.Errorf("entry %q has no peerAddress", e.ID))
		}
		seen[e.ID] = true
	}
	return errs
}

func (f *Fleet) checkServices() []error {
	var errs []error
	seen := map[service.ID]bool{}
	serviceOfPool := map[service.PoolID]service.ID{}
	for i, s := range f.Services {
		if s.ID == "" || s.Pool == "" {
			errs = append(errs, fmt.Errorf("services[%d] needs an id and a pool", i))
			continue
		}
		if seen[s.ID] {
			errs = append(errs, fmt.Errorf("service %q stands twice", s.ID))
		}
		if other, ok := serviceOfPool[s.Pool]; ok && other != s.ID {
			errs = append(errs, fmt.Errorf("pool %q already serves %q, so %q cannot draw on it", s.Pool, other, s.ID))
		}
		if s.DefaultTimeout() > s.LongestTimeout() {
			errs = append(errs, fmt.Errorf("service %q has a timeout of %v over its maxTimeout of %v", s.ID, s.DefaultTimeout(), s.LongestTimeout()))
		}
		if s.QueueLength < 0 || s.MaxAttempts < 0 {
			errs = append(errs, fmt.Errorf("service %q has a negative queueLength or maxAttempts", s.ID))
		}
		seen[s.ID] = true
		serviceOfPool[s.Pool] = s.ID
	}
	return errs
}

func (f *Fleet) checkExceptions() []error {
	var errs []error
	known := map[service.ID]bool{}
	for _, s := range f.Services {
		known[s.ID] = true
	}
	seen := map[service.ID]bool{}
	for _, e := range f.Exceptions {
		switch {
		case !known[e.Service]:
			errs = append(errs, fmt.Errorf("the exception for service %q is for none that exists", e.Service))
		case seen[e.Service]:
			errs = append(errs, fmt.Errorf("service %q has two exceptions", e.Service))
		case strings.TrimSpace(e.Reason) == "":
			errs = append(errs, fmt.Errorf("the exception for service %q has no reason", e.Service))
		case e.Limits == service.Limits{}:
			errs = append(errs, fmt.Errorf("the exception for service %q changes nothing", e.Service))
		}
		seen[e.Service] = true
	}
	return errs
}

func (f *Fleet) checkRunners() []error {
	var errs []error
	pools := map[service.PoolID]bool{}
	for _, s := range f.Services {
		pools[s.Pool] = true
	}
	seen := map[runner.ID]bool{}
	for _, r := range f.Runners {
		if err := r.Check(slot.MaxPerRunner); err != nil {
			errs = append(errs, err)
		}
		if seen[r.ID] {
			errs = append(errs, fmt.Errorf("runner %q is in two places", r.ID))
		}
		if !pools[r.Pool] {
			errs = append(errs, fmt.Errorf("runner %q is in pool %q, on which no service draws", r.ID, r.Pool))
		}
		if r.ConnectionShare(len(f.Entries)) < 1 {
			errs = append(errs, fmt.Errorf("runner %q has fewer connections than there are entries", r.ID))
		}
		seen[r.ID] = true
	}
	return errs
}
