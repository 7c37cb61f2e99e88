package owner

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/io/owner/ownerpb"
)

// syncHandler records the leases of Sync calls and answers with a report.
type syncHandler struct {
	Handler
	leases chan quota.Request
	report pool.Report
}

func (h syncHandler) SyncPool(_ context.Context, _ job.PoolName, _ []pool.RunnerID, leases quota.Request) (pool.Report, error) {
	h.leases <- leases
	return h.report, nil
}

// TestSyncCarriesLeases guards against leases, permissions, arrivals and loads that are lost or
// changed between entries.
func TestSyncCarriesLeases(t *testing.T) {
	handler := syncHandler{leases: make(chan quota.Request, 1), report: pool.Report{Pool: "booking", Fence: 41, Organisations: []pool.OrganisationLoad{
		{Organisation: "weaver", Used: job.Resources{CPU: 1, Memory: 2, GPU: 3}, Waiting: job.Resources{CPU: 4}, Lent: job.Resources{Memory: 5}, Arriving: 22.4},
		{Organisation: "smith", Arriving: 0.5},
	}}}
	p, address := servePeers(t, handler)
	request := quota.Request{
		Call: quota.Call{Fence: 7, Number: 12, Answered: 11}, Valid: quota.LeaseTime,
		Grants: map[job.Organisation]quota.Grant{
			"weaver": {Lent: job.Resources{CPU: 1000, Memory: 64, GPU: 1}, WholeTask: true, Elsewhere: 3.25},
			"smith":  {WholeTask: true},
			"tanner": {Elsewhere: 1},
			"potter": {Lent: job.Resources{GPU: 1}},
		},
	}
	report, err := p.Sync(t.Context(), address, "booking", nil, request)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(request, <-handler.leases); diff != "" {
		t.Errorf("leases (-sent +received):\n%s", diff)
	}
	if diff := cmp.Diff(handler.report, report); diff != "" {
		t.Errorf("report (-sent +received):\n%s", diff)
	}
}

// TestSyncWithoutOrganisations guards against bytes and work of a configuration that names no
// organisations.
func TestSyncWithoutOrganisations(t *testing.T) {
	if got := encodeLeases(quota.Request{}); got != nil {
		t.Errorf("leases = %v, want none", got)
	}
	reply := encodeReport(&pool.Report{Fence: 41})
	if size := proto.Size(reply); size != 0 {
		t.Errorf("an empty report has %d bytes, want none", size)
	}
	ctx := withLeaseCall(t.Context(), quota.Call{})
	if md, ok := metadata.FromOutgoingContext(ctx); ok {
		t.Errorf("metadata = %v, want none", md)
	}
	handler := syncHandler{leases: make(chan quota.Request, 1), report: pool.Report{Fence: 41}}
	p, address := servePeers(t, handler)
	report, err := p.Sync(t.Context(), address, "booking", nil, quota.Request{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(quota.Request{}, <-handler.leases); diff != "" {
		t.Errorf("leases (-want +got):\n%s", diff)
	}
	if report.Fence != 0 {
		t.Errorf("fence = %d, want none in the answer", report.Fence)
	}
}

// TestMalformedLeaseCallIsRefused guards against leases that are taken for those of another call.
func TestMalformedLeaseCallIsRefused(t *testing.T) {
	for _, text := range []string{"", "7", "7.1", "0.1.2", "a.b.c"} {
		ctx := metadata.NewIncomingContext(t.Context(), metadata.Pairs(leaseCallKey, text))
		if _, err := leaseCall(ctx); err == nil {
			t.Errorf("metadata %q is accepted", text)
		}
	}
	if c, err := leaseCall(context.Background()); err != nil || c != (quota.Call{}) {
		t.Errorf("call without metadata = %v, %v, want none", c, err)
	}
}

// sizes returns the bytes of the organisations in a request and in a reply.
func sizes(organisations int) (request, reply int) {
	r := quota.Request{Call: quota.Call{Fence: 123456, Number: 12345, Answered: 12344}, Valid: quota.LeaseTime, Grants: map[job.Organisation]quota.Grant{}}
	var report pool.Report
	for n := range organisations {
		name := job.Organisation(fmt.Sprintf("org-%08x", n*7919))
		r.Grants[name] = quota.Grant{Lent: job.Resources{CPU: 64_000 + job.MilliCPU(n), Memory: 131_072}, Elsewhere: 21.7}
		report.Organisations = append(report.Organisations, pool.OrganisationLoad{
			Organisation: name, Used: job.Resources{CPU: 120_000, Memory: 200_000}, Waiting: job.Resources{CPU: 40_000, Memory: 60_000},
			Lent: job.Resources{CPU: 64_000, Memory: 131_072}, Arriving: 12.3,
		})
	}
	return proto.Size(&ownerpb.SyncRequest{Organisations: encodeLeases(r)}), proto.Size(encodeReport(&report))
}

// TestSizeOfLeases prints the sizes on which docs/CAPACITY.md relies, and guards against an
// encoding that grows.
func TestSizeOfLeases(t *testing.T) {
	const maxRequestBytes, maxReplyBytes = 50, 70
	for _, n := range []int{1, 20, 100} {
		request, reply := sizes(n)
		t.Logf("%d organisations: request %d bytes, reply %d bytes", n, request, reply)
		if request > n*maxRequestBytes || reply > n*maxReplyBytes {
			t.Errorf("%d organisations: request %d bytes, reply %d bytes, want at most %d and %d each", n, request, reply, maxRequestBytes, maxReplyBytes)
		}
	}
}
