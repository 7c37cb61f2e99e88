package manager

import (
	"context"
	"errors"
	"sync"
	"time"

	"bronzestair/core/delegation"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/io/owner"
)

// delegationInterval is the period at which an owner revises which entries are its
// delegates.
const delegationInterval = 1 * time.Second

// delegatedRunners sends the orders of a pool's owner through its delegates, and directly
// where there is none or the delegates are not available.
type delegatedRunners struct {
	Runners
	delegate func(address string) owner.Runners
	// valid reports whether this entry may give orders now.
	valid func() bool

	mu   sync.Mutex
	plan delegation.Plan
}

func (d *delegatedRunners) setPlan(plan delegation.Plan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan = plan
}

func (d *delegatedRunners) delegates(r pool.Runner) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Delegates(r.ID, r.Zone)
}

// passOn passes an order on to the first delegate that accepts it, and calls the runner
// directly if none does. An attempt takes time, in which the claim on the pool may expire:
// the order is then withheld.
func passOn[T any](d *delegatedRunners, r pool.Runner, call func(owner.Runners) (T, error)) (T, error) {
	for _, address := range d.delegates(r) {
		result, err := call(d.delegate(address))
		if !errors.Is(err, owner.ErrDelegateUnavailable) {
			return result, err
		}
		if !d.valid() {
			return call(withheldRunners{})
		}
	}
	return call(d.Runners)
}

// withheldRunners sends nothing.
type withheldRunners struct{}

// Start implements owner.Runners.
func (withheldRunners) Start(_ context.Context, e *pool.StartTask) (*pool.TaskStarted, error) {
	return &pool.TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: pool.Withheld}, nil
}

// Stop implements owner.Runners.
func (withheldRunners) Stop(_ context.Context, e *pool.StopTask) (*pool.TaskStopped, error) {
	return &pool.TaskStopped{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: pool.Withheld}, nil
}

// Poll implements owner.Runners.
func (withheldRunners) Poll(_ context.Context, e *pool.PollRunner) (*pool.RunnerPolled, error) {
	return &pool.RunnerPolled{Runner: e.Runner.ID, CallResult: pool.Withheld, Sent: time.Now()}, nil
}

// Start implements Runners.
func (d *delegatedRunners) Start(ctx context.Context, e *pool.StartTask) (*pool.TaskStarted, error) {
	return passOn(d, e.Runner, func(r owner.Runners) (*pool.TaskStarted, error) { return r.Start(ctx, e) })
}

// Stop implements Runners.
func (d *delegatedRunners) Stop(ctx context.Context, e *pool.StopTask) (*pool.TaskStopped, error) {
	return passOn(d, e.Runner, func(r owner.Runners) (*pool.TaskStopped, error) { return r.Stop(ctx, e) })
}

// Poll implements Runners.
func (d *delegatedRunners) Poll(ctx context.Context, e *pool.PollRunner) (*pool.RunnerPolled, error) {
	return passOn(d, e.Runner, func(r owner.Runners) (*pool.RunnerPolled, error) { return r.Poll(ctx, e) })
}

// reviseDelegates revises the delegates of a pool and the limits on its calls, which depend
// on the capacity of all that send them.
func (o *poolOwner) reviseDelegates(ctx context.Context, p *pool.Pool) {
	if time.Since(o.delegatesRevisedAt) < delegationInterval {
		return
	}
	o.delegatesRevisedAt = time.Now()
	plan := delegation.New(o.name, o.m.membersWithoutClaims(), p.Size())
	o.runners.setPlan(plan)
	if capacity := plan.Capacity(o.m.options.Capacity); capacity != o.capacity {
		o.capacity = capacity
		o.m.logger.Info("capacity for calls changed", "pool", o.name, "runners", p.Size(), "cpus", capacity.CPUs)
		o.reduce(ctx, p, &pool.CapacityChanged{Capacity: capacity})
	}
}

func newDelegatedRunners(m *Manager, shard ownership.Shard) *delegatedRunners {
	return &delegatedRunners{
		Runners:  m.runners,
		delegate: func(address string) owner.Runners { return m.peers.Delegate(address) },
		valid:    func() bool { return m.ownershipValid(shard) },
	}
}

// Runners sends the orders of other entries that this entry carries out as a delegate.
func (m *Manager) Runners() owner.Runners { return m.runners }
