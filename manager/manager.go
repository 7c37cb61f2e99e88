// Package manager implements an entry that accepts jobs, schedules them over pools of
// instances and maintains the instances. All entries run the same code; claims in the
// platform's store determine which entry owns which pool.
//
// # Usage
//
//	m := manager.New(manager.Options{Name: "entry-1", Address: "10.0.0.1:7060"},
//		store, runners, instances, schema)
//	go m.Run(ctx, listener)
//	result, err := m.Submit(ctx, queue, caller, id, spec)
package manager

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzestair/core/backlog"
	"bronzestair/core/catalog"
	"bronzestair/core/intake"
	"bronzestair/core/job"
	"bronzestair/core/maintenance"
	"bronzestair/core/membership"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/process"
	"bronzestair/core/quota"
	"bronzestair/core/table"
	"bronzestair/io/owner"
)

// Store is a client of the platform's table service.
type Store interface {
	// Commit fails with a *table.Conflict or a *table.Failure.
	Commit(context.Context, *table.Tx) (table.Version, error)
	Rows(ctx context.Context, name, part, from, to string) (*table.Page, error)
	Parts(ctx context.Context, name string) ([]string, error)
	Feed(ctx context.Context, name string, after table.Version, wait time.Duration) (*table.Page, error)
	// LastResponse returns when the store last gave a useful answer.
	LastResponse() time.Time
}

// Runners sends calls to runners. Errors only serve the log; the returned events state
// what is known about the result of the call.
type Runners interface {
	Start(context.Context, *pool.StartTask) (*pool.TaskStarted, error)
	Stop(context.Context, *pool.StopTask) (*pool.TaskStopped, error)
	Poll(context.Context, *pool.PollRunner) (*pool.RunnerPolled, error)
	Throttle(context.Context, *pool.ThrottleTask) error
	FetchTickets(ctx context.Context, address string, e *pool.RequestTickets) (*pool.TicketsReceived, error)
}

// Instances is a client of the platform's instance service.
type Instances interface {
	List(context.Context) ([]maintenance.Instance, error)
	Upkeep(ctx context.Context, fence uint64, e *maintenance.OrderUpkeep) (maintenance.Result, error)
	Move(ctx context.Context, fence uint64, e *maintenance.OrderMove) (maintenance.Result, error)
}

// Schema names the tables shared with operators and runners, decodes their rows and
// encodes reports.
type Schema interface {
	// OperatorTable and RunnerTable return the names of the tables to follow.
	OperatorTable() string
	RunnerTable() string
	Catalog(table.Row) (*catalog.Catalog, bool, error)
	Wave(table.Row) (*maintenance.Wave, bool, error)
	Runner(table.Row) (job.PoolName, pool.Runner, error)
	WaveReport(*maintenance.ReportWave) (table.Key, []byte)
}

// Options are the settings of a Manager.
type Options struct {
	// Name is the entry's name, Address the address at which it serves its peers.
	Name    string
	Address string
	// DataCentre is the data centre of the entry.
	DataCentre string
	// Capacity is the entry's share of its machine's resources.
	Capacity process.Capacity
	// TicketServiceAddress is the address of the service that issues tickets for steps.
	// It may be empty.
	TicketServiceAddress string
	// Retention is how long the outcome of a job is kept.
	Retention time.Duration
	// MaxLease is the longest lease that runners accept. Zero means no bound.
	MaxLease time.Duration
	// HandoverDelay is the least time between the orders of two successive owners for
	// one instance.
	HandoverDelay time.Duration
	Lookahead     pool.Lookahead
	// BacklogBytes is the memory that the jobs of all pools may take. Zero means the default for a
	// process whose memory is not known.
	BacklogBytes intake.Bytes
	// MaxValueBytes is the size of the largest value that the store takes. Zero means
	// table.DefaultMaxValueBytes.
	MaxValueBytes int
	Logger        *slog.Logger
	Meter         Meter
}

// Manager accepts jobs at one entry and runs the owners of the pools, and of the
// fleet's maintenance, that the entry has claimed. Use New.
type Manager struct {
	options   Options
	store     *failoverStore
	runners   Runners
	instances Instances
	schema    Schema
	peers     *owner.Peers
	// backlog bounds the memory of the jobs of all pools.
	backlog *backlog.Budget
	// loadSlots is filled by those who read stored jobs, see loadSlots.
	loadSlots chan struct{}
	// direct stores jobs whose pool's owner does not answer.
	direct *writer
	// breakers leave out calls to owners that do not answer.
	breakers breakers
	logger   *slog.Logger

	catalog catalog.Holder
	// claimsVersion is the table version up to which claims have been read.
	claimsVersion table.Version
	// extensionRefusal is why the claims were last not extended in an outage, "" if they were.
	extensionRefusal string
	// ownershipBegan wakes followRunners.
	ownershipBegan chan struct{}
	// claimsChanged wakes the loop that maintains claims.
	claimsChanged chan struct{}
	// stopping is true once Stop has been called, stalled while a loop makes no progress.
	stopping, stalled atomic.Bool
	// claimsProgress is that of the loop that maintains claims.
	claimsProgress loopProgress

	mu      sync.Mutex
	tracker *ownership.Tracker
	members *membership.Tracker
	pools   map[job.PoolName]*poolOwner
	fleet   *fleetOwner
	// queuePools holds the pools in which queues may have jobs besides their present ones.
	queuePools queuePools
	// floors divides the caps of organisations among the pools.
	floors quota.Floors
	// registrations and waves are copies of the rows in the shared tables.
	// registrations is kept while this entry owns a shard, see followRunners.
	registrations       map[string]registration
	registrationsReadAt time.Time
	// storeReturnedAt is when the store's last outage ended.
	storeReturnedAt time.Time
	waves           map[maintenance.WaveNumber]maintenance.Wave
	group           *errgroup.Group
}

// registration is a decoded row of the runner table.
type registration struct {
	pool   job.PoolName
	runner pool.Runner
	// lapsedAt is when the row was removed, if that was shortly after an outage of
	// the store. The runner is kept for reregisterGrace.
	lapsedAt time.Time
}

// fleetShard is the shard whose owner plans the maintenance of the instances.
const fleetShard ownership.Shard = "fleet"

// DefaultRetention is how long outcomes are kept by default.
const DefaultRetention = 2 * time.Minute

// New returns a manager. It does nothing until Run is called.
func New(o Options, store Store, runners Runners, instances Instances, schema Schema) *Manager {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Meter == nil {
		o.Meter = nopMeter{}
	}
	if o.MaxValueBytes == 0 {
		o.MaxValueBytes = table.DefaultMaxValueBytes
	}
	if o.BacklogBytes == 0 {
		o.BacklogBytes = backlog.LimitFor(0)
	}
	m := &Manager{
		backlog: backlog.NewBudget(o.BacklogBytes), loadSlots: make(chan struct{}, loadSlots(o.BacklogBytes)),
		options: o, runners: runners, instances: instances, schema: schema,
		logger:        o.Logger,
		pools:         map[job.PoolName]*poolOwner{},
		registrations: map[string]registration{},
		waves:         map[maintenance.WaveNumber]maintenance.Wave{},
		claimsChanged: make(chan struct{}, 1),

		ownershipBegan: make(chan struct{}, 1),
	}
	incarnation := newIncarnation()
	m.tracker = ownership.New(o.Name, o.Address, incarnation, time.Now())
	m.tracker.Capacity = o.Capacity
	m.peers = owner.NewPeers(m, o.Logger)
	m.members = membership.New(o.Name, o.DataCentre)
	m.store = newFailoverStore(store, m.peers, m.relayPeers, o.Logger)
	m.direct = newWriter(m.store, discardSink{}, o.Logger)
	return m
}

// Ready reports whether the entry accepts jobs: it has a configuration, is not stopping and
// its loops make progress.
func (m *Manager) Ready() bool {
	return m.catalog.Get() != nil && !m.stopping.Load() && !m.stalled.Load()
}

// Catalog returns the configuration in force, or nil.
func (m *Manager) Catalog() *catalog.Catalog { return m.catalog.Get() }

// Run runs the manager until the context ends and serves peers on the listener.
func (m *Manager) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.group = group
	m.mu.Unlock()
	group.Go(func() error { return m.peers.Serve(ctx, listener) })
	group.Go(func() error {
		m.followTable(ctx, m.schema.OperatorTable(), func() time.Duration { return 0 }, m.applyOperatorRows)
		return nil
	})
	group.Go(func() error {
		m.followRunners(ctx)
		return nil
	})
	group.Go(func() error {
		m.maintainClaims(ctx)
		return nil
	})
	group.Go(func() error {
		m.maintainMembership(ctx)
		return nil
	})
	group.Go(func() error {
		m.watchLoops(ctx)
		return nil
	})
	group.Go(func() error {
		m.direct.run(ctx)
		return nil
	})
	group.Go(func() error {
		m.store.probeDirect(ctx)
		return nil
	})
	return group.Wait()
}

// Stop releases all shards that the entry owns. Jobs are still accepted until the
// listeners close.
func (m *Manager) Stop(ctx context.Context) {
	m.stopping.Store(true)
	m.mu.Lock()
	m.tracker.Passive = true
	releases := m.tracker.ReleaseAll()
	m.mu.Unlock()
	if len(releases) == 0 {
		return
	}
	for _, w := range releases {
		m.stopShard(w.Shard, "stopping")
	}
	for _, w := range releases {
		if _, err := m.writeClaim(ctx, w); err != nil {
			m.logger.Warn("cannot release claim", "shard", w.Shard, "error", err)
		}
	}
	m.notifyClaimsChanged(ctx)
}

// otherEntries returns the addresses of the peers that hold claims.
func (m *Manager) otherEntries() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Peers()
}

// localOwner returns the pool's owner if it is in this process, or nil.
func (m *Manager) localOwner(name job.PoolName) *poolOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools[name]
}

// ownerAddress returns the address of the peer that owns the pool, or "" if there is
// none or this entry owns it.
func (m *Manager) ownerAddress(name job.PoolName) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	claim, ok := m.tracker.Owner(poolShard(name))
	if !ok || claim.Address == m.options.Address {
		return ""
	}
	return claim.Address
}

func poolShard(name job.PoolName) ownership.Shard {
	return ownership.Shard(poolShardPrefix + string(name))
}
