package bronzestair

import (
	"net/netip"
	"sync/atomic"

	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/io/caller"
)

// directory looks up services, runners and peers in the configuration in force.
// Reads take no lock.
type directory struct {
	index atomic.Pointer[directoryIndex]
}

// directoryIndex holds one version of the configuration. It is immutable.
type directoryIndex struct {
	version  fleet.Version
	services map[service.ID]service.Service
	runners  map[runner.ID]caller.Endpoint
	peers    map[fleet.EntryID]netip.AddrPort
}

// set replaces the configuration in force and reports whether it did so. It
// ignores a version that is not newer than the one in force.
func (d *directory) set(f *fleet.Fleet) bool {
	next := &directoryIndex{
		version:  f.Version,
		services: make(map[service.ID]service.Service, len(f.Services)),
		runners:  make(map[runner.ID]caller.Endpoint, len(f.Runners)),
		peers:    make(map[fleet.EntryID]netip.AddrPort, len(f.Entries)),
	}
	for _, e := range f.Entries {
		next.peers[e.ID] = e.PeerAddress
	}
	for _, s := range f.Services {
		next.services[s.ID] = s
	}
	for _, r := range f.Runners {
		next.runners[r.ID] = caller.Endpoint{Address: r.Address, Connections: r.ConnectionShare(len(f.Entries))}
	}
	for {
		old := d.index.Load()
		if old != nil && old.version >= next.version {
			return false
		}
		if d.index.CompareAndSwap(old, next) {
			return true
		}
	}
}

// version returns the version in force, or 0 if there is no configuration yet.
func (d *directory) version() fleet.Version {
	index := d.index.Load()
	if index == nil {
		return 0
	}
	return index.version
}

// Service implements caller.Directory.
func (d *directory) Service(id service.ID) (service.Service, bool) {
	index := d.index.Load()
	if index == nil {
		return service.Service{}, false
	}
	s, ok := index.services[id]
	return s, ok
}

// Runner implements caller.Directory.
func (d *directory) Runner(id runner.ID) (caller.Endpoint, bool) {
	index := d.index.Load()
	if index == nil {
		return caller.Endpoint{}, false
	}
	endpoint, ok := index.runners[id]
	return endpoint, ok
}

// PeerAddress implements peer.Directory.
func (d *directory) PeerAddress(id fleet.EntryID) (netip.AddrPort, bool) {
	index := d.index.Load()
	if index == nil {
		return netip.AddrPort{}, false
	}
	a, ok := index.peers[id]
	return a, ok
}
