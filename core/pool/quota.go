package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/quota"
)

// capLogInterval is the minimum time between two log lines of an organisation on jobs that begin
// to wait for its cap.
const capLogInterval = 200 * time.Millisecond

// usage is what an organisation has in the pool.
type usage struct {
	// limit is the organisation's cap, zero if it has none.
	limit job.Resources
	// assigned is the demand of the tasks that are assigned to runners, counted with the CPU
	// that best-effort tasks may use.
	assigned job.Resources
	// waiting is the demand of the ready tasks that the last dispatch held back for the cap.
	waiting  job.Resources
	lease    OrganisationLease
	syncedAt time.Time
	// loggedAt is when a job that began to wait for the cap was last logged, unlogged counts
	// those since then.
	loggedAt time.Time
	unlogged int
}

// addAssigned adds the demand of a task if sign is 1, and subtracts it if sign is -1.
func (u *usage) addAssigned(demand job.Resources, sign int) {
	switch {
	case u == nil:
	case sign > 0:
		u.assigned = u.assigned.Add(demand)
	default:
		u.assigned = u.assigned.Sub(demand)
	}
}

// lent returns the valid lease.
func (u *usage) lent(now time.Time) (lent job.Resources, wholeTask bool) {
	if !now.Before(u.lease.Until) {
		return job.Resources{}, false
	}
	return u.lease.Lent, u.lease.WholeTask
}

// quotas are the caps of organisations as far as the pool is concerned.
type quotas struct {
	usages map[job.Organisation]*usage
	// capped is true if the configuration has an organisation with a cap.
	capped bool
	floor  quota.FloorShare
	// unresolved bounds what runs beside the assigned tasks, as of the last dispatch.
	unresolved job.Resources
}

// usageOf returns the usage of an organisation, nil for the jobs of public queues.
func (p *Pool) usageOf(name job.Organisation) *usage {
	if name == "" {
		return nil
	}
	u := p.quotas.usages[name]
	if u == nil {
		u = &usage{}
		if o, ok := p.organisations.Get(name); ok {
			u.limit = o.Cap
		}
		if p.quotas.usages == nil {
			p.quotas.usages = map[job.Organisation]*usage{}
		}
		p.quotas.usages[name] = u
	}
	return u
}

// configureCaps applies the caps of a new configuration.
func (p *Pool) configureCaps(floor quota.FloorShare) {
	p.quotas.floor, p.quotas.capped = floor, false
	for _, u := range p.quotas.usages {
		u.limit = job.Resources{}
	}
	for _, o := range p.organisations.All() {
		if o.Capped() {
			p.quotas.capped = true
			p.usageOf(o.Name).limit = o.Cap
		}
	}
}

// apply implements Event.
func (e *OrganisationsSynced) apply(p *Pool, now time.Time) {
	p.admission.elsewhere, p.admission.elsewhereAt = e.Leases, now
	for _, u := range p.quotas.usages {
		u.lease, u.syncedAt = OrganisationLease{}, now
	}
	for name, lease := range e.Leases {
		u := p.usageOf(name)
		u.lease, u.syncedAt = lease, now
	}
	p.dispatchNeeded = true
}

// beginCapReview prepares the checks of one dispatch.
func (p *Pool) beginCapReview(now time.Time) {
	if !p.quotas.capped {
		return
	}
	for _, u := range p.quotas.usages {
		u.waiting = job.Resources{}
	}
	p.quotas.unresolved = p.unresolvedUsage(now)
}

// unresolvedUsage returns an upper bound of what runs beside the assigned tasks: the whole
// capacity of each runner that may have runs that this owner does not know, or that is stopping
// runs that it does not know. Before the runners are listed there is no bound.
func (p *Pool) unresolvedUsage(now time.Time) job.Resources {
	var sum, most job.Resources
	for _, r := range p.runnerOrder {
		most = job.Resources{CPU: max(most.CPU, r.Capacity.CPU), Memory: max(most.Memory, r.Capacity.Memory), GPU: max(most.GPU, r.Capacity.GPU)}
		if len(r.unknownRuns) > 0 || !r.resolved && p.mayHaveUnknownRuns(r) {
			sum = sum.Add(r.Capacity)
		}
	}
	if !p.hasPreviousOwner() || now.Sub(p.ownedSince) > takeoverTimeout {
		return sum
	}
	if !p.listed || !p.takeover.listed {
		return quota.Unknown
	}
	for id := range p.takeover.awaited {
		if p.runners[id] == nil {
			sum = sum.Add(most)
		}
	}
	return sum
}

// mayHaveUnknownRuns reports whether a runner that is not resolved may have runs that are not
// assigned to it. One that was registered after the takeover and has not restarted has none.
func (p *Pool) mayHaveUnknownRuns(r *runnerState) bool {
	return p.takeover.awaited[r.ID] || r.doubted || !r.incarnationSince.IsZero()
}

// waitsForCap reports whether the next start of a step, which is a task or a whole gang, would
// exceed what its organisation may have running in the pool.
func (p *Pool) waitsForCap(now time.Time, j *jobState, step *stepState) bool {
	if !p.exceedsCap(now, j, step) {
		return false
	}
	u := j.usage
	budget := p.budget(now, u)
	u.waiting = u.waiting.Add(times(step.spec.Resources, step.ready))
	if step.reservation != nil {
		p.endReservation(now, step.reservation, "the step waits for the cap of its organisation", 0)
	}
	p.logCapWait(now, j, step, &budget)
	return true
}

// exceedsCap reports whether the next start of a step would exceed what its organisation may
// have running in the pool.
func (p *Pool) exceedsCap(now time.Time, j *jobState, step *stepState) bool {
	u := j.usage
	if u == nil || u.limit == (job.Resources{}) {
		return false
	}
	need := step.spec.Resources
	if step.spec.Gang {
		need = times(need, step.ready)
	}
	budget := p.budget(now, u)
	return !budget.Admits(u.assigned.Add(p.quotas.unresolved), need)
}

// budget returns what an organisation may have running in the pool.
func (p *Pool) budget(now time.Time, u *usage) quota.Budget {
	b := quota.Budget{Cap: u.limit, Floor: p.quotas.floor.Floor(u.limit, now)}
	b.Lent, b.WholeTask = u.lent(now)
	return b
}

// logCapWait logs that a job begins to wait for its cap, once for each job.
func (p *Pool) logCapWait(now time.Time, j *jobState, step *stepState, budget *quota.Budget) {
	u := j.usage
	if j.waitedForCap {
		return
	}
	j.waitedForCap = true
	if now.Sub(u.loggedAt) < capLogInterval {
		u.unlogged++
		return
	}
	var dataAge time.Duration
	if !u.syncedAt.IsZero() {
		dataAge = now.Sub(u.syncedAt)
	}
	p.emit(&LogDecision{
		Job: j.id(), Step: step.key(), Decision: "capReached", DataAge: dataAge,
		Reason: fmt.Sprintf("organisation %s: needs %s, assigned %s, unresolved %s, floor %s, lease %s, cap %s; %d further jobs since the last line",
			j.record.Organisation, describe(step.spec.Resources), describe(u.assigned), describe(p.quotas.unresolved),
			describe(budget.Floor), describe(budget.Lent), describe(u.limit), u.unlogged),
	})
	u.loggedAt, u.unlogged = now, 0
}

// describe returns CPU in thousandths of a core, memory in mebibytes and GPUs.
func describe(r job.Resources) string { return fmt.Sprintf("%d/%d/%d", r.CPU, r.Memory, r.GPU) }

func times(r job.Resources, n int) job.Resources {
	return job.Resources{CPU: r.CPU * job.MilliCPU(n), Memory: r.Memory * job.MiB(n), GPU: r.GPU * n}
}

// organisationLoads returns the loads of the organisations that have any, by name.
func (p *Pool) organisationLoads(now time.Time) []OrganisationLoad {
	if p.organisations == nil {
		return nil
	}
	var unresolved job.Resources
	if p.quotas.capped {
		unresolved = p.unresolvedUsage(now)
	}
	for name := range p.admission.arriving {
		p.usageOf(name) // an organisation all of whose jobs are refused has a load, too
	}
	var out []OrganisationLoad
	for _, name := range slices.Sorted(maps.Keys(p.quotas.usages)) {
		u := p.quotas.usages[name]
		load := OrganisationLoad{Organisation: name, Used: u.assigned, Waiting: u.waiting, Arriving: p.admission.arriving[name]}
		if u.limit != (job.Resources{}) {
			load.Used = load.Used.Add(unresolved)
		}
		load.Lent, _ = u.lent(now)
		if load != (OrganisationLoad{Organisation: name}) {
			out = append(out, load)
		}
	}
	return out
}
