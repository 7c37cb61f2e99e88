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
