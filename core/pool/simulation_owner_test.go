package pool

import (
	"cmp"
	"time"

	"bronzestair/core/job"
)

const (
	// registrationTTL is how long a dead runner remains registered.
	registrationTTL = 1500 * time.Millisecond
	// incarnationListInterval is how often the owner lists the live incarnations.
	incarnationListInterval = 250 * time.Millisecond
)

// takeOver replaces the owner with one that knows only the stored state. The previous
// owner continues for 800 ms, because it does not know of the takeover yet.
func (sim *simulation) takeOver() {
	sim.epoch++
	sim.previousPool, sim.previousActiveUntil = sim.pool, sim.now.Add(800*time.Millisecond)
	options := sim.options
	options.Pool, options.Fence, options.Epoch, options.Loading = testPool, Fence(sim.epoch), sim.epoch, true
	sim.pool = New(options, sim.now)
	sim.takeoverVersion = sim.version
	sim.send(sim.pool, &QueuesChanged{Queues: map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}}})
	sim.listRunners()
	sim.loadJobs(sim.pool)
}

// loadJobs starts to load the stored jobs once no previous owner can acknowledge ends.
func (sim *simulation) loadJobs(p *Pool) {
	if p != sim.pool {
		return
	}
	if !p.PreviousOwnersFenced(sim.now) {
		sim.after(10*time.Millisecond, func() { sim.loadJobs(p) })
		return
	}
	stored := map[job.ID]bool{}
	for id := range sim.stored {
		stored[id] = true
	}
	sim.loadRemaining(p, sortedIDs(stored), &JobsLoaded{Present: map[job.ID]bool{}, Version: sim.version})
}

// loadRemaining passes the jobs to the owner one after the other, each as it is stored
// at that time, with pauses of loadDelay.
func (sim *simulation) loadRemaining(p *Pool, ids []job.ID, loaded *JobsLoaded) {
	for p == sim.pool && len(ids) > 0 {
		id := ids[0]
		ids = ids[1:]
		if s := sim.stored[id]; s != nil {
			loaded.Present[id] = true
			sim.send(p, &JobStored{
				Record: s.record, Version: s.version, Progress: s.progress, ProgressVersion: s.progressVersion,
				Inherited: s.version <= sim.takeoverVersion,
			})
		}
		if sim.loadDelay > 0 && len(ids) > 0 {
			sim.after(sim.loadDelay, func() { sim.loadRemaining(p, ids, loaded) })
			return
		}
	}
	if p == sim.pool {
		sim.send(p, loaded)
	}
}

func sortedIDs(set map[job.ID]bool) []job.ID {
	var out []job.ID
	for n := range 10_000 {
		if set[jobID(n)] {
			out = append(out, jobID(n))
		}
	}
	return out
}

// listRunners passes the registered runners to the owner.
func (sim *simulation) listRunners() {
	event := &RunnersListed{}
	for _, r := range sim.runners {
		if r.registered() {
			event.Runners = append(event.Runners, Runner{
				ID: r.id, Born: r.registeredBorn, Capacity: job.Resources{CPU: sim.runnerCPU, Memory: 65536}, Labels: []string{cmp.Or(r.registeredKind, modelKind), cmp.Or(r.rack, modelRack)},
			})
		}
	}
	sim.send(sim.pool, event)
}

// listIncarnations passes the live incarnations to the owner periodically.
func (sim *simulation) listIncarnations() {
	sim.after(incarnationListInterval, sim.listIncarnations)
	if sim.now.Before(sim.incarnationsUnknownUntil) {
		return
	}
	p := sim.pool
	event := &IncarnationsListed{Alive: map[RunnerID]bool{}, RequestedAt: sim.now}
	for _, r := range sim.runners {
		if !r.dead {
			event.Alive[r.id] = true
		}
	}
	sim.after(20*time.Millisecond, func() { sim.send(p, event) })
}

// kill terminates a runner. Its registration expires later.
func (sim *simulation) kill(r *modelRunner) {
	r.dead, r.diedAt = true, sim.now
	sim.after(registrationTTL, sim.listRunners)
}

// unregister removes a runner from the list of registrations for the duration d.
func (sim *simulation) unregister(r *modelRunner, d time.Duration) {
	r.unregisteredUntil = sim.now.Add(d)
	sim.listRunners()
	sim.after(d, sim.listRunners)
}

// saveJob stores the progress that apply sets, or the outcome if apply is nil.
func (sim *simulation) saveJob(p *Pool, id job.ID, version, progressVersion RowVersion, seq uint64, apply func(*storedJob)) {
	sim.after(5*time.Millisecond, func() {
		s := sim.stored[id]
		switch {
		case sim.random.Float64() < sim.faults.failedWrites || sim.now.Before(sim.storeDownUntil),
			apply != nil && sim.refusesProgress != nil && sim.refusesProgress(id):
			sim.send(p, &JobSaved{ID: id, Seq: seq, Failed: true})
			return
		case s == nil:
			sim.send(p, &JobEnded{ID: id, Outcome: job.Outcome{State: job.Completed, At: sim.now}})
			return
		case s.version != version || s.progressVersion != progressVersion:
			sim.send(p, &OwnerChanged{ID: id})
			return
		}
		sim.version++
		if apply == nil {
			delete(sim.stored, id)
			sim.finishedAt[id] = sim.now
		} else {
			apply(s)
		}
		sim.send(p, &JobSaved{ID: id, Seq: seq, Version: sim.version, Finished: apply == nil})
	})
}

// lookUpOutcome passes the stored outcome of a finished job to the owner.
func (sim *simulation) lookUpOutcome(p *Pool, id job.ID) {
	sim.after(5*time.Millisecond, func() {
		if at, ok := sim.finishedAt[id]; ok {
			sim.send(p, &JobEnded{ID: id, Outcome: job.Outcome{State: job.Completed, At: at}})
		}
	})
}
