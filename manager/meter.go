package manager

import (
	"errors"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/quota"
)

// Reasons why a job is not stored or not known to be stored.
var (
	errNoOwner          = errors.New("the pool has no owner for now")
	errNotSent          = errors.New("the write was not sent in time")
	errStoreUnavailable = errors.New("the store does not answer")
	errPartUnavailable  = errors.New("the part of the store that holds the job does not answer")
	errNoAnswer         = errors.New("the write has no answer in time")
	// errRefusedByOwner is returned for a failure whose cause the owner has logged.
	errRefusedByOwner = errors.New("the pool's owner could not store the job")
)

// Meter records the manager's metrics.
type Meter interface {
	Started(name job.PoolName, call pool.CallResult)
	Ended(name job.PoolName, result pool.RunResult)
	RequestAnswered(operation string, status int, took time.Duration)
	// RunnerCalled records the duration and result of a call to a runner.
	RunnerCalled(kind CallKind, call pool.CallResult, took time.Duration)
	// DuplicateCompletion counts a task that two runs have executed, at least one of them
	// to completion.
	DuplicateCompletion(name job.PoolName)
	// SilentRunners sets the number of runners that do not answer and the number of
	// tasks on them.
	SilentRunners(name job.PoolName, runners, tasks int)
	// OrganisationQuota sets the cap of an organisation, what is lent of it and what is in
	// use over all pools.
	OrganisationQuota(s quota.Status)
	// OrganisationJobs sets the numbers of an organisation's jobs in a pool, started and not.
	OrganisationJobs(name job.PoolName, label job.Organisation, running, waiting int)
	// JobRefused counts a job that was refused as excess.
	JobRefused(name job.PoolName, label job.Organisation)
}

// nopMeter records nothing.
type nopMeter struct{}

func (nopMeter) Started(job.PoolName, pool.CallResult)                     {}
func (nopMeter) Ended(job.PoolName, pool.RunResult)                        {}
func (nopMeter) RequestAnswered(string, int, time.Duration)                {}
func (nopMeter) RunnerCalled(CallKind, pool.CallResult, time.Duration)     {}
func (nopMeter) DuplicateCompletion(job.PoolName)                          {}
func (nopMeter) SilentRunners(job.PoolName, int, int)                      {}
func (nopMeter) OrganisationJobs(job.PoolName, job.Organisation, int, int) {}
func (nopMeter) JobRefused(job.PoolName, job.Organisation)                 {}
func (nopMeter) OrganisationQuota(quota.Status)                            {}
