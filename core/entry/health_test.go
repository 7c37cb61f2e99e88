package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bronzestair/core/entry"
	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/service"
)

// ejectionHarness returns a harness with runners, of which the given ones leave.
func ejectionHarness(runners int, leaving ...runner.ID) *harness {
	var all []runner.Runner
	for i := range runners {
		all = append(all, runner.Runner{ID: runner.ID(fmt.Sprintf("seats-%d", i+1)), Pool: "seats"})
	}
	h := newHarness([]service.Service{{ID: "seats", Pool: "seats"}}, all)
	h.submit(&entry.LeavingRunnersReceived{Leaving: leaving})
	return h
}

// failRequests sends requests that all fail.
func (h *harness) failRequests(first, count entry.RequestID) {
	for id := first; id < first+count; id++ {
		h.now = h.now.Add(10 * time.Millisecond)
		h.arrive(id, h.arrivalWithTimeout(time.Second))
		if slices.ContainsFunc(h.effects, func(e entry.Effect) bool { return e.Kind == entry.Dispatch }) {
			h.end(id, entry.Failed)
		}
	}
}

// TestLeavingRunnersDoNotRaiseEjectionLimit guards against a service whose last runner that
// accepts requests is ejected because leaving ones count as accepting.
func TestLeavingRunnersDoNotRaiseEjectionLimit(t *testing.T) {
	h := ejectionHarness(3, "seats-2", "seats-3")
	h.failRequests(0, 20)
	if got := h.state.Status().Services[0].Ejected; len(got) > 0 {
		t.Errorf("%v are ejected, but no other runner accepts requests", got)
	}
}

// TestEjectedRunnerReturnsWhenOthersLeave guards against a service without any runner: one is
// ejected, and then the other one leaves.
func TestEjectedRunnerReturnsWhenOthersLeave(t *testing.T) {
	for name, leave := range map[string]func(h *harness, ejected, other runner.ID){
		"leaves": func(h *harness, _, other runner.ID) {
			h.submit(&entry.LeavingRunnersReceived{Leaving: []runner.ID{other}})
		},
		"is removed": func(h *harness, ejected, _ runner.ID) {
			h.submit(&entry.ConfigurationReceived{Fleet: &fleet.Fleet{
				Version: 2, Entries: []fleet.Entry{{ID: "entry-1"}}, Services: []service.Service{{ID: "seats", Pool: "seats"}},
				Runners: []runner.Runner{{ID: ejected, Pool: "seats"}},
			}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := ejectionHarness(2)
			h.failRequests(0, 20)
			ejected := h.state.Status().Services[0].Ejected
			if len(ejected) != 1 {
				t.Fatalf("ejected runners: %v, want one", ejected)
			}
			other := runner.ID("seats-1")
			if ejected[0] == other {
				other = "seats-2"
			}
			leave(h, ejected[0], other)
			if got := h.state.Status().Services[0].Ejected; len(got) > 0 {
				t.Errorf("%v are ejected, but no other runner accepts requests", got)
			}
		})
	}
}
