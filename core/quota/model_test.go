package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bronzestair/core/job"
)

// modelOrganisation is the one organisation of the model.
const modelOrganisation job.Organisation = "weaver"

// modelFault is a deliberate fault of the model, which the check must find.
type modelFault string

const (
	noFault               modelFault = ""
	faultNoWaitForReports modelFault = "a new lender does not wait for reports"
	faultLowerAtOnce      modelFault = "a lowered lease counts before it is acknowledged"
	faultReordered        modelFault = "a holder applies requests in any order"
	faultValidFromReceipt modelFault = "a lease is valid from the receipt of a late request"
	faultIgnoreUnresolved modelFault = "a new owner does not count runners not yet heard from"
	faultWholeTaskForAll  modelFault = "all pools may start a whole task at once"
	faultNoWholeTask      modelFault = "no pool may start a task beyond its lease"
	faultFloorsAtOnce     modelFault = "floors are raised before all entries know the pools"
)

// model plays owners of pools and of the fleet, partitions, takeovers and late messages in virtual
// time. Real time is a duration since the beginning; each entry has a clock of its own.
type model struct {
	fault  modelFault
	random *rand.Rand
	now    time.Duration
	queue  modelQueue
	order  int
	// smallTasks, stableCap and stablePools restrict a sequence, as large tasks, raised caps and
	// fewer pools leave so much tolerance that faults do not show.
	smallTasks, stableCap, stablePools bool
	// longestRun is the longest time that most tasks take.
	longestRun time.Duration
	// calm is true once no further disruption happens.
	calm      bool
	configs   []modelConfig
	entries   []*modelEntry
	pools     []*modelPool
	lender    *modelLender
	fence     uint64
	nextTask  int
	starts    int
	lastStart time.Duration
	failure   string
}

// modelConfig is a configuration and the real time of its acknowledgement by the store.
type modelConfig struct {
	at    time.Duration
	limit job.Resources
	pools []job.PoolName
}

// modelEntry is a process with a clock that runs too fast or too slow.
type modelEntry struct {
	rate   float64
	config int
	floors Floors
}

type modelRunner struct {
	capacity job.Resources
	fence    uint64
	running  map[int]modelTask
}

type modelTask struct {
	id        int
	need      job.Resources
	startedAt time.Duration
}

type modelPool struct {
	name    job.PoolName
	runners []*modelRunner
	owner   *modelOwner
	// former may still act for a while.
	former *modelOwner
	// cutUntil is when calls from the owner of the fleet reach the pool again.
	cutUntil time.Duration
	waiting  []modelTask
}

// modelOwner is the owner of a pool.
type modelOwner struct {
	m        *model
	pool     *modelPool
	entry    *modelEntry
	fence    uint64
	since    time.Duration
	ended    bool
	holder   Holder
	assigned map[int]modelAssignment
	// unresolved holds the runners that have not answered.
	unresolved map[*modelRunner]bool
	capWaiting job.Resources
}

type modelAssignment struct {
	task   modelTask
	runner *modelRunner
}

type modelLender struct {
	*Lender
	entry *modelEntry
	ended bool
}

func (e *modelEntry) clock(now time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(now) * e.rate))
}

type modelEvent struct {
	at    time.Duration
	order int
	run   func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (m *model) after(d time.Duration, f func()) {
	m.order++
	heap.Push(&m.queue, modelEvent{at: m.now + d, order: m.order, run: f})
}

// runUntil plays the events up to a time or the first failure.
func (m *model) runUntil(end time.Duration) {
	for m.failure == "" && len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = end
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)+1))
}

func (m *model) chance(percent int) bool { return m.random.IntN(100) < percent }

// latency is that of a message, which may be lost or very late until all is calm.
func (m *model) latency() (d time.Duration, lost bool) {
	switch n := m.random.IntN(100); {
	case m.calm || n < 80:
		return m.between(time.Millisecond, 20*time.Millisecond), false
	case n < 90:
		return m.between(100*time.Millisecond, 600*time.Millisecond), false
	case n < 95:
		return m.between(time.Second, 9*time.Second), false
	default:
		return 0, true
	}
}

func newModel(seed uint64, fault modelFault) *model {
	m := &model{fault: fault, random: rand.New(rand.NewPCG(seed, 1))}
	m.smallTasks, m.stableCap, m.stablePools = m.chance(70), m.chance(70), m.chance(50)
	m.longestRun = 4 * time.Second
	if m.chance(30) {
		m.longestRun = 20 * time.Second
	}
	for range 3 {
		m.entries = append(m.entries, &modelEntry{rate: 1 + (m.random.Float64()*2-1)*clockDriftPercent/100, config: -1})
	}
	capacity := job.Resources{CPU: job.MilliCPU(50 + m.random.IntN(150)), Memory: job.MiB(200 + m.random.IntN(400))}
	for i := range 2 + m.random.IntN(4) {
		p := &modelPool{name: job.PoolName(fmt.Sprint("pool-", i))}
		for range 1 + m.random.IntN(4) {
			p.runners = append(p.runners, &modelRunner{capacity: capacity, running: map[int]modelTask{}})
		}
		m.pools = append(m.pools, p)
	}
	m.configure(m.randomCap())
	for _, e := range m.entries {
		e.apply(m, 0)
	}
	for _, p := range m.pools {
		m.takeOver(p)
		p.owner.unresolved = map[*modelRunner]bool{} // the first owner has no predecessor
		m.tickPool(p)
	}
	m.takeOverFleet()
	m.act()
	return m
}

func (m *model) randomCap() job.Resources {
	limit := job.Resources{CPU: job.MilliCPU(50 + m.random.IntN(150))}
	if m.chance(5) {
		limit.CPU *= 50 // more than the capacity of all instances
	}
	if m.chance(30) {
		limit.Memory = job.MiB(100 + m.random.IntN(200))
	}
	return limit
}

// configure puts a configuration with some of the pools into the store.
func (m *model) configure(limit job.Resources) {
	c := modelConfig{at: m.now, limit: limit}
	for i, p := range m.pools {
		if i == 0 || m.stablePools || m.chance(60) {
			c.pools = append(c.pools, p.name)
		}
	}
	m.configs = append(m.configs, c)
	index := len(m.configs) - 1
	for _, e := range m.entries {
		m.after(m.between(0, 3*time.Second), func() { e.apply(m, index) })
	}
}

func (e *modelEntry) apply(m *model, index int) {
	if index > e.config {
		e.config = index
		e.floors.Configure(e.clock(m.now), m.configs[index].pools)
	}
}

// act plays one disruption and plans the next.
func (m *model) act() {
	if m.calm {
		return
	}
	p := m.pools[m.random.IntN(len(m.pools))]
	switch n := m.random.IntN(100); {
	case n < 40:
		m.submit(p, 1+m.random.IntN(10))
	case n < 60:
		for _, other := range m.pools { // demand moves from pool to pool
			other.waiting = nil
		}
		m.submit(p, maxModelWaiting)
	case n < 75:
		m.endTasks(p)
	case n < 82:
		m.takeOver(p)
	case n < 87:
		m.takeOverFleet()
	case n < 93:
		p.cutUntil = m.now + m.between(0, 12*time.Second)
		m.after(m.between(0, time.Second), func() { m.submit(p, maxModelWaiting) })
	case n < 97 && !m.stableCap:
		m.configure(m.randomCap())
	case !m.stablePools:
		m.configure(m.configs[len(m.configs)-1].limit)
	}
	m.after(m.between(0, 400*time.Millisecond), m.act)
}

// maxModelWaiting bounds the tasks that wait in a pool.
const maxModelWaiting = 30

func (m *model) submit(p *modelPool, count int) {
	limit := m.configs[len(m.configs)-1].limit
	largestTask := int(limit.CPU) / 20
	if !m.smallTasks && m.chance(20) {
		largestTask = 2 * int(limit.CPU)
	}
	need := job.Resources{CPU: job.MilliCPU(1 + m.random.IntN(max(1, largestTask))), Memory: job.MiB(m.random.IntN(10))}
	for range min(count, maxModelWaiting-len(p.waiting)) {
		m.nextTask++
		p.waiting = append(p.waiting, modelTask{id: m.nextTask, need: need})
	}
	p.owner.dispatch()
}

// endTasks ends some running tasks of a pool, of which its owners learn later.
func (m *model) endTasks(p *modelPool) {
	for _, r := range p.runners {
		for _, id := range sortedIDs(r.running) {
			if m.chance(60) {
				m.endTask(p, r, id)
			}
		}
	}
}

func (m *model) endTask(p *modelPool, r *modelRunner, id int) {
	delete(r.running, id)
	for _, o := range []*modelOwner{p.owner, p.former} {
		if o != nil {
			m.after(m.between(0, 300*time.Millisecond), func() {
				if a, ok := o.assigned[id]; ok && a.runner.running[id].id == 0 {
					delete(o.assigned, id)
					o.dispatch()
				}
			})
		}
	}
}

func sortedIDs(tasks map[int]modelTask) []int {
	var ids []int
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// running returns what runs in all pools, the largest task and when the oldest was started.
func (m *model) running() (sum, largestTask job.Resources, oldest time.Duration) {
	oldest = m.now
	for _, p := range m.pools {
		for _, r := range p.runners {
			for _, t := range r.running {
				sum, largestTask, oldest = sum.Add(t.need), largest(largestTask, t.need), min(oldest, t.startedAt)
			}
		}
	}
	return sum, largestTask, oldest
}

// checkStart checks the cap when a task has started.
func (m *model) checkStart() {
	sum, largestTask, oldest := m.running()
	// Tasks that run may have been started under any cap since the oldest was started, or one
	// that some entry did not know to be replaced then.
	inForceSince := oldest - 3*time.Second - time.Second
	var limit job.Resources
	unlimitedMemory := false
	for i, c := range m.configs {
		if i == len(m.configs)-1 || m.configs[i+1].at >= inForceSince {
			limit = largest(limit, c.limit)
			unlimitedMemory = unlimitedMemory || c.limit.Memory == 0
		}
	}
	exceeds := func(sum, limit, one int) bool { return 10*sum > 11*limit+10*one }
	if exceeds(int(sum.CPU), int(limit.CPU), int(largestTask.CPU)) ||
		!unlimitedMemory && exceeds(int(sum.Memory), int(limit.Memory), int(largestTask.Memory)) {
		m.failure = fmt.Sprintf("at %v %v is running, the cap is %v, the largest task %v", m.now, sum, limit, largestTask)
	}
}
