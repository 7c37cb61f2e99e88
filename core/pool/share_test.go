package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
)

// directory returns organisations of the given weights, named "o0" and so on.
func directory(t testing.TB, weights ...float64) *organisation.Directory {
	t.Helper()
	var credentials []organisation.Credentials
	for i, w := range weights {
		credentials = append(credentials, organisation.Credentials{Organisation: organisation.Organisation{Name: organisationName(i), Weight: w}})
	}
	d, err := organisation.NewDirectory(credentials)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func organisationName(i int) job.Organisation { return job.Organisation(fmt.Sprintf("o%d", i)) }

// setOrganisations replaces the organisations of the simulated pool.
func (sim *simulation) setOrganisations(d *organisation.Directory) {
	sim.send(sim.pool, &QueuesChanged{Queues: sim.pool.queues, Organisations: d})
}

// submitFor stores a job of an organisation and passes it to the owner.
func (sim *simulation) submitFor(name job.Organisation, n int, spec job.Spec, excess bool) {
	sim.version++
	s := &storedJob{
		record:  &job.Record{Pool: testPool, Queue: testQueue, Organisation: name, ID: jobID(n), Spec: spec, Accepted: sim.now},
		version: sim.version,
	}
	sim.stored[jobID(n)], sim.submittedAt[jobID(n)] = s, sim.now
	sim.send(sim.pool, &JobStored{Record: s.record, Version: s.version, Excess: excess})
}

// customerWeights are the weights of 20 organisations, as one customer has them.
var customerWeights = []float64{188, 82, 51, 36, 28, 22, 19, 16, 14, 12, 11, 10, 9, 8, 8, 7, 7, 6, 6, 6}

// overload is a replay of organisations that submit quick jobs to a pool.
type overload struct {
	seed    uint64
	weights []float64
	// perSecond is the usual number of jobs per second, in proportion to the weights.
	perSecond float64
	// equal is true if all organisations submit as much.
	equal bool
	// hot submits hotFactor times as much from hotFrom for hotDuration, unless it is negative.
	hot int
	// divided is true if the pool knows the organisations.
	divided bool
	// spread is the largest part by which run times differ from their estimates.
	spread float64
	// persistent is the organisation of a persistent task on each runner that takes 10 of its 64
	// cores, unless it is empty.
	persistent job.Organisation
}

// The replayed load: 24 instances of 64 cores hold about 23 quick jobs per second.
const (
	replayRunners  = 24
	replayCPU      = 64_000
	hotFactor      = 5
	hotFrom        = 4 * time.Second
	hotDuration    = 6 * time.Second
	replayDuration = 14 * time.Second
	quickRuntime   = 800 * time.Millisecond
	quickCPU       = 6200
	quickTasks     = 8
	// quickSecondStep is the part of the jobs that have a second step.
	quickSecondStep = 0.6
)

// replayResult holds what became of the jobs submitted from hotFrom for hotDuration.
type replayResult struct {
	// hot and others are the parts of the jobs that met their objective, of the hot organisation and of
	// all others.
	hot, others float64
	// coreSeconds is the work of the jobs that met their objective, by organisation.
	coreSeconds []float64
}

func quickJob(random *rand.Rand) job.Spec {
	step := job.Step{
		Count: quickTasks, Resources: job.Resources{CPU: quickCPU, Memory: 256},
		EstimatedRuntime: time.Duration((0.6 + 0.8*random.Float64()) * float64(quickRuntime)),
	}
	spec := job.Spec{Steps: []job.Step{step}}
	if random.Float64() < quickSecondStep {
		step.After = []int{0}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// replayedJob is a job submitted from hotFrom for hotDuration.
type replayedJob struct {
	organisation int
	objective    time.Duration
	coreSeconds  float64
}

// schedule schedules the submissions of all organisations and returns the jobs to be judged.
func (o overload) schedule(sim *simulation) map[job.ID]replayedJob {
	random := rand.New(rand.NewPCG(o.seed, 2))
	sum := 0.0
	for _, w := range o.weights {
		sum += w
	}
	judged := map[job.ID]replayedJob{}
	count := 0
	for i, weight := range o.weights {
		usual := o.perSecond * weight / sum
		if o.equal {
			usual = o.perSecond / float64(len(o.weights))
		}
		for at := time.Duration(0); at < replayDuration; {
			isHot := at >= hotFrom && at < hotFrom+hotDuration
			perSecond := usual
			if isHot && i == o.hot {
				perSecond *= hotFactor
			}
			at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			spec := quickJob(random)
			count++
			id := count
			if at >= hotFrom && at < hotFrom+hotDuration {
				r := replayedJob{organisation: i, objective: time.Duration(1.6*float64(spec.CriticalPath())) + 600*time.Millisecond}
				for s := range spec.Steps {
					r.coreSeconds += float64(spec.Steps[s].Count) * spec.Steps[s].Work() / 1000
				}
				judged[jobID(id)] = r
			}
			sim.after(at, func() { sim.submitFor(organisationName(i), id, spec, false) })
		}
	}
	return judged
}

func (o overload) run(t testing.TB) replayResult {
	sim := newSimulation(t, o.seed, replayRunners, faults{})
	sim.runnerCPU, sim.runtimeSpread = replayCPU, o.spread
	sim.listRunners()
	if o.divided {
		sim.setOrganisations(directory(t, o.weights...))
	}
	if o.persistent != "" {
		step := job.Step{
			Count: replayRunners, Resources: job.Resources{CPU: 10_000}, EstimatedRuntime: time.Hour,
			MaxPerInstance: 1, Persistent: true,
		}
		sim.submitFor(o.persistent, 1_000_000, job.Spec{Steps: []job.Step{step}}, false)
		sim.run(2 * time.Second) // they start in the empty pool
	}
	judged := o.schedule(sim)
	sim.run(replayDuration + 30*time.Second)
	result := replayResult{coreSeconds: make([]float64, len(o.weights))}
	var hot, others float64
	for id, j := range judged {
		at, ok := sim.finishedAt[id]
		inTime := ok && at.Sub(sim.submittedAt[id]) <= j.objective
		if inTime {
			result.coreSeconds[j.organisation] += j.coreSeconds
		}
		n, met := &others, &result.others
		if j.organisation == o.hot {
			n, met = &hot, &result.hot
		}
		*n++
		if inTime {
			*met++
		}
	}
	result.hot, result.others = result.hot/max(1, hot), result.others/max(1, others)
	return result
}

// mean returns the mean results over the seeds 1 to n.
func (o overload) mean(t testing.TB, n int) (r replayResult) {
	r.coreSeconds = make([]float64, len(o.weights))
	for seed := range n {
		o.seed = uint64(seed + 1)
		one := o.run(t)
		r.hot += one.hot / float64(n)
		r.others += one.others / float64(n)
		for i, c := range one.coreSeconds {
			r.coreSeconds[i] += c / float64(n)
		}
	}
	return r
}

// TestHotOrganisationDefersItsOwnJobs guards against an organisation that makes the jobs of the
// others late by sending five times its usual load.
func TestHotOrganisationDefersItsOwnJobs(t *testing.T) {
	const seeds = 2
	for _, c := range []struct {
		hot                          int
		perSecond, spread, minOthers float64
	}{
		{0, 17, 0, 0.95},                   // the pool is three quarters full without the hot organisation
		{0, 21, 0, 0.88}, {3, 21, 0, 0.85}, // and here nearly full
		{0, 17, 0.8, 0.80},
	} {
		o := overload{weights: customerWeights, perSecond: c.perSecond, hot: c.hot, spread: c.spread}
		without := o.mean(t, seeds)
		o.divided = true
		with := o.mean(t, seeds)
		t.Logf("%v jobs/s, spread %v, organisation of weight %v is hot: in time with shares: hot %.3f, others %.3f; without: hot %.3f, others %.3f",
			c.perSecond, c.spread, customerWeights[c.hot], with.hot, with.others, without.hot, without.others)
		if with.others < c.minOthers || with.others < without.others {
			t.Errorf("%v jobs/s, spread %v, organisation of weight %v is hot: %.3f of the others' jobs are in time, want at least %.3f and %.3f, which is without shares",
				c.perSecond, c.spread, customerWeights[c.hot], with.others, c.minOthers, without.others)
		}
	}
}

// TestOverloadOfAllOrganisations guards against shares that waste the capacity of a pool: all
// organisations submit twice what it holds, and small ones could each be given a burst.
func TestOverloadOfAllOrganisations(t *testing.T) {
	const seeds = 1
	many := make([]float64, 200)
	for i := range many {
		many[i] = 1
	}
	for _, c := range []struct {
		weights []float64
		spread  float64
	}{{customerWeights, 0}, {many, 0}, {customerWeights, 0.8}, {many, 0.8}} {
		o := overload{weights: c.weights, perSecond: 42, hot: -1, spread: c.spread}
		without := o.mean(t, seeds)
		o.divided = true
		with := o.mean(t, seeds)
		t.Logf("%d organisations, spread %v: in time with shares %.3f, without %.3f", len(c.weights), c.spread, with.others, without.others)
		if with.others < 0.8*without.others {
			t.Errorf("%d organisations, spread %v: %.3f of the jobs are in time with shares, %.3f without", len(c.weights), c.spread, with.others, without.others)
		}
	}
}

// TestOverloadedPoolIsDividedByWeight guards against shares that are not in proportion to the
// weights: three organisations submit as much each, together five times what the pool holds.
func TestOverloadedPoolIsDividedByWeight(t *testing.T) {
	got := overload{weights: []float64{1, 2, 4}, perSecond: 115, equal: true, hot: -1, divided: true}.mean(t, 2).coreSeconds
	sum := got[0] + got[1] + got[2]
	for i, share := range []float64{1.0 / 7, 2.0 / 7, 4.0 / 7} {
		t.Logf("organisation %d has %.3f of the work done in time, its weight is %.3f", i, got[i]/sum, share)
		if got[i]/sum < 0.75*share || got[i]/sum > 1.25*share {
			t.Errorf("organisation %d has %.3f of the work done in time, want about %.3f", i, got[i]/sum, share)
		}
	}
}
