package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bronzestair/core/job"
)

// modelRunner models a runner that carries out orders under a lease and a fencing
// token.
type modelRunner struct {
	simulation *simulation
	id         RunnerID
	// rack is the runner's rack, modelRack if it is not set. kind is its other label, modelKind if it
	// is not set, and registeredKind the one in its registration.
	rack, kind, registeredKind string

	dead   bool
	born   time.Time
	diedAt time.Time
	// registeredBorn is the start time in the runner's registration, which follows born
	// with a delay.
	registeredBorn time.Time
	// disconnectedUntil is when calls arrive again, unregisteredUntil when the runner
	// is registered again.
	disconnectedUntil, unregisteredUntil time.Time
	// maxDelay bounds the additional delay of a call in each direction until
	// congestedUntil.
	maxDelay       time.Duration
	congestedUntil time.Time

	fence     Fence
	leaseEnds time.Time
	running   map[job.TaskID]*modelRun
	// staleRuns holds the highest run number of each task that has ended or was
	// stopped. Starts of runs up to it are rejected.
	staleRuns     map[job.TaskID]int
	ended         []EndedTask
	lastEndNumber int64
}

type modelRun struct {
	run               int
	step              job.Step
	startedAt, endsAt time.Time
	// result is how the run ends at endsAt.
	result RunResult
}

func (r *modelRunner) clock() RunnerClock { return RunnerClock(r.simulation.now.Sub(r.born)) + 1 }

// incarnation names the current incarnation in the run record.
func (r *modelRunner) incarnation() RunnerID {
	return r.id + RunnerID(r.born.Format("@15:04:05.000000"))
}

// restart ends the runner's incarnation and begins another one under the same id after
// the given time, which is registered registrationDelay later.
func (r *modelRunner) restart(downtime, registrationDelay time.Duration) {
	sim := r.simulation
	r.dead, r.diedAt = true, sim.now
	clear(r.running)
	sim.after(downtime, func() {
		r.dead, r.born, r.fence, r.leaseEnds = false, sim.now, 0, time.Time{}
		r.staleRuns, r.ended, r.lastEndNumber = map[job.TaskID]int{}, nil, 0
		sim.after(registrationDelay, func() {
			r.registeredBorn, r.registeredKind = r.born, r.kind
			sim.listRunners()
		})
	})
}

func (r *modelRunner) start(e *StartTask) CallResult {
	if r.dead {
		return Unknown
	}
	if e.Fence < r.fence {
		return RefusedFence
	}
	r.fence = e.Fence
	if e.Until <= r.clock() {
		return RefusedExpired
	}
	r.extendLease(e.Until)
	if current := r.running[e.Task]; current != nil && current.run == e.Run {
		return Done
	}
	if e.Run <= r.staleRuns[e.Task] {
		return RefusedStaleRun
	}
	step := r.simulation.step(e.Task)
	r.simulation.checkStart(e, r, step)
	r.running[e.Task] = r.newRun(e, step)
	r.simulation.starts++
	return Done
}

// newRun returns a run that starts now and ends as the simulation has it.
func (r *modelRunner) newRun(e *StartTask, step job.Step) *modelRun {
	sim := r.simulation
	run := &modelRun{run: e.Run, step: step, startedAt: sim.now, endsAt: sim.now.Add(step.EstimatedRuntime), result: RunDone}
	if sim.runtimeOf != nil {
		run.endsAt = sim.now.Add(sim.runtimeOf(e.Task, r))
	} else if sim.runtimeSpread > 0 {
		factor := 1 + sim.runtimeSpread*(2*sim.random.Float64()-1)
		run.endsAt = sim.now.Add(time.Duration(factor * float64(step.EstimatedRuntime)))
	}
	if sim.failsOn[r.id] {
		run.endsAt, run.result = sim.now, RunFailed
	}
	if sim.failsAfter != nil {
		if life := sim.failsAfter(e.Task, e.Run); life > 0 {
			run.endsAt, run.result = sim.now.Add(life), cmp.Or(sim.failure, RunFailed)
		}
	}
	return run
}

func (r *modelRunner) extendLease(until RunnerClock) {
	until = min(until, r.clock()+RunnerClock(DefaultMaxLease))
	if ends := r.born.Add(time.Duration(until)); ends.After(r.leaseEnds) {
		r.leaseEnds = ends
	}
}

func (r *modelRunner) stop(e *StopTask) CallResult {
	if r.dead {
		return Unknown
	}
	if e.Fence < r.fence {
		return RefusedFence
	}
	r.fence = e.Fence
	r.staleRuns[e.Task] = max(r.staleRuns[e.Task], e.Run)
	if current := r.running[e.Task]; current != nil && current.run <= e.Run {
		r.endRun(e.Task, RunStopped)
	}
	return Done
}

func (r *modelRunner) poll(e *PollRunner) *RunnerPolled {
	polled := &RunnerPolled{Runner: r.id, CallResult: Done, Clock: ClockReading{Clock: r.clock()}, Born: r.born}
	if r.dead {
		polled.CallResult = Unknown
		return polled
	}
	if e.Fence < r.fence {
		polled.CallResult = RefusedFence
		return polled
	}
	r.fence = e.Fence
	if e.Until > 0 {
		r.extendLease(e.Until)
	}
	for len(r.ended) > 0 && r.ended[0].Number <= e.Acknowledged {
		if r.ended[0].Result == RunDone {
			r.simulation.fail(r.simulation.record.acknowledge(r.incarnation(), r.ended[0]))
		}
		r.ended = r.ended[1:]
	}
	for _, task := range r.sortedTasks() {
		run := r.running[task]
		progress := int(time.Duration(r.simulation.now.UnixNano()) / time.Millisecond % 100)
		if run.step.Persistent {
			progress = 100
		} else if r.simulation.runtimeOf != nil {
			progress = run.listedProgress(r.simulation.now)
		}
		polled.Running = append(polled.Running, RunningTask{Task: task, Run: run.run, ProgressPercent: progress})
	}
	polled.Ended = append(polled.Ended, r.ended[:r.listableEnds()]...)
	polled.Truncated = len(polled.Ended) < len(r.ended)
	return polled
}

// The labels of runners without other ones.
const (
	modelKind = "a"
	modelRack = "rack"
)

// progressInterval is how often the listed progress of a run changes.
const progressInterval = time.Second

// listedProgress returns the percentage of a run as of the last multiple of progressInterval.
func (run *modelRun) listedProgress(now time.Time) int {
	listed := now.Truncate(progressInterval)
	if !listed.After(run.startedAt) {
		return 0
	}
	return int(100 * listed.Sub(run.startedAt) / run.endsAt.Sub(run.startedAt))
}

// listableEnds returns the number of ends that fit in the answer to a poll.
func (r *modelRunner) listableEnds() int {
	if limit := r.simulation.maxListedEnds; limit > 0 {
		return min(limit, len(r.ended))
	}
	return len(r.ended)
}

func (r *modelRunner) endRun(task job.TaskID, result RunResult) {
	run := r.running[task]
	delete(r.running, task)
	r.staleRuns[task] = max(r.staleRuns[task], run.run)
	r.lastEndNumber++
	ended := EndedTask{Number: r.lastEndNumber, Task: task, Run: run.run, Result: result}
	r.ended = append(r.ended, ended)
	switch result {
	case RunDone:
		r.simulation.record.complete(r.incarnation(), r.simulation.now, ended)
	case RunLeaseExpired:
		r.simulation.record.expireLease(r.incarnation())
	}
}

// advance ends the runs that are due, and the others if the lease has expired.
func (r *modelRunner) advance() {
	if r.dead || !r.anyRunDue() {
		return
	}
	for _, task := range r.sortedTasks() {
		if run := r.running[task]; !run.endsAt.After(r.simulation.now) && !run.endsAt.After(r.leaseEnds) {
			r.endRun(task, run.result)
		}
	}
	if !r.simulation.now.After(r.leaseEnds) {
		return
	}
	for _, task := range r.sortedTasks() {
		r.endRun(task, RunLeaseExpired)
	}
}

// anyRunDue reports whether any run ends by now.
func (r *modelRunner) anyRunDue() bool {
	for _, run := range r.running {
		if r.simulation.now.After(r.leaseEnds) || !run.endsAt.After(r.simulation.now) {
			return true
		}
	}
	return false
}

func (r *modelRunner) sortedTasks() []job.TaskID {
	return slices.SortedFunc(maps.Keys(r.running), job.TaskID.Compare)
}
