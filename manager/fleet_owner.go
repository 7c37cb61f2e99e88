package manager

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/maintenance"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
	"bronzestair/core/table"
)

const (
	// planInterval is the period of planning and of the exchange with pool owners.
	planInterval = 250 * time.Millisecond
	// syncTimeout bounds a call to the owner of a pool.
	syncTimeout = 400 * time.Millisecond
	// DefaultHandoverDelay is the least time between the orders of two successive
	// owners for one instance.
	DefaultHandoverDelay = 3 * time.Second
)

// waveTable stores, for each wave, the instances for which the platform has accepted the
// order for upkeep.
const waveTable = "waves"

// waveRecord is the stored form of a wave's progress.
type waveRecord struct {
	// Begun lists the instances for which the platform has accepted the order for upkeep.
	Begun []maintenance.InstanceID `json:"begun"`
	// Completed is true if the wave was reported as completed.
	Completed bool `json:"completed,omitempty"`
}

// fleetOwner runs the planner of the fleet's maintenance while this entry owns the
// fleet's shard.
type fleetOwner struct {
	m      *Manager
	tenure ownership.Tenure
	cancel context.CancelFunc
	inbox  chan maintenance.Event
	done   chan struct{}
	// pendingRows is the queue of rows to store.
	pendingRows chan table.Row
	// seenWaves holds the waves passed to the planner, storedWaves the progress of waves
	// that previous owners have stored.
	seenWaves   map[maintenance.WaveNumber]bool
	storedWaves map[maintenance.WaveNumber]waveRecord
	// lending lends the caps of organisations to the pools.
	lending lending
	// catalogVersion is the version of the configuration last passed to the planner.
	catalogVersion int64
}

func newFleetOwner(m *Manager, tenure ownership.Tenure, cancel context.CancelFunc) *fleetOwner {
	return &fleetOwner{
		m: m, tenure: tenure, cancel: cancel,
		inbox: make(chan maintenance.Event, inboxSize), done: make(chan struct{}),
		pendingRows: make(chan table.Row, inboxSize),
		seenWaves:   map[maintenance.WaveNumber]bool{},
		lending:     lending{m: m, lender: quota.NewLender(uint64(tenure.Fence), time.Now())},
	}
}

func (f *fleetOwner) submit(e maintenance.Event) {
	select {
	case f.inbox <- e:
	case <-f.done:
	}
}

// run feeds the planner until the context ends.
func (f *fleetOwner) run(ctx context.Context) {
	defer close(f.done)
	defer f.lending.end()
	var options maintenance.Options
	if previous := f.tenure.PreviousHolder; previous != "" && previous != f.m.options.Name {
		delay := f.m.options.HandoverDelay
		if delay == 0 {
			delay = DefaultHandoverDelay
		}
		options.OrdersNotBefore = time.Now().Add(delay)
		options.HandoverDelay = delay
	}
	planner := maintenance.New(options)
	f.storedWaves = f.loadWaves(ctx)
	go f.storeRows(ctx)
	go f.sweep(ctx)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.inbox:
			f.reduce(ctx, planner, e)
		case <-ticker.C:
			f.refresh(ctx, planner)
			f.reduce(ctx, planner, maintenance.Ticked{})
			f.syncPools(ctx, planner.Cordons())
		}
	}
}

// loadWaves reads the progress of waves that previous owners have stored, retrying until
// it succeeds.
func (f *fleetOwner) loadWaves(ctx context.Context) map[maintenance.WaveNumber]waveRecord {
	out := map[maintenance.WaveNumber]waveRecord{}
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		rows, _, err := f.m.readPart(ctx, waveTable, "")
		if err != nil {
			f.m.logger.Warn("cannot load waves", "error", err)
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		for _, row := range rows {
			var number maintenance.WaveNumber
			var record waveRecord
			if err := json.Unmarshal([]byte(row.Name), &number); err != nil {
				f.m.logger.Error("cannot decode stored wave", "row", row.Name, "error", err)
				continue
			}
			if err := json.Unmarshal(row.Value, &record); err != nil {
				f.m.logger.Error("cannot decode stored wave", "row", row.Name, "error", err)
				continue
			}
			out[number] = record
		}
		break
	}
	return out
}

// refresh passes changed pool settings and new waves to the planner.
func (f *fleetOwner) refresh(ctx context.Context, planner *maintenance.Planner) {
	if c := f.m.catalog.Get(); c != nil && int64(c.Version) != f.catalogVersion {
		f.catalogVersion = int64(c.Version)
		event := &maintenance.PoolsChanged{}
		for _, p := range c.Pools {
			event.Pools = append(event.Pools, maintenance.PoolSettings{Name: p.Name, Spare: p.Spare})
		}
		f.reduce(ctx, planner, event)
	}
	f.m.mu.Lock()
	var received []maintenance.Wave
	for number, wave := range f.m.waves {
		if !f.seenWaves[number] {
			f.seenWaves[number] = true
			received = append(received, wave)
		}
	}
	f.m.mu.Unlock()
	for _, wave := range received {
		record := f.storedWaves[wave.Number]
		f.reduce(ctx, planner, &maintenance.WaveReceived{Wave: wave, Begun: record.Begun, Completed: record.Completed})
	}
}

func (f *fleetOwner) reduce(ctx context.Context, planner *maintenance.Planner, e maintenance.Event) {
	for _, effect := range planner.Reduce(time.Now(), e) {
		f.perform(ctx, effect)
	}
}

// syncPools sends each pool's owner the runners to cordon and the leases of organisations, and
// passes the report on its load to the planner.
func (f *fleetOwner) syncPools(ctx context.Context, cordons map[job.PoolName][]pool.RunnerID) {
	c := f.m.catalog.Get()
	if c == nil {
		return
	}
	leases := f.lending.plan(c)
	for _, p := range c.Pools {
		request := leases[p.Name]
		delete(leases, p.Name)
		go f.m.guardShard(ctx, fleetShard, func() {
			if report, ok := f.syncPool(ctx, p.Name, cordons[p.Name], request); ok {
				f.submit(&maintenance.PoolReported{Report: report})
			}
		})
	}
	for name, request := range leases { // pools with an owner that are not configured
		go f.m.guardShard(ctx, fleetShard, func() { f.syncPool(ctx, name, nil, request) })
	}
}

// syncPool syncs with the owner of a pool and returns its report.
func (f *fleetOwner) syncPool(ctx context.Context, name job.PoolName, cordoned []pool.RunnerID, leases quota.Request) (pool.Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	report, err := f.m.syncPool(ctx, name, cordoned, leases)
	if err != nil {
		f.m.logger.Info("cannot sync with pool owner", "pool", name, "error", err)
		return report, false
	}
	f.lending.reported(name, leases.Number, &report)
	return report, true
}

// syncPool cordons runners at a pool's owner, in this process or a peer, and returns
// the pool's load.
func (m *Manager) syncPool(ctx context.Context, name job.PoolName, cordoned []pool.RunnerID, leases quota.Request) (pool.Report, error) {
	if o := m.localOwner(name); o != nil {
		return o.cordonAndReport(ctx, cordoned, leases)
	}
	address := m.ownerAddress(name)
	if address == "" {
		return pool.Report{}, errNoOwner
	}
	return m.peers.Sync(ctx, address, name, cordoned, leases)
}

// perform carries out an effect and submits its result to the planner.
func (f *fleetOwner) perform(ctx context.Context, effect maintenance.Effect) {
	switch e := effect.(type) {
	case *maintenance.ListInstances:
		go f.m.guardShard(ctx, fleetShard, func() { f.listInstances(ctx) })
	case *maintenance.OrderUpkeep:
		go f.sendOrder(ctx, e.Instance, func() (maintenance.Result, error) {
			return f.m.instances.Upkeep(ctx, uint64(f.tenure.Fence), e)
		})
	case *maintenance.OrderMove:
		go f.sendOrder(ctx, e.Instance, func() (maintenance.Result, error) {
			return f.m.instances.Move(ctx, uint64(f.tenure.Fence), e)
		})
	case *maintenance.NotifyRunnerEnded:
		go f.endRunner(ctx, e)
	case *maintenance.SaveWave:
		f.saveWave(e)
	case *maintenance.ReportWave:
		f.reportWave(e)
	case *maintenance.StepDown:
		go f.m.stopShard(fleetShard, "a higher fencing token is known")
	case *maintenance.LogDecision:
		f.m.logger.Info(e.Decision, "instance", e.Instance, "runner", e.Runner, "reason", e.Reason, "dataAge", e.DataAge)
	}
}

func (f *fleetOwner) listInstances(ctx context.Context) {
	requestedAt := time.Now()
	instances, err := f.m.instances.List(ctx)
	if err != nil {
		f.m.logger.Warn("cannot list instances", "error", err)
	}
	f.m.addStartTimes(instances)
	f.submit(&maintenance.InstancesListed{Instances: instances, RequestedAt: requestedAt, Failed: err != nil})
}

// sendOrder sends an order for an instance and submits the result. If the ownership is
// not valid it sends nothing and submits RetryLater.
func (f *fleetOwner) sendOrder(ctx context.Context, id maintenance.InstanceID, send func() (maintenance.Result, error)) {
	if !f.m.ownershipValid(fleetShard) || ctx.Err() != nil {
		f.submit(&maintenance.OrderAnswered{Instance: id, Result: maintenance.RetryLater})
		return
	}
	result, err := send()
	if err != nil {
		f.m.logger.Warn("order for instance failed", "instance", id, "result", result.String(), "error", err)
	}
	f.submit(&maintenance.OrderAnswered{Instance: id, Result: result})
}

func (f *fleetOwner) endRunner(ctx context.Context, e *maintenance.NotifyRunnerEnded) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	ended := pool.RunnerEnded{Runner: e.Runner, Born: e.Born}
	err := f.m.EndRunner(ctx, e.Pool, ended)
	if err != nil {
		if address := f.m.ownerAddress(e.Pool); address != "" {
			err = f.m.peers.EndRunner(ctx, address, e.Pool, ended)
		}
	}
	if err != nil {
		f.m.logger.Info("cannot notify pool owner of ended runner", "pool", e.Pool, "runner", e.Runner, "error", err)
	}
}

// saveWave queues the row with the progress of a wave.
func (f *fleetOwner) saveWave(e *maintenance.SaveWave) {
	value, err := json.Marshal(waveRecord{Begun: e.Begun, Completed: e.Completed})
	if err != nil {
		f.m.logger.Error("cannot encode wave", "wave", e.Wave, "error", err)
		return
	}
	f.enqueueRow(table.Key{Table: waveTable, Name: strconv.Itoa(int(e.Wave))}, value)
}

// reportWave queues the row that reports a wave's state to the operator.
func (f *fleetOwner) reportWave(e *maintenance.ReportWave) {
	key, value := f.m.schema.WaveReport(e)
	f.enqueueRow(key, value)
	f.m.logger.Info("wave reported", "wave", e.Wave, "state", e.State)
}

// enqueueRow queues a row to be stored. It drops the row if the queue is full.
func (f *fleetOwner) enqueueRow(key table.Key, value []byte) {
	select {
	case f.pendingRows <- table.Row{Key: key, Value: value}:
	default:
		f.m.logger.Error("queue of rows to store is full; row dropped", "table", key.Table, "row", key.Name)
	}
}

// storeRows stores queued rows in order and retries each until it succeeds.
func (f *fleetOwner) storeRows(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case row := <-f.pendingRows:
			f.storeRow(ctx, row)
		}
	}
}

func (f *fleetOwner) storeRow(ctx context.Context, row table.Row) {
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		if f.m.ownershipValid(fleetShard) {
			tx := table.Tx{Part: row.Part}
			tx.Put(row.Key, row.Value)
			_, err := f.m.store.Commit(ctx, &tx)
			if err == nil {
				return
			}
			f.m.logger.Warn("cannot store row", "table", row.Table, "row", row.Name, "error", err)
		}
		sleep(ctx, retryBackoff.NextBackOff())
	}
}

// addStartTimes sets the start times of the instances' runners as far as the runners are
// registered.
func (m *Manager) addStartTimes(instances []maintenance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range instances {
		instances[i].Born = m.registrations[string(instances[i].Runner)].runner.Born
	}
}
