package quota

import (
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
)

// floorFraction is the part of each cap that is divided into floors.
const floorFraction = 0.5

// FloorShare is a pool's part of the floors of all pools. The zero value is none.
type FloorShare struct {
	// Fraction is the part until RaisedAt, Raised the part from then on if RaisedAt is set.
	Fraction, Raised float64
	RaisedAt         time.Time
}

// Floor returns what the pool may always use of a cap.
func (s FloorShare) Floor(limit job.Resources, now time.Time) job.Resources {
	fraction := s.Fraction
	if !s.RaisedAt.IsZero() && !now.Before(s.RaisedAt) {
		fraction = s.Raised
	}
	return floorOf(limit, fraction)
}

func floorOf(limit job.Resources, fraction float64) job.Resources {
	var floor amount
	for d, n := range amountOf(limit) {
		floor[d] = int64(float64(n) * floorFraction * fraction)
	}
	return floor.resources()
}

// Floors tracks among which pools the floors are divided. Entries learn of a configuration at
// different times: a pool uses the smallest of its parts of the last ConfigurationLag, so that
// the parts of all pools never exceed the whole, and the lender counts the largest. The zero
// value has no pools. It is not safe for concurrent use.
type Floors struct {
	configured bool
	current    map[job.PoolName]float64
	former     []formerFloors
}

// formerFloors are the parts of a configuration that another one has replaced.
type formerFloors struct {
	fractions  map[job.PoolName]float64
	replacedAt time.Time
}

// Configure divides the floors evenly among the given pools, which are those that are not spare.
func (f *Floors) Configure(now time.Time, pools []job.PoolName) {
	next := make(map[job.PoolName]float64, len(pools))
	for _, name := range pools {
		next[name] = 1 / float64(len(pools))
	}
	if f.configured && !maps.Equal(next, f.current) {
		f.former = slices.DeleteFunc(f.former, func(o formerFloors) bool { return now.Sub(o.replacedAt) >= ConfigurationLag })
		f.former = append(f.former, formerFloors{fractions: f.current, replacedAt: now})
	}
	f.configured, f.current = true, next
}

// Share returns the part that the owner of a pool may use.
func (f *Floors) Share(now time.Time, name job.PoolName) FloorShare {
	share := FloorShare{Fraction: f.current[name], Raised: f.current[name]}
	for _, o := range f.former {
		if end := o.replacedAt.Add(ConfigurationLag); now.Before(end) && o.fractions[name] < share.Raised {
			share.Fraction = min(share.Fraction, o.fractions[name])
			share.RaisedAt = end
		}
	}
	return share
}

// Largest returns the largest part that the owner of a pool may use.
func (f *Floors) Largest(now time.Time, name job.PoolName) float64 {
	fraction := f.current[name]
	for _, o := range f.former {
		if now.Sub(o.replacedAt) < ConfigurationLag {
			fraction = max(fraction, o.fractions[name])
		}
	}
	return fraction
}
