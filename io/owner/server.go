package owner

import (
	"context"
	"errors"
	"log/slog"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/io/owner/ownerpb"
)

// server implements ownerpb.OwnerServer with a Handler.
type server struct {
	ownerpb.UnimplementedOwnerServer
	handler Handler
	logger  *slog.Logger
}

func statusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotOwner):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		// Peers count calls that time out, whichever side notices first.
		return status.FromContextError(err).Err()
	default:
		return status.Error(codes.Internal, err.Error())
	}
}

// Submit implements ownerpb.OwnerServer.
func (s *server) Submit(ctx context.Context, in *ownerpb.SubmitRequest) (*ownerpb.SubmitReply, error) {
	reply, err := s.handler.StoreJob(ctx, job.PoolName(in.GetPool()), in.GetRecord())
	return &ownerpb.SubmitReply{
		Result: uint32(reply.Result), RetryAfterMilliseconds: reply.RetryAfter.Milliseconds(),
	}, statusError(err)
}

// State implements ownerpb.OwnerServer.
func (s *server) State(ctx context.Context, in *ownerpb.StateRequest) (*ownerpb.StateReply, error) {
	state, err := s.handler.JobState(ctx, job.PoolName(in.GetPool()), job.Organisation(in.GetOrganisation()), job.ID(in.GetJob()))
	if errors.Is(err, ErrForbidden) {
		return &ownerpb.StateReply{Forbidden: true}, nil
	}
	return &ownerpb.StateReply{State: string(state)}, statusError(err)
}

// Waiting implements ownerpb.OwnerServer.
func (s *server) Waiting(ctx context.Context, in *ownerpb.WaitingRequest) (*ownerpb.WaitingReply, error) {
	n, err := s.handler.WaitingJobs(ctx, job.PoolName(in.GetPool()), job.QueueName(in.GetQueue()))
	return &ownerpb.WaitingReply{Count: int64(n)}, statusError(err)
}

// Sync implements ownerpb.OwnerServer.
func (s *server) Sync(ctx context.Context, in *ownerpb.SyncRequest) (*ownerpb.SyncReply, error) {
	cordoned := make([]pool.RunnerID, 0, len(in.GetCordoned()))
	for _, id := range in.GetCordoned() {
		cordoned = append(cordoned, pool.RunnerID(id))
	}
	call, err := leaseCall(ctx)
	if err != nil {
		return nil, err
	}
	report, err := s.handler.SyncPool(ctx, job.PoolName(in.GetPool()), cordoned, decodeLeases(call, in.GetOrganisations()))
	if err == nil && call != (quota.Call{}) {
		err = sendOwnerFence(ctx, report.Fence)
	}
	return encodeReport(&report), statusError(err)
}

// EndRunner implements ownerpb.OwnerServer.
func (s *server) EndRunner(ctx context.Context, in *ownerpb.EndRunnerRequest) (*ownerpb.EndRunnerReply, error) {
	err := s.handler.EndRunner(ctx, job.PoolName(in.GetPool()), pool.RunnerEnded{
		Runner: pool.RunnerID(in.GetRunner()), Born: decodeBorn(in.GetBornMilliseconds()),
	})
	return &ownerpb.EndRunnerReply{}, statusError(err)
}

// StoreAge implements ownerpb.OwnerServer.
func (s *server) StoreAge(context.Context, *ownerpb.StoreAgeRequest) (*ownerpb.StoreAgeReply, error) {
	return &ownerpb.StoreAgeReply{AgeMilliseconds: s.handler.StoreAge().Milliseconds()}, nil
}

// ClaimsChanged implements ownerpb.OwnerServer.
func (s *server) ClaimsChanged(context.Context, *ownerpb.ClaimsChangedRequest) (*ownerpb.ClaimsChangedReply, error) {
	s.handler.ClaimsChanged()
	return &ownerpb.ClaimsChangedReply{}, nil
}

// Yield implements ownerpb.OwnerServer.
func (s *server) Yield(ctx context.Context, in *ownerpb.YieldRequest) (*ownerpb.YieldReply, error) {
	return &ownerpb.YieldReply{}, statusError(s.handler.Yield(ctx, in.GetShard()))
}

func encodeReport(r *pool.Report) *ownerpb.SyncReply {
	reply := &ownerpb.SyncReply{
		RunningCpu: int64(r.RunningCPU), ReadyCpu: int64(r.ReadyCPU), Recovered: r.Recovered,
		RunningMemory: int64(r.RunningMemory), ReadyMemory: int64(r.ReadyMemory), Spread: int64(r.Spread),
		Arriving: int64(r.Arriving), Backlog: int64(r.Backlog),
		Organisations: encodeLoads(r.Organisations),
	}
	for _, line := range r.Runners {
		reply.Runners = append(reply.Runners, &ownerpb.SyncReply_Runner{
			Id: string(line.Runner), Persistent: int64(line.Persistent), Passing: int64(line.Passing),
			UsedCpu: int64(line.Used.CPU), UsedMemory: int64(line.Used.Memory), CapacityCpu: int64(line.Capacity.CPU),
			Cordoned: line.Cordoned, Usable: line.Usable, Known: line.Known, Withheld: line.Withheld,
		})
	}
	return reply
}

func decodeReport(name job.PoolName, reply *ownerpb.SyncReply) pool.Report {
	r := pool.Report{
		Pool: name, RunningCPU: job.MilliCPU(reply.GetRunningCpu()), ReadyCPU: job.MilliCPU(reply.GetReadyCpu()),
		Recovered: reply.GetRecovered(), Spread: int(reply.GetSpread()),
		Arriving: job.MilliCPU(reply.GetArriving()), Backlog: job.MilliCPU(reply.GetBacklog()),
		RunningMemory: job.MiB(reply.GetRunningMemory()), ReadyMemory: job.MiB(reply.GetReadyMemory()),
		Organisations: decodeLoads(reply.GetOrganisations()),
	}
	for _, line := range reply.GetRunners() {
		r.Runners = append(r.Runners, pool.RunnerReport{
			Runner: pool.RunnerID(line.GetId()), Persistent: int(line.GetPersistent()), Passing: int(line.GetPassing()),
			Used:     job.Resources{CPU: job.MilliCPU(line.GetUsedCpu()), Memory: job.MiB(line.GetUsedMemory())},
			Capacity: job.Resources{CPU: job.MilliCPU(line.GetCapacityCpu())},
			Cordoned: line.GetCordoned(), Usable: line.GetUsable(), Known: line.GetKnown(), Withheld: line.GetWithheld(),
		})
	}
	return r
}
