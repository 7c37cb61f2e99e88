package quota

import (
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
)

const (
	// answerTimeout is the age from which on an answer of a pool is ignored.
	answerTimeout = 1 * time.Second
	// maxReportAge is the age up to which arrivals and waiting demand of a report count.
	maxReportAge = 1 * time.Second
	// removedPoolRetention is how long the usage of a pool counts that is neither configured
	// nor owned any more. It outlasts the leases of the tasks that ran there.
	removedPoolRetention = 30 * time.Second
	// capacityWindow is the time for which the largest capacity of all instances counts, as
	// instances that are unreachable or on their way to another pool come back.
	capacityWindow = 30 * time.Second
)

// Pool is a pool to which a Lender lends.
type Pool struct {
	Name job.PoolName
	// Floor is the pool's part of the floors, see Floors.Largest.
	Floor float64
	// Spare is true if the pool gets leases only for waiting demand.
	Spare bool
}

// Organisation is an organisation and its cap. A zero amount means no limit.
type Organisation struct {
	Name job.Organisation
	Cap  job.Resources
}

// Load is the load of an organisation in a pool.
type Load struct {
	// Used is an upper bound of what is running, Waiting the demand that waits for the cap.
	Used, Waiting job.Resources
	// Lent is the valid lease of the pool.
	Lent job.Resources
	// Arriving is the number of jobs a second.
	Arriving float64
}

// Report is what the owner of a pool reports. Organisations without an entry have no load.
type Report struct {
	// Fence is the fencing token of the owner. Reports of an owner are ignored after those of
	// a newer one.
	Fence    uint64
	Capacity job.MilliCPU
	// Recovered is false while the owner does not know all runs of previous owners. Used
	// then includes what they may be.
	Recovered bool
	Loads     map[job.Organisation]Load
}

// Lender divides the caps of organisations among the pools. It is run by the owner of the fleet.
// Use NewLender. It is not safe for concurrent use.
type Lender struct {
	fence     uint64
	startedAt time.Time
	number    int64
	pools     map[job.PoolName]*poolState
	poolNames []job.PoolName
	capped    map[job.Organisation]*cappedOrganisation
	names     []job.Organisation
	// complete is true once each pool has reported.
	complete bool
	capacity capacityPeak
}

// poolState is the lender's view of a pool.
type poolState struct {
	Pool
	// reportedAt is zero until the pool has reported. capacityKnown is true once a report
	// of a recovered owner has arrived.
	reportedAt    time.Time
	capacityKnown bool
	capacity      job.MilliCPU
	// owner is the fencing token of the newest owner that has reported.
	owner uint64
	// answered is the number of the last call that was answered.
	answered int64
	// sends holds the last answered call and the later ones whose leases may be in force.
	sends []send
	loads map[job.Organisation]Load
	// bounds are upper bounds of what is running if no lease is used.
	bounds map[job.Organisation]job.Resources
	// wholeTasks holds the last call that permitted a whole task, until a report with all
	// that is in use has answered a later one.
	wholeTasks map[job.Organisation]int64
	// removedAt is when the pool was last found to be neither configured nor owned.
	removedAt time.Time
}

// send is a call whose leases may be in force until expiresAt on the lender's clock.
type send struct {
	number            int64
	sentAt, expiresAt time.Time
	grants            map[job.Organisation]Grant
}

// cappedOrganisation is an organisation with a cap.
type cappedOrganisation struct {
	limit job.Resources
	// changedAt is when the cap last changed. Owners may not have known it before
	// ConfigurationLag has passed.
	changedAt time.Time
	// lastWholeTask is the pool that was last permitted a whole task.
	lastWholeTask job.PoolName
	logged        loggedLease
}

// NewLender returns the lender of a new owner of the fleet with its fencing token.
func NewLender(fence uint64, now time.Time) *Lender {
	return &Lender{
		fence: fence, startedAt: now,
		pools: map[job.PoolName]*poolState{}, capped: map[job.Organisation]*cappedOrganisation{},
	}
}

// Configure replaces the pools and the organisations. The pools include those that are owned
// although they are not configured.
func (l *Lender) Configure(now time.Time, pools []Pool, organisations []Organisation) {
	present := map[job.PoolName]bool{}
	for _, configured := range pools {
		present[configured.Name] = true
		p := l.pools[configured.Name]
		if p == nil {
			p = &poolState{wholeTasks: map[job.Organisation]int64{}}
			l.pools[configured.Name] = p
		}
		p.Pool, p.removedAt = configured, time.Time{}
	}
	for name, p := range l.pools {
		switch {
		case present[name]:
		case p.removedAt.IsZero():
			p.removedAt, p.Floor, p.Spare = now, 0, true
		case now.Sub(p.removedAt) > removedPoolRetention:
			delete(l.pools, name)
		}
	}
	l.poolNames = slices.Sorted(maps.Keys(l.pools))
	capped := map[job.Organisation]*cappedOrganisation{}
	for _, o := range organisations {
		if o.Cap == (job.Resources{}) {
			continue
		}
		state := l.capped[o.Name]
		if state == nil {
			state = &cappedOrganisation{}
		}
		if state.limit != o.Cap {
			state.limit, state.changedAt = o.Cap, now
		}
		capped[o.Name] = state
	}
	l.capped = capped
	l.names = slices.Sorted(maps.Keys(capped))
}

// Suspend is called while the configuration names no organisations. What they start meanwhile is
// not reported, so nothing is lent afterwards until each pool has reported anew.
func (l *Lender) Suspend() {
	l.complete = false
	for _, p := range l.pools {
		p.reportedAt = time.Time{}
	}
}

// Plan returns the next request to each pool.
func (l *Lender) Plan(now time.Time) map[job.PoolName]Request {
	l.expire(now)
	l.complete = l.complete || l.allReported()
	grants := make(map[job.PoolName]map[job.Organisation]Grant, len(l.pools))
	for _, name := range l.poolNames {
		grants[name] = map[job.Organisation]Grant{}
	}
	if l.complete {
		unlimitedCPU := l.unlimitedCPU(now)
		for _, name := range l.names {
			l.allocate(now, name, unlimitedCPU, grants)
		}
	}
	l.addArrivals(now, grants)
	out := make(map[job.PoolName]Request, len(l.pools))
	for _, name := range l.poolNames {
		p := l.pools[name]
		l.number++
		request := Request{Call: Call{Fence: l.fence, Number: l.number}, Valid: LeaseTime, Grants: grants[name]}
		s := send{number: l.number, sentAt: now, expiresAt: now.Add(leaseBound)}
		if l.complete {
			request.Answered = p.answered
			s.grants = grants[name]
		}
		p.sends = append(p.sends, s)
		for organisation, grant := range s.grants {
			if grant.WholeTask {
				p.wholeTasks[organisation] = l.number
			}
		}
		out[name] = request
	}
	return out
}

// allReported reports whether each pool that is configured or owned has reported.
func (l *Lender) allReported() bool {
	for _, p := range l.pools {
		if p.reportedAt.IsZero() && p.removedAt.IsZero() {
			return false
		}
	}
	return true
}

// expire drops the calls whose leases have expired. What was lent may have been used until then.
func (l *Lender) expire(now time.Time) {
	for _, p := range l.pools {
		p.sends = slices.DeleteFunc(p.sends, func(s send) bool {
			if now.Before(s.expiresAt) {
				return false
			}
			for name, grant := range s.grants {
				if o := l.capped[name]; o != nil && p.bounds != nil {
					p.bounds[name] = largest(p.bounds[name], floorOf(o.limit, p.Floor).Add(grant.Lent))
				}
			}
			return true
		})
	}
}

// addArrivals adds to the grants of each pool what organisations submit to the others.
func (l *Lender) addArrivals(now time.Time, grants map[job.PoolName]map[job.Organisation]Grant) {
	total := map[job.Organisation]float64{}
	for _, p := range l.pools {
		if now.Sub(p.reportedAt) <= maxReportAge {
			for name, load := range p.loads {
				total[name] += load.Arriving
			}
		}
	}
	for poolName, byOrganisation := range grants {
		p := l.pools[poolName]
		for name, sum := range total {
			if now.Sub(p.reportedAt) <= maxReportAge {
				sum -= p.loads[name].Arriving
			}
			if sum > 0 {
				grant := byOrganisation[name]
				grant.Elsewhere = sum
				byOrganisation[name] = grant
			}
		}
	}
}

// Reported applies the report with which a pool has answered a call.
func (l *Lender) Reported(now time.Time, name job.PoolName, number int64, report Report) {
	p := l.pools[name]
	if p == nil || number <= p.answered || report.Fence < p.owner {
		return
	}
	index := slices.IndexFunc(p.sends, func(s send) bool { return s.number == number })
	if index < 0 || now.Sub(p.sends[index].sentAt) > answerTimeout {
		return
	}
	bounds := map[job.Organisation]job.Resources{}
	limited := map[job.Organisation]bool{} // by what was known before the report
	for organisation, load := range report.Loads {
		bounds[organisation] = load.Used
		if prior, ok := l.priorBound(now, p, organisation); ok && !report.Recovered {
			bounds[organisation] = smallest(load.Used, prior)
			limited[organisation] = bounds[organisation] != load.Used
		}
	}
	answered := p.sends[index]
	answered.expiresAt = now.Add(leaseBound)
	answered.grants = map[job.Organisation]Grant{}
	for organisation, load := range report.Loads {
		if load.Lent != (job.Resources{}) {
			answered.grants[organisation] = Grant{Lent: load.Lent}
		}
	}
	p.sends = append([]send{answered}, p.sends[index+1:]...)
	p.owner, p.answered, p.bounds, p.loads, p.reportedAt = report.Fence, number, bounds, report.Loads, now
	for organisation, permitted := range p.wholeTasks {
		if number > permitted && !limited[organisation] {
			delete(p.wholeTasks, organisation)
		}
	}
	if report.Recovered {
		p.capacity, p.capacityKnown = report.Capacity, true
	} else {
		p.capacity = max(p.capacity, report.Capacity)
	}
}

// priorBound returns the upper bound of what runs in a pool as of before a report. It returns
// false if none is known, because the pool has not reported before or its owner may not have
// known the cap. A task beyond the lease is left out: no other pool gets the permission while the
// prior bound applies.
func (l *Lender) priorBound(now time.Time, p *poolState, organisation job.Organisation) (job.Resources, bool) {
	o := l.capped[organisation]
	if o == nil || p.reportedAt.IsZero() || p.reportedAt.Sub(o.changedAt) < max(ConfigurationLag, leaseBound) {
		return job.Resources{}, false
	}
	return p.bound(organisation, o.limit), true
}

// bound returns the upper bound of what an organisation has or may start running in the pool.
func (p *poolState) bound(organisation job.Organisation, limit job.Resources) job.Resources {
	floor := floorOf(limit, p.Floor)
	return largest(largest(floor, p.bounds[organisation]), floor.Add(p.held(organisation)))
}

// held returns the largest lease of an organisation that may be in force in the pool.
func (p *poolState) held(organisation job.Organisation) job.Resources {
	var held job.Resources
	for _, s := range p.sends {
		held = largest(held, s.grants[organisation].Lent)
	}
	return held
}

// capacityPeak is the largest capacity within capacityWindow.
type capacityPeak struct {
	current, former job.MilliCPU
	begunAt         time.Time
}

// observe adds a value and returns the peak.
func (c *capacityPeak) observe(now time.Time, n job.MilliCPU) job.MilliCPU {
	if now.Sub(c.begunAt) > capacityWindow {
		c.former, c.current, c.begunAt = c.current, 0, now
	}
	c.current = max(c.current, n)
	return max(c.current, c.former)
}

// unlimitedCPU returns the cap from which on CPU is not limited, as all instances together have
// no more. Reports do not state the other capacities.
func (l *Lender) unlimitedCPU(now time.Time) job.MilliCPU {
	var sum job.MilliCPU
	for _, p := range l.pools {
		if !p.capacityKnown && p.removedAt.IsZero() {
			return unknownAmount
		}
		sum += p.capacity
	}
	return l.capacity.observe(now, sum)
}
