package pool

import (
	"time"

	"bronzestair/core/job"
)

// RunnerReport is what a pool's owner tells of a runner.
type RunnerReport struct {
	Runner RunnerID
	// Persistent and Passing count the tasks that last and those that end by themselves.
	Persistent, Passing int
	Used                job.Resources
	Capacity            job.Resources
	Cordoned            bool
	Usable              bool
	// Known is false while the owner has not heard what the runner runs.
	Known bool
}

// Report is what a pool's owner tells of its pool.
type Report struct {
	Pool    job.PoolName
	Runners []RunnerReport
	// Running and Ready are the processor time that tasks have and wait for.
	// Here and below, jobs that have missed their objective do not count: they
	// run on what the others leave.
	Running, Ready job.Milli
	// Arriving is the work that came in lately, in processor time per time, and
	// Backlog the work that has not begun, in processor time times a second.
	Arriving, Backlog job.Milli
	// RunningMemory and ReadyMemory are the same for memory.
	RunningMemory, ReadyMemory job.MiB
	// Spread is how many instances the most widely spread step needs.
	Spread    int
	Recovered bool
}

// Report returns the pool's load.
func (p *Pool) Report(now time.Time) Report {
	report := Report{Pool: p.options.Pool, Recovered: p.recovered(now)}
	for _, r := range p.runnerOrder {
		line := RunnerReport{
			Runner: r.ID, Used: r.used, Capacity: r.Capacity, Cordoned: r.cordoned, Usable: r.usable(now), Known: r.resolved,
		}
		line.Passing = r.trials
		line.Persistent = len(r.tasks) - line.Passing
		report.Runners = append(report.Runners, line)
	}
	for _, j := range p.jobOrder {
		if j.outcome == "" && p.rank(now, j).tier <= tierDeferred {
			report.addJob(j)
		}
	}
	report.Arriving = p.arrivals.rate(now)
	return report
}

// addJob adds what a job's tasks wait for.
func (r *Report) addJob(j *jobState) {
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			r.Backlog += job.Milli(float64(step.notBegun()) * j.work(step.spec))
			r.Ready += job.Milli(step.ready) * step.spec.Demand().CPU
			r.ReadyMemory += job.MiB(step.ready) * step.spec.Demand().Memory
			running := step.onRunners()
			r.Running += job.Milli(running) * step.spec.Demand().CPU
			r.RunningMemory += job.MiB(running) * step.spec.Demand().Memory
			if limit := step.spec.MaxPerInstance; limit > 0 && step.open && step.remaining > 0 {
				r.Spread = max(r.Spread, (step.spec.Count+limit-1)/limit)
			}
		}
	}
}

// onRunners counts the tasks that occupy a runner.
func (s *stepState) onRunners() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].runner != nil {
			n++
		}
	}
	return n
}

// notBegun counts the tasks that are neither running nor done.
func (s *stepState) notBegun() int {
	n := 0
	for i := range s.tasks {
		if st := s.tasks[i].state; st == waiting || st == ready {
			n++
		}
	}
	return n
}

// Forecast of the work that comes in.
const (
	// arrivalWindow is over how long the rate of arriving work is taken: long enough
	// for a few jobs in a turn, short against the turn's seconds.
	arrivalWindow = 1200 * time.Millisecond
	// arrivalAhead is how far ahead the rate is told: an instance that is asked for
	// now takes tasks after about this time.
	arrivalAhead = 1800 * time.Millisecond
	// trendShare of a rise is taken to go on: few jobs make a noisy trend.
	trendShare = 0.6
)

// arrivals measures the work that comes in. The zero value has seen none.
type arrivals struct {
	seen []arrival
}

type arrival struct {
	at   time.Time
	work float64
}

// add notes a job.
func (a *arrivals) add(now time.Time, j *jobState) {
	spec := &j.record.Spec
	if spec.Persistent() {
		return
	}
	work := 0.0
	for i := range spec.Steps {
		work += float64(spec.Steps[i].Count) * j.work(&spec.Steps[i])
	}
	a.seen = append(a.seen, arrival{at: now, work: work})
}

// rate returns the work per time that is expected once instances that are asked
// for now take tasks. It answers turns that rise for seconds: by the time at which
// room for today's rate is there, more is needed.
func (a *arrivals) rate(now time.Time) job.Milli {
	const half = arrivalWindow / 2
	n := 0
	former, latter := 0.0, 0.0
	for _, s := range a.seen {
		switch age := now.Sub(s.at); {
		case age > arrivalWindow:
			n++
		case age > half:
			former += s.work
		default:
			latter += s.work
		}
	}
	a.seen = a.seen[n:]
	mean := (former + latter) / arrivalWindow.Seconds()
	rise := (latter - former) / half.Seconds() / half.Seconds()
	ahead := latter/half.Seconds() + trendShare*rise*(half/2+arrivalAhead).Seconds()
	return job.Milli(max(mean, ahead))
}
