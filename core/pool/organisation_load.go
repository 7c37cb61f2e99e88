package pool

import (
	"time"

	"bronzestair/core/job"
)

// OrganisationLoad is the load of an organisation in the pool.
type OrganisationLoad struct {
	Organisation job.Organisation
	// Used is an upper bound of what is running, Waiting the demand of the ready tasks that
	// wait for the cap and Lent the valid lease.
	Used, Waiting, Lent job.Resources
	// Arriving is the number of jobs a second that are submitted to the pool.
	Arriving float64
}

// OrganisationLease is what the owner of the fleet lends to the pool from the cap of an
// organisation.
type OrganisationLease struct {
	Lent job.Resources
	// Until is the expiry of the lease.
	Until time.Time
	// Elsewhere is the number of jobs a second that are submitted to the other pools.
	Elsewhere float64
	// WholeTask permits one start beyond the lease, see quota.Budget.
	WholeTask bool
}

// OrganisationsSynced replaces the leases of all organisations.
type OrganisationsSynced struct {
	Leases map[job.Organisation]OrganisationLease
}

// SubmissionsCounted passes the number of jobs per second that each organisation submits to
// this pool, as counted by Admission.
type SubmissionsCounted struct {
	PerSecond map[job.Organisation]float64
}

// apply implements Event.
func (e *SubmissionsCounted) apply(p *Pool, _ time.Time) { p.admission.arriving = e.PerSecond }

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
