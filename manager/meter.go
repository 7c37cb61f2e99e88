package manager

import (
	"errors"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
)

// Reasons why a job is not stored, or not known to be.
var (
	errNoOwner   = errors.New("the pool has no owner for now")
	errNotSent   = errors.New("the write was not sent in time")
	errStoreAway = errors.New("the store does not answer")
	errNoAnswer  = errors.New("the write has no answer in time")
	// errRefusedByOwner stands for a reason that the owner has logged.
	errRefusedByOwner = errors.New("the pool's owner could not store the job")
)

// Meter counts what the manager does.
type Meter interface {
	Started(name job.PoolName, call pool.Call)
	Ended(name job.PoolName, how pool.End)
	Answered(operation string, status int, took time.Duration)
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) Started(job.PoolName, pool.Call)     {}
func (noMeter) Ended(job.PoolName, pool.End)        {}
func (noMeter) Answered(string, int, time.Duration) {}
