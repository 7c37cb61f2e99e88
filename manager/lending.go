package manager

import (
	"errors"
	"strings"
	"sync"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/io/owner"
)

const (
	// poolShardPrefix precedes the name of a pool in the name of its shard.
	poolShardPrefix = "pool/"
)

// errSupersededSync is returned for a Sync call after a newer one or one of a newer owner of the
// fleet.
var errSupersededSync = errors.New("a newer call with leases was received before")

// lending runs the lender of the owner of the fleet.
type lending struct {
	m *Manager

	mu     sync.Mutex
	lender *quota.Lender
	// metered holds the organisations whose metrics were set, as of meteredAt.
	metered   map[job.Organisation]bool
	meteredAt time.Time
}

// plan returns the leases of each pool that is configured or has an owner, or nil if the
// configuration has no organisations or another entry may own the fleet.
func (l *lending) plan(c *catalog.Catalog) map[job.PoolName]quota.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	all := c.Organisations.All()
	if len(all) > 0 && !l.m.ownershipValid(fleetShard) {
		return nil
	}
	if len(all) == 0 {
		l.lender.Suspend()
		l.meter(nil)
		return nil
	}
	organisations := make([]quota.Organisation, 0, len(all))
	for _, o := range all {
		organisations = append(organisations, quota.Organisation{Name: o.Name, Cap: o.Cap})
	}
	l.lender.Configure(now, l.m.lendingPools(now, c), organisations)
	requests := l.lender.Plan(now)
	l.logChanges(now)
	if now.Sub(l.meteredAt) >= organisationMetricsInterval {
		l.meteredAt = now
		l.meter(l.lender.Status())
	}
	return requests
}

// logChanges logs the leases that have changed, at most one line a second and organisation.
func (l *lending) logChanges(now time.Time) {
	for _, change := range l.lender.Changes(now) {
		l.m.logger.Info("leases changed", "organisation", change.Organisation, "leases", change.Leases, "dataAge", change.ReportAge)
	}
}

// lendingPools returns the pools that are configured or have an owner.
func (m *Manager) lendingPools(now time.Time, c *catalog.Catalog) []quota.Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make([]quota.Pool, 0, len(c.Pools))
	configured := map[job.PoolName]bool{}
	for _, p := range c.Pools {
		configured[p.Name] = true
		pools = append(pools, quota.Pool{Name: p.Name, Floor: m.floors.Largest(now, p.Name), Spare: p.Spare})
	}
	for _, shard := range m.tracker.Claimed() {
		text, ok := strings.CutPrefix(string(shard), poolShardPrefix)
		if name := job.PoolName(text); ok && !configured[name] {
			pools = append(pools, quota.Pool{Name: name, Floor: m.floors.Largest(now, name), Spare: true})
		}
	}
	return pools
}

// reported passes the report of a pool to the lender.
func (l *lending) reported(name job.PoolName, number int64, report *pool.Report) {
	if number == 0 {
		return // the call carried no leases
	}
	converted := quota.Report{Fence: uint64(report.Fence), Recovered: report.Recovered, Loads: make(map[job.Organisation]quota.Load, len(report.Organisations))}
	for _, r := range report.Runners {
		converted.Capacity += r.Capacity.CPU
	}
	for _, load := range report.Organisations {
		converted.Loads[load.Organisation] = quota.Load{Used: load.Used, Waiting: load.Waiting, Lent: load.Lent, Arriving: load.Arriving}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lender.Reported(time.Now(), name, number, converted)
}

// end clears the metrics, as the next owner of the fleet sets them at another entry.
func (l *lending) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter(nil)
}

// meter sets the metrics of the organisations and clears those of others.
func (l *lending) meter(all []quota.Status) {
	if len(all) == 0 && len(l.metered) == 0 {
		return
	}
	metered := map[job.Organisation]bool{}
	rest := quota.Status{Organisation: otherOrganisations}
	for i, status := range all {
		if i >= maxOrganisationLabels {
			rest.Cap, rest.Lent, rest.Used = rest.Cap.Add(status.Cap), rest.Lent.Add(status.Lent), rest.Used.Add(status.Used)
			continue
		}
		l.m.options.Meter.OrganisationQuota(status)
		metered[status.Organisation] = true
	}
	if len(all) > maxOrganisationLabels {
		l.m.options.Meter.OrganisationQuota(rest)
		metered[otherOrganisations] = true
	}
	for name := range l.metered {
		if !metered[name] {
			l.m.options.Meter.OrganisationQuota(quota.Status{Organisation: name})
		}
	}
	l.metered = metered
}

// configureFloors divides the floors among the pools that are not spare. The caller holds the
// lock.
func (m *Manager) configureFloors(c *catalog.Catalog) {
	var names []job.PoolName
	for _, p := range c.Pools {
		if !p.Spare {
			names = append(names, p.Name)
		}
	}
	m.floors.Configure(time.Now(), names)
}

// floorShare returns a pool's part of the caps that its owner may always use.
func (m *Manager) floorShare(name job.PoolName) quota.FloorShare {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.floors.Share(time.Now(), name)
}

// applyLeases applies the leases of a Sync call and returns the event for the reducer, or nil
// if the call carries none.
func (o *poolOwner) applyLeases(r quota.Request) (pool.Event, error) {
	if r.Call == (quota.Call{}) {
		return nil, nil
	}
	if !o.m.ownershipValid(o.shard) {
		return nil, owner.ErrNotOwner // the report of a former owner may lack what its successor started
	}
	if !o.leases.Apply(time.Now(), r) {
		return nil, errSupersededSync
	}
	event := &pool.OrganisationsSynced{Leases: make(map[job.Organisation]pool.OrganisationLease, len(o.leases.Leases()))}
	for name, lease := range o.leases.Leases() {
		event.Leases[name] = pool.OrganisationLease{Lent: lease.Lent, Until: lease.Until, Elsewhere: lease.Elsewhere, WholeTask: lease.WholeTask}
	}
	return event, nil
}
