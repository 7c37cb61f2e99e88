package pool

import (
	"time"

	"bronzestair/core/job"
)

// A parked job is one that the owner has no memory for: it is only in the store, and the pool
// knows its id. None of its tasks starts. If a runner lists a run of it, which a previous owner
// has started, the job must be loaded before the run is stopped or its end is acknowledged.

// parkedLoadInterval is the minimum time between two requests to load a parked job.
const parkedLoadInterval = time.Second

// JobParked reports a stored job for which there is no memory. JobStored follows once there is,
// or JobRemoved if the job has ended meanwhile.
type JobParked struct {
	Queue   job.QueueName
	ID      job.ID
	Version RowVersion
}

// LoadParkedJob requests a parked job of which a runner lists a run, whether there is memory or
// not. It is answered by JobStored or JobRemoved.
type LoadParkedJob struct {
	Queue job.QueueName
	ID    job.ID
}

// JobForgotten reports that the pool does not know a job any more of which JobStored or JobParked
// was passed in.
type JobForgotten struct {
	ID job.ID
}

func (*LoadParkedJob) isEffect() {}
func (*JobForgotten) isEffect()  {}

// parkedJob is a parked job.
type parkedJob struct {
	queue       job.QueueName
	version     RowVersion
	requestedAt time.Time
}

// parkedJobs holds the parked jobs of a pool. The zero value has none.
type parkedJobs struct {
	jobs map[job.ID]parkedJob
	// perQueue counts the jobs of each queue.
	perQueue map[job.QueueName]int
}

func (p *parkedJobs) add(e *JobParked) {
	if _, ok := p.jobs[e.ID]; ok {
		return
	}
	if p.jobs == nil {
		p.jobs, p.perQueue = map[job.ID]parkedJob{}, map[job.QueueName]int{}
	}
	p.jobs[e.ID] = parkedJob{queue: e.Queue, version: e.Version}
	p.perQueue[e.Queue]++
}

// remove reports whether the job was parked.
func (p *parkedJobs) remove(id job.ID) bool {
	parked, ok := p.jobs[id]
	if !ok {
		return false
	}
	delete(p.jobs, id)
	if p.perQueue[parked.queue]--; p.perQueue[parked.queue] == 0 {
		delete(p.perQueue, parked.queue)
	}
	return true
}

// apply implements Event.
func (e *JobParked) apply(p *Pool, _ time.Time) {
	if p.jobs[e.ID] != nil {
		return
	}
	if _, ended := p.ended[e.ID]; ended {
		p.emit(&JobForgotten{ID: e.ID})
		return
	}
	p.parked.add(e)
}

// forgetParked forgets a parked job.
func (p *Pool) forgetParked(id job.ID) {
	if p.parked.remove(id) {
		p.emit(&JobForgotten{ID: id})
	}
}

// loadParked requests a parked job, and reports whether the job is parked.
func (p *Pool) loadParked(now time.Time, id job.ID) bool {
	parked, ok := p.parked.jobs[id]
	if !ok {
		return false
	}
	if now.Sub(parked.requestedAt) >= parkedLoadInterval {
		parked.requestedAt = now
		p.parked.jobs[id] = parked
		p.emit(&LoadParkedJob{Queue: parked.queue, ID: id})
	}
	return true
}

// Parked returns the number of parked jobs.
func (p *Pool) Parked() int { return len(p.parked.jobs) }

// AllocatedTasks returns the number of tasks in memory.
func (p *Pool) AllocatedTasks() int {
	n := 0
	for _, j := range p.jobOrder {
		n += j.allocated
	}
	return n
}
