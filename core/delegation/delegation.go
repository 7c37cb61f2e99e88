// Package delegation decides which entries send the orders of a large pool to its runners.
// The owner of the pool decides everything; a delegate saves it the work of the calls. It
// answers load peaks of more starts per second than one entry can send. The package
// performs no I/O.
//
// # Usage
//
//	plan := delegation.New("booking", members, 266)
//	for _, address := range plan.Delegates("runner-1", "zone-a") {
//		// pass the order on to the first that accepts it
//	}
package delegation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bronzestair/core/job"
	"bronzestair/core/membership"
	"bronzestair/core/pool"
	"bronzestair/core/process"
)

const (
	// MinRunners is the size of a pool from which on its owner uses delegates. The
	// owner of a smaller one keeps up by itself.
	MinRunners = 100
	// runnersPerDelegate is a load that an entry of a fifth of a core keeps up with at
	// a load peak: about 10 starts and as many polls of each runner per second.
	runnersPerDelegate = 16
	// maxDelegates bounds the delegates that one order may be passed on to.
	maxDelegates = 2
)

// Plan assigns delegates to the runners of a pool. The zero value assigns none. A runner
// keeps its delegates as long as the members and the size of the pool do not change much,
// so that connections are reused. Use New.
type Plan struct {
	// byDataCentre holds the delegates in each data centre, all the ones in any.
	byDataCentre map[string][]membership.Member
	all          []membership.Member
}

// New returns the plan for a pool with a number of runners. The members are those that may
// serve as delegates.
func New(name job.PoolName, members []membership.Member, runners int) Plan {
	if runners < MinRunners {
		return Plan{}
	}
	byDataCentre := map[string][]membership.Member{}
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	plan := Plan{byDataCentre: byDataCentre}
	for dataCentre, inDataCentre := range byDataCentre {
		// Pools prefer different entries.
		slices.SortFunc(inDataCentre, func(a, b membership.Member) int {
			return cmp.Or(cmp.Compare(weight(string(name), a.Name), weight(string(name), b.Name)), cmp.Compare(a.Name, b.Name))
		})
		byDataCentre[dataCentre] = inDataCentre[:min(len(inDataCentre), perDataCentre(runners, len(byDataCentre)))]
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(byDataCentre)) {
		plan.all = append(plan.all, byDataCentre[dataCentre]...)
	}
	return plan
}

// perDataCentre returns the number of delegates in each data centre, a power of two so
// that it rarely changes with the size of the pool.
func perDataCentre(runners, dataCentres int) int {
	needed := (runners + runnersPerDelegate*dataCentres - 1) / (runnersPerDelegate * dataCentres)
	n := 1
	for n < needed {
		n *= 2
	}
	return n
}

func weight(a, b string) uint64 { return xxhash.Sum64String(a + "/" + b) }

// Delegates returns the addresses of the delegates for a runner in the order in which they
// are to be tried, those of the runner's data centre if there are any.
func (p Plan) Delegates(runner pool.RunnerID, dataCentre string) []string {
	candidates := p.byDataCentre[dataCentre]
	if len(candidates) == 0 {
		candidates = p.all
	}
	var best [maxDelegates]membership.Member
	var weights [maxDelegates]uint64
	n := 0
	for _, m := range candidates {
		w := weight(string(runner), m.Name)
		switch {
		case n == 0 || w < weights[0]:
			best[1], weights[1] = best[0], weights[0]
			best[0], weights[0] = m, w
			n = min(n+1, maxDelegates)
		case n == 1 || w < weights[1]:
			best[1], weights[1] = m, w
			n = maxDelegates
		}
	}
	addresses := make([]string, n)
	for i := range n {
		addresses[i] = best[i].Address
	}
	return addresses
}

// Capacity returns the capacity for the calls of the pool: the processor time of its owner
// and of all delegates, and the link of the owner, through which all orders pass.
func (p Plan) Capacity(owner process.Capacity) process.Capacity {
	for _, m := range p.all {
		owner.CPUs = cpus(owner) + cpus(m.Capacity)
	}
	return owner
}

func cpus(c process.Capacity) float64 {
	if c.CPUs == 0 {
		return 1
	}
	return c.CPUs
}
