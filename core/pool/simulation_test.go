package pool

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bronzestair/core/job"
)

// simulation runs a Pool in virtual time against model runners and a model store. It
// records the runs independently of the pool and fails the test if an invariant is
// violated.
type simulation struct {
	t      testing.TB
	random *rand.Rand
	now    time.Time
	timers timerQueue
	pool   *Pool
	epoch  int
	// previousPool is the previous owner, which continues until previousActiveUntil.
	previousPool        *Pool
	previousActiveUntil time.Time
	runners             []*modelRunner
	stored              map[job.ID]*storedJob
	// version is the version of the last write to the store.
	version RowVersion
	// takeoverVersion is the version at which the owner took over.
	takeoverVersion RowVersion
	// loadDelay is how long a new owner takes to read a job.
	loadDelay time.Duration
	// storeDownUntil is when the store accepts writes again, incarnationsUnknownUntil
	// when the list of incarnations can be read again.
	storeDownUntil, incarnationsUnknownUntil time.Time
	// maxListedEnds limits the ends in the answer to a poll; 0 means no limit.
	maxListedEnds int
	faults        faults
	// refusesProgress reports whether the store refuses the progress of a job, if it is not nil.
	refusesProgress func(job.ID) bool
	// options are those of each owner. Its pool, fence and epoch are set by the simulation.
	options Options
	// runnerCPU is the CPU capacity of each runner.
	runnerCPU job.MilliCPU

	record      runRecord
	finishedAt  map[job.ID]time.Time
	submittedAt map[job.ID]time.Time
	// violation describes the first violated invariant.
	violation string
	// reduceTime is the real time spent in Reduce, which benchmarks report.
	reduceTime time.Duration
	eventCount int
	// failsAfter returns how long after its start a run fails, 0 for never, and failsOn holds
	// the runners on which every run fails at once. failure is the result of a run that
	// fails, RunFailed if it is not set.
	failsAfter func(task job.TaskID, run int) time.Duration
	failsOn    map[RunnerID]bool
	failure    RunResult
	// runtimeOf returns the run time of a task that is started on a runner, if it is not nil. The
	// estimate of its step is exact otherwise.
	runtimeOf func(task job.TaskID, r *modelRunner) time.Duration
	// observe is called with each effect, if it is not nil.
	observe func(Effect)
	// runtimeSpread is the largest part by which run times differ from their estimates.
	runtimeSpread float64
	// polls counts the polls of runners, starts the runs.
	polls, starts int
	uplink        modelLink
}

// faults holds the probability of each fault per call or write.
type faults struct {
	lostRequests, lostResponses, lateRequests, failedWrites float64
}

type storedJob struct {
	record          *job.Record
	version         RowVersion
	progress        *job.Progress
	progressVersion RowVersion
}

type timer struct {
	at time.Time
	// seq orders timers that are due at the same time.
	seq int
	fn  func()
}

// timerQueue is a heap of timers. It implements heap.Interface.
type timerQueue struct {
	entries []timer
	seq     int
}

func (q *timerQueue) Len() int { return len(q.entries) }
func (q *timerQueue) Less(i, j int) bool {
	if !q.entries[i].at.Equal(q.entries[j].at) {
		return q.entries[i].at.Before(q.entries[j].at)
	}
	return q.entries[i].seq < q.entries[j].seq
}
func (q *timerQueue) Swap(i, j int) { q.entries[i], q.entries[j] = q.entries[j], q.entries[i] }
func (q *timerQueue) Push(x any)    { q.entries = append(q.entries, x.(timer)) }
func (q *timerQueue) Pop() any {
	last := q.entries[len(q.entries)-1]
	q.entries = q.entries[:len(q.entries)-1]
	return last
}

// simulationStart is the virtual time at which every simulation starts.
var simulationStart = time.Unix(1_000_000, 0)

func newSimulation(t testing.TB, seed uint64, runners int, f faults) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: simulationStart, faults: f, runnerCPU: 8000,
		stored:     map[job.ID]*storedJob{},
		finishedAt: map[job.ID]time.Time{}, submittedAt: map[job.ID]time.Time{},
	}
	for i := range runners {
		sim.runners = append(sim.runners, sim.newRunner(i))
	}
	sim.takeOver()
	sim.tick()
	sim.listIncarnations()
	return sim
}

func (sim *simulation) newRunner(n int) *modelRunner {
	return &modelRunner{
		simulation: sim, id: RunnerID(fmt.Sprintf("r%d", n)), born: sim.now, registeredBorn: sim.now,
		running: map[job.TaskID]*modelRun{}, staleRuns: map[job.TaskID]int{},
	}
}

// fail records the first violation, which stops the simulation. An empty reason is
// ignored.
func (sim *simulation) fail(reason string) {
	if sim.violation == "" && reason != "" {
		sim.violation = fmt.Sprintf("after %v: %s", sim.now.Sub(simulationStart), reason)
	}
}

// after schedules a function call in virtual time.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.timers.seq++
	heap.Push(&sim.timers, timer{at: sim.now.Add(d), seq: sim.timers.seq, fn: fn})
}

// run advances the virtual time by d and fires the timers that become due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for sim.timers.Len() > 0 && !sim.timers.entries[0].at.After(end) && sim.violation == "" {
		next := heap.Pop(&sim.timers).(timer)
		sim.now = next.at
		for _, r := range sim.runners {
			r.advance()
		}
		next.fn()
	}
	sim.now = end
	if sim.violation != "" {
		sim.t.Fatal(sim.violation)
	}
}

// runUntil advances the virtual time until the condition holds, at most by limit.
func (sim *simulation) runUntil(condition func() bool, limit time.Duration) {
	sim.t.Helper()
	for end := sim.now.Add(limit); !condition(); sim.run(10 * time.Millisecond) {
		if !sim.now.Before(end) {
			sim.t.Fatalf("the condition does not hold after %v", limit)
		}
	}
}

func (sim *simulation) tick() {
	sim.send(sim.pool, Ticked{})
	if sim.previousPool != nil {
		sim.send(sim.previousPool, Ticked{})
	}
	sim.after(50*time.Millisecond, sim.tick)
}

// submit stores a job and passes it to the owner.
func (sim *simulation) submit(n int, spec job.Spec) {
	sim.version++
	s := &storedJob{record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(n), Spec: spec, Accepted: sim.now}, version: sim.version}
	sim.stored[jobID(n)] = s
	sim.submittedAt[jobID(n)] = sim.now
	sim.send(sim.pool, &JobStored{Record: s.record, Version: s.version})
}

// send passes an event to an owner and performs the resulting effects.
func (sim *simulation) send(p *Pool, e Event) {
	if p != sim.pool && (p != sim.previousPool || sim.now.After(sim.previousActiveUntil)) {
		return // the process of this previous owner has exited
	}
	start := time.Now()
	effects := append([]Effect(nil), p.Reduce(sim.now, e)...)
	sim.reduceTime += time.Since(start)
	sim.eventCount++
	for _, effect := range effects {
		sim.perform(p, effect)
	}
}

func (sim *simulation) runner(id RunnerID) *modelRunner {
	for _, r := range sim.runners {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (sim *simulation) perform(p *Pool, effect Effect) {
	if sim.observe != nil {
		sim.observe(effect)
	}
	switch e := effect.(type) {
	case *StartTask:
		r := sim.runner(e.Runner.ID)
		sent := sim.now
		sim.deliver(r, startBytes, func() func() {
			result, clock := r.start(e), r.clock()
			return func() {
				sim.send(p, &TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: result, Sent: sent, Clock: ClockReading{clock, sim.now}, Took: sim.now.Sub(sent)})
			}
		}, func(result CallResult) {
			sim.send(p, &TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: result, Sent: sent, Took: sim.now.Sub(sent)})
		})
	case *StopTask:
		r := sim.runner(e.Runner.ID)
		sent := sim.now
		sim.deliver(r, stopBytes, func() func() {
			result, clock := r.stop(e), r.clock()
			return func() {
				sim.send(p, &TaskStopped{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: result, Sent: sent, Clock: ClockReading{clock, sim.now}})
			}
		}, func(result CallResult) {
			sim.send(p, &TaskStopped{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: result, Sent: sent})
		})
	case *PollRunner:
		sim.polls++
		r := sim.runner(e.Runner.ID)
		sent := sim.now
		sim.deliver(r, pollBytes, func() func() {
			polled := r.poll(e)
			polled.Sent = sent
			return func() {
				polled.Clock.At = sim.now
				sim.send(p, polled)
			}
		}, func(result CallResult) {
			sim.send(p, &RunnerPolled{Runner: e.Runner.ID, CallResult: result, Sent: sent})
		})
	case *LookUpOutcome:
		sim.lookUpOutcome(p, e.ID)
	case *StepDown:
		if p == sim.pool {
			sim.after(300*time.Millisecond, sim.takeOver)
		}
	case *SaveProgress:
		sim.saveJob(p, e.ID, e.Version, e.ProgressVersion, e.Seq, func(s *storedJob) { s.progress, s.progressVersion = e.Progress, sim.version })
	case *FinishJob:
		sim.saveJob(p, e.ID, e.Version, e.ProgressVersion, e.Seq, nil)
		if e.Outcome.State != job.Completed {
			sim.fail(fmt.Sprintf("job %s is finished as %s instead of completed", e.ID, e.Outcome.State))
		}
	}
}

func (sim *simulation) step(task job.TaskID) job.Step {
	s := sim.stored[task.Job]
	if s == nil {
		sim.fail(fmt.Sprintf("task %v is started after its job was finished", task))
		return job.Step{}
	}
	return s.record.Spec.Steps[task.Step]
}

// checkStart verifies that the runner has enough CPU and the required label, that no live runner runs the
// task, that no completion of it was acknowledged unless it is persistent, and that
// the steps before are done.
func (sim *simulation) checkStart(e *StartTask, r *modelRunner, step job.Step) {
	used := step.Demand()
	for _, run := range r.running {
		used = used.Add(run.step.Demand())
	}
	if used.CPU > sim.runnerCPU {
		sim.fail(fmt.Sprintf("tasks on %s use %d of %d millicores", r.id, used.CPU, sim.runnerCPU))
	}
	if !step.Persistent {
		sim.fail(sim.record.start(r.id, sim.now, e.Task, e.Run))
	}
	if label := step.RequiredLabel; label != "" && label != cmp.Or(r.kind, modelKind) && label != cmp.Or(r.rack, modelRack) {
		sim.fail(fmt.Sprintf("%v needs %q and is started on %s, which is of kind %q", e.Task, label, r.id, r.kind))
	}
	for _, other := range sim.runners {
		if run := other.running[e.Task]; !other.dead && run != nil {
			sim.fail(fmt.Sprintf("%v: run %d still runs on %s while run %d is started on %s", e.Task, run.run, other.id, e.Run, r.id))
		}
	}
	for _, before := range step.After {
		spec := sim.stored[e.Task.Job].record.Spec.Steps[before]
		for i := range spec.Count {
			if !sim.record.completed(job.TaskID{Job: e.Task.Job, Step: before, Index: i}) {
				sim.fail(fmt.Sprintf("%v is started before step %d is done", e.Task, before))
			}
		}
	}
}
