package pool

import (
	"cmp"
	"slices"
	"time"

	"bronzestair/core/job"
)

// maxExplainExamples is how many runners are named for each obstacle.
const maxExplainExamples = 3

// explainedID is the id of the job that Explain places in thought. No caller can choose it, as
// ids are hexadecimal.
const explainedID job.ID = "explained-job---"

// Explanation says where the tasks of a job would be placed if it were accepted now.
type Explanation struct {
	Pool job.PoolName `json:"pool"`
	// Ready is false while the pool's owner is new and some runners have not answered yet.
	Ready bool              `json:"ready"`
	Steps []StepExplanation `json:"steps"`
}

// StepExplanation explains the placement of one step.
type StepExplanation struct {
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	// After lists the steps that must be done before. The step is explained as if they were.
	After []int `json:"after,omitempty"`
	// Placed is how many of the tasks would start now, on Runners.
	Placed  int             `json:"placed"`
	Runners []RunnerPortion `json:"runners,omitempty"`
	// Waits is why tasks of the step would wait whatever the runners, if they would.
	Waits Obstacle `json:"waits,omitempty"`
	// Elsewhere counts the runners by the obstacle of the first task that is not placed. If all
	// are placed, it counts those that get none, by the obstacle of the first task.
	Elsewhere []ObstacleCount `json:"elsewhere,omitempty"`
}

// RunnerPortion is how many tasks of a step are placed on a runner.
type RunnerPortion struct {
	Runner RunnerID `json:"runner"`
	Tasks  int      `json:"tasks"`
}

// ObstacleCount counts the runners with an obstacle.
type ObstacleCount struct {
	Obstacle Obstacle   `json:"obstacle"`
	Runners  int        `json:"runners"`
	Examples []RunnerID `json:"examples"`
}

// Reasons why a whole step waits.
const (
	// ObstacleStarts means that as many starts await their answer as may.
	ObstacleStarts Obstacle = "startsInFlight"
	// ObstacleNotDue means that the first occurrence of the job is not due yet.
	ObstacleNotDue Obstacle = "notDue"
	// ObstacleGang means that the members of a gang do not all fit at once.
	ObstacleGang Obstacle = "gang"
	// ObstacleCap means that the job's organisation may not have more running in the pool.
	ObstacleCap Obstacle = "cap"
	// ObstacleShare means that there is no room now, and that room which comes free goes to other
	// organisations first, as this one has used its share of the full pool.
	ObstacleShare Obstacle = "share"
)

// Explain returns where the tasks of a job would be placed if it were accepted into the queue
// now, for an organisation, which may be empty. It uses the functions that place tasks and
// changes nothing.
func (p *Pool) Explain(now time.Time, queue job.QueueName, organisation job.Organisation, spec *job.Spec) *Explanation {
	e := &Explanation{Pool: p.options.Pool, Ready: p.Recovered(now)}
	learned := p.runtimes[queue]
	if learned == nil {
		learned = &runtimes{}
	}
	j := &jobState{
		record:   &job.Record{Pool: p.options.Pool, Queue: queue, Organisation: organisation, ID: explainedID, Spec: *spec, Accepted: now},
		runtimes: learned, criticalPath: spec.CriticalPath(), usage: p.quotas.usages[organisation],
		holder: p.shares.holder(organisation),
	}
	o := newOccurrence(j, 0, spec.Due(0))
	j.occurrences = []*occurrence{o}
	j.rank = p.rank(now, j)
	usable := p.usableRunners(now)
	var assigned []*task
	defer func() { releaseAll(assigned) }()
	for n, step := range o.steps {
		line := StepExplanation{Step: n, Tasks: step.spec.Count, After: step.spec.After}
		step.ready = step.spec.Count
		step.unblocked = true
		placed := p.explainStep(now, step, usable, len(assigned), &line)
		if len(step.spec.After) > 0 {
			releaseAll(placed) // the step does not start beside those before it
		} else {
			assigned = append(assigned, placed...)
		}
		e.Steps = append(e.Steps, line)
	}
	return e
}

// releaseAll takes tasks off their runners.
func releaseAll(tasks []*task) {
	for _, t := range tasks {
		t.runner.release(t)
	}
}

// explainStep assigns the tasks of a step as far as they fit, as placeStep does, and returns
// those that it has assigned. started is the number of tasks assigned before.
func (p *Pool) explainStep(now time.Time, step *stepState, usable []*runnerState, started int, line *StepExplanation) []*task {
	var scratch task
	first := step.peek(0, &scratch)
	line.Waits = p.stepObstacle(now, first.job, step)
	elsewhere := p.obstacles(now, first, usable)
	var placed []*task
	if line.Waits == "" && step.spec.Gang {
		placed = p.explainGang(now, step, usable)
		if placed == nil {
			line.Waits = ObstacleGang
		}
	} else if line.Waits == "" {
		placed = p.explainTasks(now, step, usable, started, line)
	}
	line.Placed = len(placed)
	if h := first.job.holder; line.Waits == "" && len(placed) < step.spec.Count && p.shares.divided && h != nil && h.virtualTime > 0 {
		line.Waits = ObstacleShare
	}
	for _, t := range placed {
		line.addRunner(t.runner.ID)
	}
	if len(placed) > 0 && len(placed) < step.spec.Count {
		elsewhere = p.obstacles(now, step.peek(len(placed), &scratch), usable)
	} else {
		for _, portion := range line.Runners {
			delete(elsewhere, portion.Runner)
		}
	}
	line.Elsewhere = countObstacles(elsewhere)
	return placed
}

// explainTasks assigns the tasks of a step that is no gang until one fits nowhere.
func (p *Pool) explainTasks(now time.Time, step *stepState, usable []*runnerState, started int, line *StepExplanation) []*task {
	var placed []*task
	searched := false
	var scratch task
	for i := range step.spec.Count {
		t := step.peek(i, &scratch)
		if p.exceedsCap(now, t.job, step) {
			line.Waits = ObstacleCap
			return placed
		}
		r := p.chooseRunner(now, t, usable)
		switch {
		case r != nil:
		case !step.spec.Persistent:
			r = p.findOnlyPlace(now, t)
		case !searched: // as room for a step is sought once in roomSearchInterval
			searched = true
			candidates, reserved := p.roomCandidates(now, t, usable)
			if r = reserved; len(candidates) > 0 {
				r = nil
			} else if reserved == nil {
				r = p.findWithheld(now, t)
			}
		}
		if r == nil {
			return placed
		}
		if p.startsBeyondWindow(started + len(placed)) {
			line.Waits = ObstacleStarts
			return placed
		}
		t = step.task(i)
		assignInThought(t, r)
		placed = append(placed, t)
	}
	return placed
}

// explainGang assigns all members of a gang, or none.
func (p *Pool) explainGang(now time.Time, step *stepState, usable []*runnerState) []*task {
	open := slices.DeleteFunc(slices.Clone(usable), func(r *runnerState) bool { return r.reservedForOther(step) })
	var placed []*task
	for i, r := range p.fitGang(now, step, open, (*runnerState).free) {
		t := step.task(i)
		assignInThought(t, r)
		placed = append(placed, t)
	}
	return placed
}

// assignInThought assigns a task that releaseAll takes off again.
func assignInThought(t *task, r *runnerState) {
	t.state = starting
	r.assign(t)
}

// stepObstacle returns why no task of a step of a new job may start now, on whichever runner.
// Limits that dispatch sets on a whole job or its organisation belong here, too.
func (p *Pool) stepObstacle(now time.Time, j *jobState, step *stepState) Obstacle {
	switch {
	case j.occurrences[0].due.After(now):
		return ObstacleNotDue
	case p.startWindowFull():
		return ObstacleStarts
	case p.settings(j).RequiresTickets && !p.hasTickets(now, step):
		return ObstacleTicket
	case p.exceedsCap(now, j, step):
		return ObstacleCap
	}
	return ""
}

// obstacles returns for each runner why a task is not placed there. If it could be, this is
// ObstaclePreference.
func (p *Pool) obstacles(now time.Time, t *task, usable []*runnerState) map[RunnerID]Obstacle {
	isUsable := make(map[*runnerState]bool, len(usable))
	for _, r := range usable {
		isUsable[r] = true
	}
	out := make(map[RunnerID]Obstacle, len(p.runnerOrder))
	for _, r := range p.runnerOrder {
		o := cmp.Or(r.refusal(now), r.withheld(now))
		if isUsable[r] {
			o = p.obstacle(now, t, r)
		}
		out[r.ID] = cmp.Or(o, ObstaclePreference)
	}
	return out
}

// addRunner counts a task that is placed on a runner.
func (s *StepExplanation) addRunner(id RunnerID) {
	for i := range s.Runners {
		if s.Runners[i].Runner == id {
			s.Runners[i].Tasks++
			return
		}
	}
	s.Runners = append(s.Runners, RunnerPortion{Runner: id, Tasks: 1})
}

// countObstacles counts runners by obstacle, the most frequent ones first.
func countObstacles(obstacles map[RunnerID]Obstacle) []ObstacleCount {
	byObstacle := map[Obstacle][]RunnerID{}
	for id, o := range obstacles {
		byObstacle[o] = append(byObstacle[o], id)
	}
	var out []ObstacleCount
	for o, ids := range byObstacle {
		slices.Sort(ids)
		out = append(out, ObstacleCount{Obstacle: o, Runners: len(ids), Examples: ids[:min(len(ids), maxExplainExamples)]})
	}
	slices.SortFunc(out, func(a, b ObstacleCount) int {
		return cmp.Or(cmp.Compare(b.Runners, a.Runners), cmp.Compare(a.Obstacle, b.Obstacle))
	})
	return out
}
