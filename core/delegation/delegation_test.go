package delegation

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/membership"
	"bronzestair/core/pool"
	"bronzestair/core/process"
)

func members(n int) []membership.Member {
	var out []membership.Member
	for i := range n {
		out = append(out, membership.Member{
			Name: fmt.Sprintf("entry-%d", i), Address: fmt.Sprintf("a%d", i), DataCentre: fmt.Sprintf("zone-%d", i%5),
			Capacity: process.Capacity{CPUs: 0.2},
		})
	}
	return out
}

func runnerID(n int) pool.RunnerID { return pool.RunnerID(fmt.Sprintf("runner-%d", n)) }

// TestPeakIsSpreadOverDelegates replays the peak of a pool of 480 runners in a fleet of 141
// entries: no delegate gets much more than its share, all are in the runner's data centre.
func TestPeakIsSpreadOverDelegates(t *testing.T) {
	const runners, most = 480, 3 * runnersPerDelegate
	plan := New("lodging", members(141), runners)
	load := map[string]int{}
	for n := range runners {
		dataCentre := n % 5
		for _, address := range plan.Delegates(runnerID(n), fmt.Sprintf("zone-%d", dataCentre)) {
			var entry int
			if _, err := fmt.Sscanf(address, "a%d", &entry); err != nil || entry%5 != dataCentre {
				t.Errorf("runner in data centre %d has delegate %s", dataCentre, address)
			}
		}
		load[plan.Delegates(runnerID(n), fmt.Sprintf("zone-%d", dataCentre))[0]]++
	}
	for address, n := range load {
		if n > most {
			t.Errorf("%s has %d runners, want at most %d", address, n, most)
		}
	}
	if n := len(load); n < runners/most {
		t.Errorf("%d delegates are used", n)
	}
}

func TestDelegates(t *testing.T) {
	for _, c := range []struct {
		name       string
		members    int
		runners    int
		dataCentre string
		delegates  int
	}{
		{"small pool", 141, MinRunners - 1, "zone-1", 0},
		{"large pool", 141, MinRunners, "zone-1", 2},
		{"one entry in the data centre", 5, 1000, "zone-1", 1},
		{"no entry in the data centre", 5, 1000, "zone-9", 2},
		{"no other entries", 0, 1000, "zone-1", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := New("booking", members(c.members), c.runners).Delegates("r1", c.dataCentre)
			if diff := cmp.Diff(c.delegates, len(got)); diff != "" {
				t.Errorf("delegates (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRunnersKeepTheirDelegates checks that the loss of an entry changes the delegates of
// its own runners only, whose second choice takes over.
func TestRunnersKeepTheirDelegates(t *testing.T) {
	const runners = 120
	all := members(20) // four a data centre, which are all needed
	before := New("booking", all, 4*5*runnersPerDelegate)
	lost := all[1]
	after := New("booking", append(append([]membership.Member{}, all[:1]...), all[2:]...), 4*5*runnersPerDelegate)
	for n := range runners {
		want := before.Delegates(runnerID(n), "zone-1")
		got := after.Delegates(runnerID(n), "zone-1")
		if want[0] == lost.Address {
			want = want[1:]
		}
		if diff := cmp.Diff(want[0], got[0]); diff != "" {
			t.Errorf("runner %d (-want +got):\n%s", n, diff)
		}
	}
}

func TestCapacityIncludesDelegates(t *testing.T) {
	plan := New("booking", members(20), 4*5*runnersPerDelegate)
	got := plan.Capacity(process.Capacity{CPUs: 0.8, LinkRate: process.MegabitPerSecond})
	if got.CPUs < 4.79 || got.CPUs > 4.81 || got.LinkRate != process.MegabitPerSecond {
		t.Errorf("capacity = %+v, want 4.8 cores and the owner's link", got)
	}
	if diff := cmp.Diff(process.Capacity{}, (Plan{}).Capacity(process.Capacity{})); diff != "" {
		t.Errorf("capacity without delegates (-want +got):\n%s", diff)
	}
}
