package owner

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/io/owner/ownerpb"
)

// leaseCallKey is the key of the metadata that identifies a Sync call which carries leases, as
// "fence.number.answered", see quota.Call. Calls without organisations lack it.
const leaseCallKey = "bronzestair-lease-call"

// ownerFenceKey is the key of the metadata of the answer to such a call, with the fencing token of
// the pool's owner.
const ownerFenceKey = "bronzestair-owner-fence"

// sendOwnerFence adds the fencing token of the owner to the metadata of an answer.
func sendOwnerFence(ctx context.Context, fence pool.Fence) error {
	return grpc.SetHeader(ctx, metadata.Pairs(ownerFenceKey, strconv.FormatUint(uint64(fence), 10)))
}

// ownerFence returns the fencing token in the metadata of an answer, 0 if there is none.
func ownerFence(header metadata.MD) (pool.Fence, error) {
	values := header.Get(ownerFenceKey)
	if len(values) == 0 {
		return 0, nil
	}
	fence, err := strconv.ParseUint(values[0], 10, 64)
	return pool.Fence(fence), err
}

// withLeaseCall adds the identification of a call to its metadata.
func withLeaseCall(ctx context.Context, c quota.Call) context.Context {
	if c == (quota.Call{}) {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, leaseCallKey, fmt.Sprintf("%d.%d.%d", c.Fence, c.Number, c.Answered))
}

// leaseCall returns the identification in the metadata of a call, zero if there is none.
func leaseCall(ctx context.Context) (quota.Call, error) {
	values := metadata.ValueFromIncomingContext(ctx, leaseCallKey)
	if len(values) == 0 {
		return quota.Call{}, nil
	}
	var c quota.Call
	if _, err := fmt.Sscanf(values[0], "%d.%d.%d", &c.Fence, &c.Number, &c.Answered); err != nil || c.Fence == 0 {
		return quota.Call{}, status.Errorf(codes.InvalidArgument, "metadata %s: %q is malformed", leaseCallKey, values[0])
	}
	return c, nil
}

// millijobs converts jobs a second to thousandths.
const millijobs = 1000

// encodeLeases encodes grants in the order of the organisations' names. A lease has the amount
// that is lent. An entry that is valid but lends no amount permits a whole task, and one
// that is not valid only states what is submitted elsewhere.
func encodeLeases(r quota.Request) []*ownerpb.OrganisationLease {
	var out []*ownerpb.OrganisationLease
	for _, name := range slices.Sorted(maps.Keys(r.Grants)) {
		grant := r.Grants[name]
		lease := &ownerpb.OrganisationLease{Organisation: string(name), ElsewhereMillijobs: int64(math.Round(grant.Elsewhere * millijobs))}
		if grant.Lent != (job.Resources{}) {
			lease.Lent, lease.ValidMilliseconds = encodeAmount(grant.Lent), r.Valid.Milliseconds()
		}
		if lease.Lent != nil || lease.ElsewhereMillijobs != 0 {
			out = append(out, lease)
		}
		if grant.WholeTask {
			out = append(out, &ownerpb.OrganisationLease{Organisation: string(name), ValidMilliseconds: r.Valid.Milliseconds()})
		}
	}
	return out
}

func decodeLeases(c quota.Call, leases []*ownerpb.OrganisationLease) quota.Request {
	r := quota.Request{Call: c}
	if len(leases) == 0 {
		return r
	}
	r.Grants = make(map[job.Organisation]quota.Grant, len(leases))
	for _, lease := range leases {
		name := job.Organisation(lease.GetOrganisation())
		grant := r.Grants[name]
		grant.Elsewhere += float64(lease.GetElsewhereMillijobs()) / millijobs
		if lease.GetLent() != nil {
			grant.Lent = decodeAmount(lease.GetLent())
		} else if lease.GetValidMilliseconds() > 0 {
			grant.WholeTask = true
		}
		if valid := time.Duration(lease.GetValidMilliseconds()) * time.Millisecond; valid > 0 && (r.Valid == 0 || valid < r.Valid) {
			r.Valid = valid
		}
		r.Grants[name] = grant
	}
	return r
}

// encodeAmount returns nil for nothing.
func encodeAmount(r job.Resources) *ownerpb.Amount {
	if r == (job.Resources{}) {
		return nil
	}
	return &ownerpb.Amount{Cpu: int64(r.CPU), Memory: int64(r.Memory), Gpu: int64(r.GPU)}
}

func decodeAmount(a *ownerpb.Amount) job.Resources {
	return job.Resources{CPU: job.MilliCPU(a.GetCpu()), Memory: job.MiB(a.GetMemory()), GPU: int(a.GetGpu())}
}

func encodeLoads(loads []pool.OrganisationLoad) []*ownerpb.OrganisationLoad {
	var out []*ownerpb.OrganisationLoad
	for _, load := range loads {
		out = append(out, &ownerpb.OrganisationLoad{
			Organisation: string(load.Organisation), Used: encodeAmount(load.Used), Waiting: encodeAmount(load.Waiting),
			Lent: encodeAmount(load.Lent), ArrivingMillijobs: int64(math.Round(load.Arriving * millijobs)),
		})
	}
	return out
}

func decodeLoads(loads []*ownerpb.OrganisationLoad) []pool.OrganisationLoad {
	var out []pool.OrganisationLoad
	for _, load := range loads {
		out = append(out, pool.OrganisationLoad{
			Organisation: job.Organisation(load.GetOrganisation()), Used: decodeAmount(load.GetUsed()), Waiting: decodeAmount(load.GetWaiting()),
			Lent: decodeAmount(load.GetLent()), Arriving: float64(load.GetArrivingMillijobs()) / millijobs,
		})
	}
	return out
}
