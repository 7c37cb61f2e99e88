package entry

import (
	"bronzestair/core/fleet"
	"bronzestair/core/queue"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/slot"
	"time"
)

// maxPropagationTime is the longest time until all entries apply a new configuration.
const maxPropagationTime = 19 * time.Second

// configurationReceived applies a newer configuration. The state of runners and
// services that remain in it is kept.
func (s *State) configurationReceived(e *ConfigurationReceived) {
	if e.Fleet.Version <= s.Version() {
		return
	}
	firstConfiguration := s.fleet == nil
	s.fleet = e.Fleet
	services := make(map[service.ID]*serviceState, len(e.Fleet.Services))
	runners := make(map[runner.ID]*runnerState, len(e.Fleet.Runners))
	for _, config := range e.Fleet.Services {
		svc := s.serviceFor(config)
		svc.runners = svc.runners[:0:0]
		for _, r := range e.Fleet.RunnersOf(config) {
			state := s.runnerFor(r, e.Fleet)
			state.service = svc
			runners[r.ID] = state
			svc.runners = append(svc.runners, state)
		}
		svc.loads = make([]runner.Load, len(svc.runners))
		services[config.ID] = svc
	}
	s.services = services
	s.runners = runners
	s.updatePeers(firstConfiguration)
	s.readmitExcess()
}

func (s *State) serviceFor(config service.Service) *serviceState {
	svc, ok := s.services[config.ID]
	if !ok {
		svc = &serviceState{queue: queue.New(config.QueueLimit())}
	}
	svc.config = config
	svc.queue.SetLimit(config.QueueLimit())
	return svc
}

// runnerFor returns the state of a runner under the new configuration f. Home
// slots that this entry gains are withheld until their previous home has applied
// the configuration and its last loan of them can no longer be in use.
func (s *State) runnerFor(config runner.Runner, f *fleet.Fleet) *runnerState {
	homes := s.homes(f.EntryIDs(), string(config.ID), config.SlotCount())
	state, ok := s.runners[config.ID]
	if !ok {
		state = &runnerState{allocator: slot.NewAllocator(homes[s.self], config.SlotCount())}
	} else if homes[s.self] != state.homes[s.self] || config.SlotCount() != state.config.SlotCount() {
		until := s.now.Add(state.maxLoanTime() + maxPropagationTime)
		state.allocator.SetHome(homes[s.self], config.SlotCount(), until)
	}
	state.config = config
	state.homes = homes
	state.connectionShare = config.ConnectionShare(len(f.Entries))
	return state
}

// leavingRunnersReceived marks the leaving runners, which get no new requests.
func (s *State) leavingRunnersReceived(e *LeavingRunnersReceived) {
	for _, r := range s.runners {
		r.leaving = false
	}
	for _, id := range e.Leaving {
		if r, ok := s.runners[id]; ok {
			r.leaving = true
		}
	}
	s.readmitExcess()
}

// configuredServices returns the services in configuration order. Loops over
// them emit effects in the same order on every run, unlike loops over the map.
func (s *State) configuredServices() []service.Service {
	if s.fleet == nil {
		return nil
	}
	return s.fleet.Services
}
