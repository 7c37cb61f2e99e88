package pool

import (
	"slices"
	"strings"
	"time"

	"bronzestair/core/job"
)

// OrganisationLoad is what an organisation has and wants in a pool.
type OrganisationLoad struct {
	Organisation job.Organisation
	// Used is the demand of its tasks that are assigned to runners, Waiting that of its ready
	// tasks, and Lent is the lease that the owner holds.
	Used, Waiting, Lent job.Resources
	// Arriving is the number of jobs that it submits per second, including refused ones.
	Arriving float64
}

// OrganisationLease is what the owner of the fleet grants an organisation in a pool.
type OrganisationLease struct {
	Lent  job.Resources
	Until time.Time
	// Elsewhere is the number of jobs per second that the organisation submits to other pools.
	Elsewhere float64
}

// OrganisationsSynced replaces the leases of all organisations.
type OrganisationsSynced struct {
	Leases map[job.Organisation]OrganisationLease
}

// apply implements Event.
func (e *OrganisationsSynced) apply(p *Pool, now time.Time) {
	p.admission.elsewhere, p.admission.elsewhereAt = e.Leases, now
}

// SubmissionsCounted passes the number of jobs per second that each organisation submits to
// this pool, as counted by Admission.
type SubmissionsCounted struct {
	PerSecond map[job.Organisation]float64
}

// apply implements Event.
func (e *SubmissionsCounted) apply(p *Pool, _ time.Time) { p.admission.arriving = e.PerSecond }

// organisationLoads returns the loads of the organisations that have or want anything, in the
// order of their names. Jobs without an organisation are left out.
func (p *Pool) organisationLoads() []OrganisationLoad {
	if p.organisations == nil {
		return nil
	}
	loads := map[job.Organisation]*OrganisationLoad{}
	load := func(name job.Organisation) *OrganisationLoad {
		if loads[name] == nil {
			loads[name] = &OrganisationLoad{Organisation: name}
		}
		return loads[name]
	}
	for _, r := range p.runnerOrder {
		for _, t := range r.tasksByID {
			l := load(t.job.record.Organisation)
			l.Used = l.Used.Add(t.step.spec.Demand())
		}
	}
	for _, j := range p.jobOrder {
		if j.ready > 0 && j.outcome == "" {
			l := load(j.record.Organisation)
			l.Waiting = l.Waiting.Add(j.readyDemand())
		}
	}
	for name, rate := range p.admission.arriving {
		if rate > 0 {
			load(name).Arriving = rate
		}
	}
	delete(loads, "")
	out := make([]OrganisationLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b OrganisationLoad) int {
		return strings.Compare(string(a.Organisation), string(b.Organisation))
	})
	return out
}

// readyDemand returns the demand of the job's ready tasks.
func (j *jobState) readyDemand() job.Resources {
	var sum job.Resources
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			d := step.spec.Demand()
			n := step.ready
			sum = sum.Add(job.Resources{CPU: job.MilliCPU(n) * d.CPU, Memory: job.MiB(n) * d.Memory, GPU: n * d.GPU})
		}
	}
	return sum
}

// JobCounts counts the jobs of an organisation.
type JobCounts struct {
	// Running jobs have started, Waiting ones have not.
	Running, Waiting int
}

// CountJobs counts the jobs that have not ended by organisation.
func (p *Pool) CountJobs() map[job.Organisation]JobCounts {
	out := map[job.Organisation]JobCounts{}
	for _, j := range p.jobOrder {
		if j.outcome != "" {
			continue
		}
		c := out[j.record.Organisation]
		if j.started {
			c.Running++
		} else {
			c.Waiting++
		}
		out[j.record.Organisation] = c
	}
	return out
}
