package bronzestair_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"bronzestair/core/book"
	"bronzestair/core/entry"
	"bronzestair/core/fleet"
	"bronzestair/core/period"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/settings"
	"bronzestair/standin"
)

// startEntries starts three entries in front of one runner.
func startEntries(t *testing.T, address netip.AddrPort, slots int) []*deployment {
	t.Helper()
	f := fleet.Fleet{
		Defaults: service.Limits{MaxTimeout: period.Period(testTimeout)},
		Services: []service.Service{{ID: "seats", Pool: "seats"}},
		Runners:  []runner.Runner{{ID: "seats-1", Pool: "seats", Address: address, Slots: slots}},
	}
	deployments := make([]*deployment, 3)
	stand := standin.NewPlatform(0)
	for i := range deployments {
		peers := loopback(t)
		deployments[i] = newDeployment(stand)
		deployments[i].peers = peers
		f.Entries = append(f.Entries, fleet.Entry{
			ID:          fleet.EntryID(fmt.Sprintf("entry-%d", i+1)),
			PeerAddress: peers.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	if err := stand.SetFleet(f); err != nil {
		t.Fatal(err)
	}
	for i, d := range deployments {
		d.serve(t, func(s *settings.Settings) { s.Entry = f.Entries[i].ID })
	}
	return deployments
}

// TestEntriesLendSlots has all requests come to one of three entries: it uses
// all slots of the runner, those of its peers too, and never more.
func TestEntriesLendSlots(t *testing.T) {
	const slots, requests = 6, 9
	h := &held{arrived: make(chan *heldRequest, requests)}
	server, err := standin.Serve(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	entries := startEntries(t, server.Address, slots)
	busy := entries[0]
	want := map[book.Key]string{}
	var callers []net.Conn
	for i := range requests {
		key := fmt.Sprintf("request-%d", i)
		want[book.Key(key)] = "answered"
		callers = append(callers, busy.open(t, key))
	}
	var running []*heldRequest
	for range slots {
		running = append(running, <-h.arrived)
	}
	var status entry.ServiceStatus
	busy.await(t, func() bool {
		status = busy.entry.Status().Services[0]
		return status.Queued == requests-slots
	})
	if status.Busy != slots {
		t.Errorf("%d of %d slots are busy", status.Busy, slots)
	}
	if status.Borrowed == 0 {
		t.Error("no slot is borrowed, so that nothing was shown")
	}
	if len(h.arrived) > 0 {
		t.Errorf("%d requests more than slots are at the runner", len(h.arrived))
	}
	for _, r := range running {
		close(r.answer)
	}
	for range requests - slots {
		close((<-h.arrived).answer)
	}
	for i, c := range callers {
		if got := readAnswer(t, c); got != fmt.Sprintf("request-%d", i) {
			t.Errorf("caller %d got %q", i, got)
		}
	}
	for _, d := range entries {
		d.await(t, func() bool { s := d.entry.Status().Services[0]; return s.Lent == 0 && s.Borrowed == 0 })
	}
	for _, d := range entries {
		d.stop(t)
	}
	busy.checkVerdicts(t, want)
}

// TestStoppedEntryReturnsSlots ends an entry that has borrowed slots: its peers
// have them back without waiting for the end of their hold time.
func TestStoppedEntryReturnsSlots(t *testing.T) {
	const slots = 6
	h := &held{arrived: make(chan *heldRequest, slots)}
	server, err := standin.Serve(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	entries := startEntries(t, server.Address, slots)
	busy := entries[0]
	var callers []net.Conn
	for i := range slots {
		callers = append(callers, busy.open(t, fmt.Sprintf("request-%d", i)))
	}
	var running []*heldRequest
	for range slots {
		running = append(running, <-h.arrived)
	}
	for _, r := range running {
		close(r.answer)
	}
	for _, c := range callers {
		readAnswer(t, c)
	}
	busy.stop(t)
	for _, d := range entries[1:] {
		if lent := d.entry.Status().Services[0].Lent; lent != 0 {
			t.Errorf("%s has %d slots lent after the borrower ended", d.entry.Status().Entry, lent)
		}
	}
}
