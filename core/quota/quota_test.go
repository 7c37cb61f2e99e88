package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/job"
)

const (
	testOrganisation job.Organisation = "weaver"
	planInterval                      = 250 * time.Millisecond
)

func want(t *testing.T, label string, got, expected any) {
	t.Helper()
	if diff := cmp.Diff(expected, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", label, diff)
	}
}

func cpu(n job.MilliCPU) job.Resources { return job.Resources{CPU: n} }

// exchange drives a lender with the owners of pools "a" and "b", whose floors are 200 each of a
// cap of 800.
type exchange struct {
	t      *testing.T
	now    time.Time
	lender *Lender
	pools  []Pool
	limit  job.Resources
	owners map[job.PoolName]*owner
}

// owner is the owner of a pool with the load that it reports.
type owner struct {
	fence     uint64
	holder    Holder
	load      Load
	capacity  job.MilliCPU
	recovered bool
	// silent is true while calls have no answer.
	silent bool
}

func newExchange(t *testing.T) *exchange {
	t.Helper()
	x := &exchange{t: t, now: time.Unix(1_000_000, 0), limit: cpu(800), owners: map[job.PoolName]*owner{}}
	x.pools = []Pool{{Name: "a", Floor: 0.5}, {Name: "b", Floor: 0.5}}
	for _, p := range x.pools {
		x.owners[p.Name] = &owner{fence: 1, capacity: 10_000, recovered: true}
	}
	x.lender = NewLender(10, x.now)
	return x
}

// plan returns the requests of the lender's next exchange.
func (x *exchange) plan() map[job.PoolName]Request {
	x.lender.Configure(x.now, x.pools, []Organisation{{Name: testOrganisation, Cap: x.limit}})
	return x.lender.Plan(x.now)
}

// deliver passes a request to an owner, which leaves its answer in the result.
func (x *exchange) deliver(o *owner, r Request) (report Report, ok bool) {
	if o.silent || !o.holder.Apply(x.now, r) {
		return report, false
	}
	load := o.load
	load.Lent = o.lent(x.now)
	o.holder.Answered(x.now, r.Call)
	return Report{Fence: o.fence, Capacity: o.capacity, Recovered: o.recovered, Loads: map[job.Organisation]Load{testOrganisation: load}}, true
}

func (o *owner) lent(now time.Time) job.Resources {
	if lease := o.holder.Leases()[testOrganisation]; now.Before(lease.Until) {
		return lease.Lent
	}
	return job.Resources{}
}

// run plays exchanges for a time.
func (x *exchange) run(d time.Duration) {
	x.t.Helper()
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(planInterval) {
		requests := x.plan()
		for _, p := range x.pools {
			if report, ok := x.deliver(x.owners[p.Name], requests[p.Name]); ok {
				x.lender.Reported(x.now, p.Name, requests[p.Name].Number, report)
			}
		}
	}
}

// lent returns what each pool holds.
func (x *exchange) lent() map[job.PoolName]job.MilliCPU {
	out := map[job.PoolName]job.MilliCPU{}
	for name, o := range x.owners {
		out[name] = o.lent(x.now).CPU
	}
	return out
}

// TestLeasesFollowNeed guards against leases that stay where nothing waits, or that together with
// floors and usage exceed the cap.
func TestLeasesFollowNeed(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(200), Waiting: cpu(300)}
	x.owners["b"].load = Load{Used: cpu(200), Waiting: cpu(100)}
	x.run(time.Second)
	want(t, "leases while more than half of the cap waits for", x.lent(), map[job.PoolName]job.MilliCPU{"a": 300, "b": 100})
	x.owners["a"].load = Load{Used: cpu(500)}
	x.owners["b"].load = Load{Used: cpu(200), Waiting: cpu(1000)}
	x.run(time.Second)
	want(t, "leases once a uses what it was lent", x.lent(), map[job.PoolName]job.MilliCPU{"a": 300, "b": 100})
	x.owners["a"].load = Load{}
	x.run(2 * time.Second)
	want(t, "leases once a is idle", x.lent(), map[job.PoolName]job.MilliCPU{"a": 0, "b": 400})
}

// TestLoweredLeaseCountsUntilAcknowledged guards against an amount that is lent twice.
func TestLoweredLeaseCountsUntilAcknowledged(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	x.run(time.Second)
	want(t, "leases at first", x.lent(), map[job.PoolName]job.MilliCPU{"a": 400, "b": 0})
	x.owners["a"].load = Load{}
	x.owners["b"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	requests := x.plan() // its calls are answered, so the lender learns of the new need
	for name, o := range x.owners {
		report, _ := x.deliver(o, requests[name])
		x.lender.Reported(x.now, name, requests[name].Number, report)
	}
	x.owners["a"].silent = true
	x.run(4 * time.Second)
	want(t, "lease of b while a has not acknowledged", x.lent()["b"], job.MilliCPU(0))
	x.run(leaseBound)
	want(t, "lease of a after its expiry", x.lent()["a"], job.MilliCPU(0))
	want(t, "lease of b while the use of a is not known", x.lent()["b"], job.MilliCPU(0))
	x.owners["a"].silent = false
	x.run(time.Second)
	want(t, "lease of b once a has reported", x.lent()["b"], job.MilliCPU(400))
}

// TestLostOwnerOfFleet covers "owner of fleet lost or partitioned": leases expire.
func TestLostOwnerOfFleet(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	x.run(time.Second)
	x.now = x.now.Add(LeaseTime - 2*planInterval - time.Millisecond)
	want(t, "lease before its expiry", x.lent()["a"], job.MilliCPU(400))
	x.now = x.now.Add(planInterval)
	want(t, "lease after its expiry", x.lent()["a"], job.MilliCPU(0))
}

// TestNewLenderWaitsForReports covers a change of the owner of the fleet: leases outlast it, and
// nothing is lent until each pool has reported what it holds.
func TestNewLenderWaitsForReports(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	x.run(time.Second)
	late := x.plan()["a"]
	x.lender = NewLender(11, x.now)
	x.owners["b"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	x.owners["a"].silent = true
	x.run(time.Second)
	want(t, "leases while a has not reported", x.lent(), map[job.PoolName]job.MilliCPU{"a": 400, "b": 0})
	x.owners["a"].silent = false
	x.owners["a"].load = Load{Used: cpu(600)}
	x.run(time.Second)
	want(t, "leases once both have reported", x.lent(), map[job.PoolName]job.MilliCPU{"a": 400, "b": 0})
	want(t, "a request of the former lender is applied", x.owners["a"].holder.Apply(x.now, late), false)
}

// TestAllEntriesLost covers "all entries lost at once".
func TestAllEntriesLost(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	x.owners["b"].silent = true
	x.run(3 * time.Second)
	want(t, "leases until each pool has reported", x.lent(), map[job.PoolName]job.MilliCPU{"a": 0, "b": 0})
	x.owners["b"].silent = false
	x.run(time.Second)
	want(t, "leases once each pool has reported", x.lent(), map[job.PoolName]job.MilliCPU{"a": 400, "b": 0})
}

// TestLostOwnerOfPool covers "owner of a pool lost" and "owner partitioned but running": its floor,
// lease and use count until its successor has reported, whose bound is what is known from before
// while runners have not answered.
func TestLostOwnerOfPool(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(500)}
	x.run(8 * time.Second)
	want(t, "lease of a", x.lent()["a"], job.MilliCPU(350))
	x.owners["a"].silent = true
	x.owners["b"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	x.run(8 * time.Second)
	want(t, "lease of b while a is lost", x.lent()["b"], job.MilliCPU(50))
	former := x.owners["a"]
	x.owners["a"] = &owner{fence: 2, capacity: 10_000, load: Load{Used: Unknown}}
	x.run(2 * time.Second)
	want(t, "lease of b while the successor has not recovered", x.lent()["b"], job.MilliCPU(50))
	x.owners["a"].recovered, x.owners["a"].load = true, Load{Used: cpu(100)}
	x.run(time.Second)
	want(t, "lease of b once it has", x.lent()["b"], job.MilliCPU(400))
	former.silent = false
	request := x.plan()["a"]
	report, ok := x.deliver(former, request)
	want(t, "the former owner answers", ok, true)
	former.load = Load{}
	x.lender.Reported(x.now, "a", request.Number, report)
	want(t, "owner after a report of the former one", x.lender.pools["a"].owner, uint64(2))
}

// TestTwoOwners covers "briefly two owners": a successor has no lease of its predecessor.
func TestTwoOwners(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(200), Waiting: cpu(400)}
	x.run(time.Second)
	former := x.owners["a"]
	x.owners["a"] = &owner{fence: 2, capacity: 10_000, load: Load{Used: cpu(600)}}
	want(t, "lease of the successor", x.lent()["a"], job.MilliCPU(0))
	x.run(LeaseTime)
	want(t, "lease of the former owner after its expiry", former.lent(x.now), job.Resources{})
	want(t, "lease of the successor after reports", x.lent()["a"], job.MilliCPU(400))
}

// TestCapLoweredBelowUsage covers "cap lowered below current usage": no lease, and the new floor.
func TestCapLoweredBelowUsage(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load = Load{Used: cpu(600), Waiting: cpu(400)}
	x.run(time.Second)
	want(t, "lease under the first cap", x.lent()["a"], job.MilliCPU(400))
	x.limit = cpu(400)
	x.run(time.Second)
	want(t, "lease under the lowered cap", x.lent()["a"], job.MilliCPU(0))
	want(t, "floor under the lowered cap", FloorShare{Fraction: 0.5}.Floor(x.limit, x.now), cpu(100))
}

// TestCapOfWholeFleetIsNotEnforced guards against starts that wait for leases although the cap
// cannot be exceeded.
func TestCapOfWholeFleetIsNotEnforced(t *testing.T) {
	x := newExchange(t)
	x.limit = cpu(20_000)
	x.run(time.Second)
	want(t, "leases", x.lent(), map[job.PoolName]job.MilliCPU{"a": 20_000, "b": 20_000})
	x.owners["b"].capacity = 10_001
	x.run(time.Second)
	want(t, "leases once there is more capacity", x.lent()["a"] < 20_000, true)
}

// TestWholeTaskIsPermittedInTurns guards against a permission that two pools have at a time, and
// against a pool that never gets one.
func TestWholeTaskIsPermittedInTurns(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load, x.owners["b"].load = Load{Waiting: cpu(900)}, Load{Waiting: cpu(900)}
	x.run(leaseBound)
	permitted := map[job.PoolName]int{}
	for range 40 {
		x.run(planInterval)
		n := 0
		for name, o := range x.owners {
			if o.holder.Leases()[testOrganisation].WholeTask {
				permitted[name]++
				n++
			}
		}
		if n > 1 {
			t.Errorf("%d pools have the permission, want one at most", n)
		}
	}
	want(t, "exchanges with the permission", permitted, map[job.PoolName]int{"a": 10, "b": 10})
}

// TestLateRequestsCarryNoLease guards against a lease that begins when a request arrives that was
// under way for long, and against one that a later request has replaced.
func TestLateRequestsCarryNoLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var h Holder
	request := func(number, answered int64, lent job.MilliCPU) Request {
		return Request{Call: Call{Fence: 3, Number: number, Answered: answered}, Valid: LeaseTime,
			Grants: map[job.Organisation]Grant{testOrganisation: {Lent: cpu(lent)}}}
	}
	want(t, "the first request is applied", h.Apply(now, request(1, 0, 10)), true)
	want(t, "lease of a request that follows no answer", h.Leases()[testOrganisation].Lent, job.Resources{})
	h.Answered(now, Call{Fence: 3, Number: 1})
	late := now.Add(time.Minute)
	want(t, "a late request is applied", h.Apply(late, request(3, 1, 20)), true)
	want(t, "its expiry", h.Leases()[testOrganisation].Until, now.Add(LeaseTime))
	want(t, "an earlier request is applied after it", h.Apply(late, request(2, 1, 30)), false)
}

// TestFloorsWhilePoolsChange guards against floors that together exceed half of the cap while
// some entries know a configuration that others do not know yet.
func TestFloorsWhilePoolsChange(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limit := cpu(800)
	var f Floors
	f.Configure(now, []job.PoolName{"a", "b"})
	want(t, "floor at first", f.Share(now, "a").Floor(limit, now), cpu(200))
	f.Configure(now, []job.PoolName{"a", "b", "c", "d"})
	want(t, "floor that is lowered", f.Share(now, "a").Floor(limit, now), cpu(100))
	added := f.Share(now, "c")
	want(t, "floor of a new pool", added.Floor(limit, now), job.Resources{})
	want(t, "floor of a new pool later", added.Floor(limit, now.Add(ConfigurationLag)), cpu(100))
	want(t, "part that the lender counts", f.Largest(now, "a"), 0.5)
	want(t, "part that the lender counts later", f.Largest(now.Add(ConfigurationLag), "a"), 0.25)
	now = now.Add(ConfigurationLag)
	f.Configure(now, []job.PoolName{"a"})
	want(t, "floor that is raised", f.Share(now, "a").Floor(limit, now), cpu(100))
	want(t, "floor of a removed pool", f.Share(now, "b").Floor(limit, now), job.Resources{})
	want(t, "part of a removed pool that the lender counts", f.Largest(now, "b"), 0.25)
}

// TestArrivalsElsewhere guards against arrivals of a pool that are counted twice, or that are
// reported long after its last report.
func TestArrivalsElsewhere(t *testing.T) {
	x := newExchange(t)
	x.owners["a"].load, x.owners["b"].load = Load{Arriving: 3}, Load{Arriving: 2}
	x.run(time.Second)
	elsewhere := func() map[job.PoolName]float64 {
		out := map[job.PoolName]float64{}
		for name, o := range x.owners {
			out[name] = o.holder.Leases()[testOrganisation].Elsewhere
		}
		return out
	}
	want(t, "arrivals at the other pool", elsewhere(), map[job.PoolName]float64{"a": 2, "b": 3})
	x.owners["b"].silent = true
	x.run(2 * maxReportAge)
	want(t, "arrivals at a pool that is silent", elsewhere()["a"], 0.0)
}
