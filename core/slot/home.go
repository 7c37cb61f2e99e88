package slot

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// AssignHomes returns the home slots of each entry at a runner.
//
// Every slot has one home entry. An entry is the home of at most
// ceil(slots/entries) slots. Rendezvous (highest random weight) hashing, after
// Thaler and Ravishankar (1998), with that bound keeps most slots in place when
// an entry is added or removed.
func AssignHomes[E ~string](entries []E, runner string, slots int) map[E]Mask {
	homes := make(map[E]Mask, len(entries))
	if len(entries) == 0 {
		return homes
	}
	limit := (slots + len(entries) - 1) / len(entries)
	for i := range slots {
		home := highestWeight(entries, homes, limit, runner, i)
		homes[home] = homes[home].With(Index(i))
	}
	return homes
}

func highestWeight[E ~string](entries []E, homes map[E]Mask, limit int, runner string, i int) E {
	var best E
	var bestWeight uint64
	found := false
	for _, e := range entries {
		if homes[e].Count() >= limit {
			continue
		}
		w := xxhash.Sum64String(string(e) + "\x00" + runner + "\x00" + strconv.Itoa(i))
		if !found || w > bestWeight || (w == bestWeight && e < best) {
			best, bestWeight, found = e, w, true
		}
	}
	return best
}
