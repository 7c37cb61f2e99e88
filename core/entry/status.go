package entry

import (
	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/service"
)

// Status is the status of an entry as reported to operators.
type Status struct {
	Entry    fleet.EntryID `json:"entry"`
	Version  fleet.Version `json:"version"`
	Active   int           `json:"active"`
	Stopping bool          `json:"stopping"`
	// UnfiledLines is the number of book lines not yet stored on the platform.
	UnfiledLines int             `json:"unfiledLines"`
	Services     []ServiceStatus `json:"services"`
}

// ServiceStatus is the status of one service at an entry.
type ServiceStatus struct {
	Service service.ID `json:"service"`
	Queued  int        `json:"queued"`
	// Busy, Held, Lent and Borrowed are numbers of slots.
	Busy     int `json:"busy"`
	Held     int `json:"held"`
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"`
	Runners  int `json:"runners"`
	// Ejected lists the runners ejected for consecutive failures, Leaving those
	// that get no new requests.
	Ejected []runner.ID `json:"ejected,omitempty"`
	Leaving []runner.ID `json:"leaving,omitempty"`
}

// Status returns a snapshot of the entry's status.
func (s *State) Status() Status {
	out := Status{Entry: s.self, Version: s.Version(), Active: s.active, Stopping: s.stopping}
	for _, config := range s.configuredServices() {
		out.Services = append(out.Services, s.services[config.ID].status())
	}
	return out
}

func (svc *serviceState) status() ServiceStatus {
	out := ServiceStatus{
		Service: svc.config.ID,
		Queued:  svc.queue.Len(),
		Runners: len(svc.runners),
	}
	for _, r := range svc.runners {
		out.Busy += r.allocator.Busy().Count()
		out.Held += r.allocator.Held().Count()
		out.Lent += r.allocator.Lent().Count()
		out.Borrowed += r.allocator.Borrowed().Count()
		if r.health.IsEjected() {
			out.Ejected = append(out.Ejected, r.config.ID)
		}
		if r.leaving {
			out.Leaving = append(out.Leaving, r.config.ID)
		}
	}
	return out
}
