package pool

import (
	"time"

	"bronzestair/core/job"
)

// evacuate empties cordoned and draining runners of persistent tasks, as far as
// their steps may miss some. Other tasks end by themselves.
func (p *Pool) evacuate(now time.Time) {
	for _, r := range p.runners {
		if !r.cordoned && !r.Draining {
			continue
		}
		for _, t := range r.tasks {
			if t.step.spec.Persistent && t.state == running && p.mayInterrupt(t) {
				p.stopTask(now, t, "evacuation")
			}
		}
	}
}

// mayInterrupt reports whether planned work may end a persistent task now.
func (p *Pool) mayInterrupt(t *task) bool {
	if t.step.spec.MayMiss == 0 {
		return true
	}
	away := 0
	for i := range t.step.tasks {
		if other := &t.step.tasks[i]; other != t && !other.atWork() {
			away++
		}
	}
	return away < t.step.spec.MayMiss
}

// Pacing of tasks that fill beside tasks that serve. It answers tails that rise
// as the work of the fillers changes within seconds.
const (
	// slowDownAbove and speedUpBelow bound a serving task's tail against its target.
	slowDownAbove = 0.85
	speedUpBelow  = 0.5
	// slowDownStep and speedUpStep are in percent of full pace.
	slowDownStep = 40
	speedUpStep  = 10
	maxSlowed    = 100
	// speedUpPause is the least time between two steps up.
	speedUpPause = 1 * time.Second
)

// pace slows the fillers of each runner on which a serving task is near its target.
func (p *Pool) pace(now time.Time) {
	for _, r := range p.runners {
		worst := 0.0
		serving := false
		for _, t := range r.tasks {
			if target := t.step.spec.LatencyTarget; target > 0 && t.state == running {
				serving = true
				worst = max(worst, float64(t.tail)/float64(target))
			}
		}
		for _, t := range r.tasks {
			if t.step.spec.Fills && t.state == running {
				p.paceFiller(now, r, t, serving, worst)
			}
		}
	}
}

func (p *Pool) paceFiller(now time.Time, r *runnerState, t *task, serving bool, worst float64) {
	slowed := t.slowed
	switch {
	case !serving:
		slowed = 0
	case worst > slowDownAbove && now.Sub(t.ordered) > 2*holdGap:
		slowed = min(maxSlowed, slowed+slowDownStep)
	case worst < speedUpBelow && now.Sub(t.ordered) > speedUpPause:
		slowed = max(0, slowed-speedUpStep)
	}
	if slowed == t.slowed {
		return
	}
	t.slowed = slowed
	t.ordered = now
	p.emit(&PaceTask{Runner: r.Runner, Task: t.id, Run: t.run, Percent: 100 - slowed, Fence: p.options.Fence})
}

// RunnerReport is what a pool's owner tells of a runner.
type RunnerReport struct {
	Runner RunnerID
	// Persistent and Passing count the tasks that last and those that end by themselves.
	Persistent, Passing int
	Used                job.Resources
	Capacity            job.Resources
	Cordoned            bool
	Usable              bool
}

// Report is what a pool's owner tells of its pool.
type Report struct {
	Pool    job.PoolName
	Runners []RunnerReport
	// Running and Ready are the processor time that tasks have and wait for.
	Running, Ready job.Milli
	Recovered      bool
}

// Report returns the pool's load.
func (p *Pool) Report(now time.Time) Report {
	report := Report{Pool: p.options.Pool, Recovered: p.recovered(now)}
	for _, r := range p.runners {
		line := RunnerReport{
			Runner: r.ID, Used: r.used, Capacity: r.Capacity, Cordoned: r.cordoned, Usable: r.usable(now),
		}
		line.Passing = r.countTrials()
		line.Persistent = len(r.tasks) - line.Passing
		report.Running += r.used.CPU
		report.Runners = append(report.Runners, line)
	}
	for _, j := range p.jobs {
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				report.Ready += job.Milli(step.ready) * step.spec.Demand().CPU
			}
		}
	}
	return report
}
