package pool

import (
	"time"

	"bronzestair/core/job"
)

// RunnerReport describes the load of a runner.
type RunnerReport struct {
	Runner RunnerID
	// Persistent counts the persistent tasks and Passing the batch tasks, which end by
	// themselves. Passing includes tasks whose ends are not stored yet.
	Persistent, Passing int
	Used                job.Resources
	Capacity            job.Resources
	Cordoned            bool
	Usable              bool
	// Withheld is true if the runner takes no tasks for a while although nobody has
	// cordoned it: it is ejected or shuts down.
	Withheld bool
	// Known is false while the owner does not know the state of the runner's tasks.
	Known bool
}

// Report describes the load of a pool and its runners.
type Report struct {
	Pool    job.PoolName
	Runners []RunnerReport
	// RunningCPU and ReadyCPU are the CPU demands of assigned and of ready tasks. Here
	// and below, jobs that have missed their objective or are in excess do not count,
	// because they run on the capacity that the others leave.
	RunningCPU, ReadyCPU job.MilliCPU
	// Arriving is the forecast arrival rate of work in millicores. Backlog is the work
	// of the ready tasks in millicore-seconds.
	Arriving, Backlog job.MilliCPU
	// RunningMemory and ReadyMemory are the same for memory.
	RunningMemory, ReadyMemory job.MiB
	// Spread is the minimum number of instances that the steps with MaxPerInstance need.
	Spread    int
	Recovered bool
	// Fence is the fencing token of the owner that reports. It is carried only with the load
	// of organisations.
	Fence Fence
	// Organisations is empty if the configuration names none.
	Organisations []OrganisationLoad
}

// Size returns the number of known runners.
func (p *Pool) Size() int { return len(p.runnerOrder) }

// Report returns the pool's load.
func (p *Pool) Report(now time.Time) Report {
	report := Report{Pool: p.options.Pool, Fence: p.options.Fence, Recovered: p.Recovered(now)}
	for _, r := range p.runnerOrder {
		runner := RunnerReport{
			Runner: r.ID, Used: r.used, Capacity: r.Capacity, Cordoned: r.cordoned, Usable: r.usable(now),
			Withheld: !r.cordoned && (r.Draining || r.health.ejected(now)),
			Known:    r.resolved && (len(r.tasks) == 0 || r.failedCalls == 0),
		}
		runner.Passing = r.batchTasks + r.unsavedEnds()
		runner.Persistent = len(r.tasks) - r.batchTasks
		report.Runners = append(report.Runners, runner)
	}
	for _, j := range p.jobOrder {
		if j.outcome == "" && p.rank(now, j).tier <= tierDeferred {
			report.addJob(j)
		}
	}
	report.Arriving = p.arrivals.rate(now)
	report.Organisations = p.organisationLoads(now)
	return report
}

// addJob adds the demand of a job's tasks.
func (r *Report) addJob(j *jobState) {
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			r.Backlog += job.MilliCPU(float64(step.ready) * j.expectedWork(step.spec))
			r.ReadyCPU += job.MilliCPU(step.ready) * step.spec.Demand().CPU
			r.ReadyMemory += job.MiB(step.ready) * step.spec.Demand().Memory
			running := step.assigned()
			r.RunningCPU += job.MilliCPU(running) * step.spec.Demand().CPU
			r.RunningMemory += job.MiB(running) * step.spec.Demand().Memory
			if limit := step.spec.MaxPerInstance; limit > 0 && step.unblocked && step.remaining > 0 {
				r.Spread = max(r.Spread, (step.spec.Count+limit-1)/limit)
			}
		}
	}
}
