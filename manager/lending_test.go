package manager

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/maintenance"
	"bronzestair/core/organisation"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/io/owner"
)

// quotaRecorder keeps the last status of each organisation.
type quotaRecorder struct {
	nopMeter
	last map[job.Organisation]quota.Status
}

func (m *quotaRecorder) OrganisationQuota(s quota.Status) { m.last[s.Organisation] = s }

func organisationsOf(t *testing.T, count int, limit job.Resources) *organisation.Directory {
	t.Helper()
	var all []organisation.Credentials
	for n := range count {
		all = append(all, organisation.Credentials{Organisation: organisation.Organisation{
			Name: job.Organisation(fmt.Sprintf("org-%03d", n)), Weight: 1, Cap: limit,
		}})
	}
	directory, err := organisation.NewDirectory(all)
	if err != nil {
		t.Fatal(err)
	}
	return directory
}

// TestMetricsOfOrganisationsAreBounded guards against one time series for each of any number of
// organisations, and against values that stay after the owner of the fleet has changed.
func TestMetricsOfOrganisationsAreBounded(t *testing.T) {
	recorder := &quotaRecorder{last: map[job.Organisation]quota.Status{}}
	l := lending{m: &Manager{options: Options{Meter: recorder}}}
	var all []quota.Status
	for n := range maxOrganisationLabels + 20 {
		all = append(all, quota.Status{Organisation: job.Organisation(fmt.Sprintf("org-%03d", n)), Cap: job.Resources{CPU: 10}, Lent: job.Resources{CPU: 3}, Used: job.Resources{CPU: 2}})
	}
	l.meter(all)
	if len(recorder.last) != maxOrganisationLabels+1 {
		t.Errorf("%d organisations have metrics, want %d", len(recorder.last), maxOrganisationLabels+1)
	}
	want := quota.Status{Organisation: otherOrganisations, Cap: job.Resources{CPU: 200}, Lent: job.Resources{CPU: 60}, Used: job.Resources{CPU: 40}}
	if diff := cmp.Diff(want, recorder.last[otherOrganisations]); diff != "" {
		t.Errorf("the rest (-want +got):\n%s", diff)
	}
	l.end()
	for name, status := range recorder.last {
		if diff := cmp.Diff(quota.Status{Organisation: name}, status); diff != "" {
			t.Errorf("after the end (-want +got):\n%s", diff)
		}
	}
}

// TestOwnerAppliesLeases guards against leases of a late call or of a former owner of the fleet,
// and against a report of an owner whose claim has ended.
func TestOwnerAppliesLeases(t *testing.T) {
	o, _ := newLoggedOwner(t, nil, nil)
	request := func(fence uint64, number, answered int64) quota.Request {
		return quota.Request{
			Call: quota.Call{Fence: fence, Number: number, Answered: answered}, Valid: quota.LeaseTime,
			Grants: map[job.Organisation]quota.Grant{"weaver": {Lent: job.Resources{CPU: 5}, WholeTask: true, Elsewhere: 2}},
		}
	}
	event, err := o.applyLeases(quota.Request{})
	if event != nil || err != nil {
		t.Errorf("event without organisations = %v, %v, want none", event, err)
	}
	if _, err := o.applyLeases(request(8, 1, 0)); err != nil {
		t.Errorf("first call: %v", err)
	}
	answeredAt := time.Now()
	o.leases.Answered(answeredAt, quota.Call{Fence: 8, Number: 1})
	event, err = o.applyLeases(request(8, 2, 1))
	want := pool.Event(&pool.OrganisationsSynced{Leases: map[job.Organisation]pool.OrganisationLease{
		"weaver": {Lent: job.Resources{CPU: 5}, WholeTask: true, Elsewhere: 2, Until: answeredAt.Add(quota.LeaseTime)},
	}})
	if diff := cmp.Diff(want, event); diff != "" || err != nil {
		t.Errorf("event of the second call, error %v (-want +got):\n%s", err, diff)
	}
	for _, r := range []quota.Request{request(8, 2, 1), request(7, 9, 0)} {
		if _, err := o.applyLeases(r); !errors.Is(err, errSupersededSync) {
			t.Errorf("call %v: error = %v, want %v", r.Call, err, errSupersededSync)
		}
	}
	o.m.tracker.Drop(o.shard)
	if _, err := o.applyLeases(request(8, 3, 2)); !errors.Is(err, owner.ErrNotOwner) {
		t.Errorf("error after the claim has ended = %v, want %v", err, owner.ErrNotOwner)
	}
}

// claimFleet makes the manager the owner of the fleet.
func claimFleet(t *testing.T, m *Manager) {
	t.Helper()
	for range 100 {
		m.tracker.Observe(time.Now(), nil)
		for _, w := range m.tracker.Plan(time.Now(), []ownership.Shard{fleetShard}) {
			if _, ok := m.tracker.Committed(time.Now(), w, 42); ok && w.Shard == fleetShard {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the fleet was not taken over")
}

// TestLendingFromFleetToPool guards against leases that do not reach the owner of a pool, as when
// the calls took them from a map that was emptied meanwhile, and against a change of a lease
// without a log line.
func TestLendingFromFleetToPool(t *testing.T) {
	o, log := newLoggedOwner(t, nil, nil)
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: o.name}}, Organisations: organisationsOf(t, 1, job.Resources{CPU: 8000})}
	o.m.catalog.Replace(c)
	o.m.configurationChanged()
	f := newFleetOwner(o.m, ownership.Tenure{Shard: fleetShard, Fence: 50}, func() {})
	if f.lending.plan(c) != nil {
		t.Error("leases are planned without a claim on the fleet")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := pool.New(pool.Options{Pool: o.name, Fence: 41, Epoch: 1}, time.Now())
	p.Reduce(time.Now(), &pool.QueuesChanged{Organisations: c.Organisations, Floor: o.m.floorShare(o.name)}, &pool.RunnersListed{})
	o.m.pools[o.name] = o
	go func() {
		for {
			select {
			case query := <-o.queries:
				query(ctx, p)
			case <-ctx.Done():
				return
			}
		}
	}()
	claimFleet(t, o.m)
	var report pool.Report
	log.Reset()
	for range 3 {
		f.syncPools(ctx, nil)
		report = (<-f.inbox).(*maintenance.PoolReported).Report
	}
	// The pool has no runners, so the cap exceeds the capacity of all instances.
	wantLoad := []pool.OrganisationLoad{{Organisation: "org-000", Lent: job.Resources{CPU: 8000}}}
	if diff := cmp.Diff(wantLoad, report.Organisations); diff != "" {
		t.Errorf("report of the pool (-want +got):\n%s", diff)
	}
	var line struct{ Msg, Organisation, Leases string }
	if err := json.Unmarshal(bytes.TrimSpace(log.Bytes()), &line); err != nil {
		t.Fatalf("log %q: %v", log, err)
	}
	if diff := cmp.Diff(struct{ Msg, Organisation, Leases string }{"leases changed", "org-000", "booking=8000/0/0"}, line); diff != "" {
		t.Errorf("log line (-want +got):\n%s", diff)
	}
}

// TestSyncCarriesLeases guards against calls to the owners of pools without their leases: the
// requests were read after they had been deleted, and no organisation got more than its floor.
func TestSyncCarriesLeases(t *testing.T) {
	o, _ := newLoggedOwner(t, nil, nil)
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: o.name}}, Organisations: organisationsOf(t, 1, job.Resources{CPU: 8000})}
	o.m.catalog.Replace(c)
	o.m.configurationChanged()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := pool.New(pool.Options{Pool: o.name, Fence: 41, Epoch: 1}, time.Now())
	o.m.pools[o.name] = o
	go func() {
		for {
			select {
			case query := <-o.queries:
				query(ctx, p)
			case <-ctx.Done():
				return
			}
		}
	}()
	var tenure ownership.Tenure
	for version := ownership.Version(42); version < 72 && tenure.Shard == ""; version++ {
		time.Sleep(100 * time.Millisecond)
		o.m.tracker.Observe(time.Now(), nil)
		for _, w := range o.m.tracker.Plan(time.Now(), []ownership.Shard{o.shard, fleetShard}) {
			if committed, ok := o.m.tracker.Committed(time.Now(), w, version); ok && w.Shard == fleetShard {
				tenure = committed
			}
		}
	}
	if tenure.Shard != fleetShard {
		t.Fatal("the fleet was not taken over")
	}
	f := newFleetOwner(o.m, tenure, cancel)
	f.syncPools(ctx, nil)
	<-f.inbox
	if diff := cmp.Diff(quota.Call{Fence: uint64(tenure.Fence), Number: 1}, o.leases.LastCall()); diff != "" {
		t.Errorf("call applied by the owner of the pool (-want +got):\n%s", diff)
	}
}
