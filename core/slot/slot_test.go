package slot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/slot"
)

func entryNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("entry-%d", i+1))
	}
	return out
}

// TestAssignHomes checks that every slot has one home, that homes are balanced
// over the entries, and that few of them move when an entry is removed.
func TestAssignHomes(t *testing.T) {
	const slots, runners = 8, 200
	moved := 0
	for r := range runners {
		name := fmt.Sprintf("runner-%d", r)
		before := slot.AssignHomes(entryNames(7), name, slots)
		after := slot.AssignHomes(entryNames(6), name, slots)
		var all slot.Mask
		for id, home := range before {
			if all&home != 0 {
				t.Fatalf("runner %s: a slot of %s has two homes", name, id)
			}
			if home.Count() > 2 {
				t.Errorf("runner %s: %s is home to %d of 8 slots", name, id, home.Count())
			}
			all |= home
			moved += (home &^ after[id]).Count()
		}
		if all != 1<<slots-1 {
			t.Errorf("runner %s: only slots %b have a home", name, all)
		}
	}
	if most := runners * slots / 2; moved > most {
		t.Errorf("%d of %d slots move when one of seven entries is removed", moved, runners*slots)
	}
}

// TestAllocator checks the held and free slots after each step.
func TestAllocator(t *testing.T) {
	now := time.Unix(1000, 0)
	a := slot.NewAllocator(0b0011, 4)
	steps := []struct {
		name string
		do   func()
		held slot.Mask
		free slot.Mask
	}{
		{"start", func() {}, 0b0011, 0b0011},
		{"lend", func() { a.Lend(7, now.Add(time.Second)) }, 0b0010, 0b0010},
		{"return for another borrow request", func() { a.Return(0, 6) }, 0b0010, 0b0010},
		{"borrow", func() { a.Borrow(3, 9, now.Add(time.Second)) }, 0b1010, 0b1010},
		{"borrow a home slot", func() { a.Borrow(1, 9, now.Add(time.Second)) }, 0b1010, 0b1010},
		{"borrow a slot that does not exist", func() { a.Borrow(60, 9, now.Add(time.Second)) }, 0b1010, 0b1010},
		{"acquire prefers the borrowed slot", func() { a.Acquire(now) }, 0b1010, 0b0010},
		{"relinquish keeps a busy slot", func() { a.Relinquish(now, true) }, 0b1010, 0b0010},
		{"loan term ends", func() { a.Release(3); now = now.Add(time.Second) }, 0b1010, 0b0010},
		{"relinquish after the term", func() { a.Relinquish(now, false) }, 0b0010, 0b0010},
		{"loan not expired", func() { a.ReclaimExpired(now) }, 0b0010, 0b0010},
		{"loan expired", func() { a.ReclaimExpired(now.Add(1)) }, 0b0011, 0b0011},
		{"withheld", func() { a.Withhold(now.Add(time.Minute)) }, 0, 0},
		{"peer confirms a loan", func() { a.ConfirmLoan(1, 5, now.Add(time.Minute)) }, 0, 0},
		{"other withheld slot released", func() { a.ReleaseWithheld() }, 0b0001, 0b0001},
		{"new home slot is withheld", func() { a.SetHome(0b0101, 4, now.Add(time.Second)) }, 0b0001, 0b0001},
		{"new home slot becomes free", func() { a.ReclaimExpired(now.Add(2 * time.Second)) }, 0b0101, 0b0101},
		{"runner loses slots", func() { a.SetHome(0b0001, 1, now) }, 0b0001, 0b0001},
	}
	for _, step := range steps {
		step.do()
		if diff := cmp.Diff([2]slot.Mask{step.held, step.free}, [2]slot.Mask{a.Held(), a.Free(now)}); diff != "" {
			t.Errorf("%s: held and free (-want +got):\n%s", step.name, diff)
		}
	}
}

// TestConfirmLoanNeedsWithheldSlot guards against a peer's confirmation that takes a home
// slot which was never lent out of use.
func TestConfirmLoanNeedsWithheldSlot(t *testing.T) {
	now := time.Unix(1_000, 0)
	a := slot.NewAllocator(slot.Mask(0b11), 2)
	a.ConfirmLoan(1, 5, now.Add(time.Minute))
	if diff := cmp.Diff(slot.Mask(0b11), a.Held()); diff != "" {
		t.Errorf("held slots (-want +got):\n%s", diff)
	}
}
