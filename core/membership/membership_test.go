package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/job"
)

func member(n int) Member {
	return Member{Name: fmt.Sprintf("entry-%d", n), Address: fmt.Sprintf("10.0.0.%d:7060", n), DataCentre: fmt.Sprintf("zone-%d", n%3)}
}

func fleet(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, member(i))
	}
	return out
}

// TestPeersSpreadOverMembers replays an outage of the store for a third of 147 entries:
// each needs a peer, and no peer may be asked by more than a few.
func TestPeersSpreadOverMembers(t *testing.T) {
	now := time.Unix(1_000, 0)
	const entries, needy, most = 147, 51, 8
	asked := map[string]int{}
	for n := range needy {
		tracker := New(member(n).Name, member(n).DataCentre)
		tracker.Observe(now, fleet(entries))
		first := tracker.Peers(now)[0]
		if first.DataCentre != member(n).DataCentre {
			t.Errorf("entry %d in %s asks %s in %s first", n, member(n).DataCentre, first.Name, first.DataCentre)
		}
		asked[first.Name]++
	}
	for name, count := range asked {
		if count > most {
			t.Errorf("%s is asked by %d entries, want at most %d", name, count, most)
		}
	}
}

func TestMembersExpire(t *testing.T) {
	now := time.Unix(1_000, 0)
	tracker := New("entry-0", "zone-0")
	names := func(at time.Time) []string {
		var out []string
		for _, m := range tracker.Peers(at) {
			out = append(out, m.Name)
		}
		return out
	}
	tracker.Observe(now, fleet(3))
	tracker.Observe(now.Add(RefreshInterval), []Member{member(1)}) // read again, not refreshed
	refreshed := member(2)
	refreshed.Refreshes++
	tracker.Observe(now.Add(Lifetime), []Member{refreshed})
	for _, c := range []struct {
		name  string
		at    time.Time
		peers []string
	}{
		{"within the lifetime", now.Add(Lifetime), []string{"entry-1", "entry-2"}},
		{"after the lifetime of one", now.Add(Lifetime + 1), []string{"entry-2"}},
	} {
		got := names(c.at)
		if len(got) == 2 && got[0] > got[1] {
			got[0], got[1] = got[1], got[0]
		}
		if diff := cmp.Diff(c.peers, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestCommonRowFormat covers a change of version: rows in a new format are written only once no
// member is left that cannot read them.
func TestCommonRowFormat(t *testing.T) {
	now := time.Unix(1_000, 0)
	stated := func(n int, format job.RowFormat) Member {
		m := member(n)
		m.RowFormat = format
		return m
	}
	tracker := New("entry-0", "zone-0")
	check := func(label string, format job.RowFormat) {
		t.Helper()
		if diff := cmp.Diff(format, tracker.CommonRowFormat()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", label, diff)
		}
	}
	check("nothing read", 0)
	tracker.Observe(now, []Member{stated(1, 2)})
	check("own row not read", 0)
	tracker.Observe(now, []Member{stated(0, 1), member(2)})
	check("with a member of an earlier version", 0)
	tracker.Observe(now, []Member{stated(2, 1)})
	check("after its upgrade", 1)
	tracker.Observe(now, []Member{member(3)})
	check("with another one", 0)
	alive := now.Add(Lifetime + 1)
	tracker.Observe(alive, []Member{{Name: "entry-0", RowFormat: 1, Refreshes: 1}, {Name: "entry-1", RowFormat: 2, Refreshes: 1}})
	check("once it has not refreshed its row", 1)
}
