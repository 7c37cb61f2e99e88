package owner

import (
	"bronzestair/core/job"
	"bronzestair/io/owner/ownerpb"
	"context"
	"errors"
	"time"
)

// ErrForbidden means that a job belongs to another organisation than the caller.
var ErrForbidden = errors.New("the job belongs to another organisation")

// SubmitReply is the answer of a pool's owner to the submission of a job.
type SubmitReply struct {
	// Result is 0 if the job is known not to be stored, 1 if it is stored, and 2 if it may be
	// stored. It is 3 if the job is known not to be stored because it is in excess of its
	// organisation's rate, 4 if another organisation has a job with this ID, and 5 if the job is
	// known not to be stored because the owner has no memory for it.
	Result uint8
	// RetryAfter is the time after which the caller may submit the job again. It is set for
	// results 3 and 5.
	RetryAfter time.Duration
}

// Submit sends a new job to the owner of its pool, which stores it. value is the JSON
// encoding of the job's record. ErrNotOwner means that the job is not stored, because the
// called entry does not own the pool or has not sent the write to the store. After any other
// error the result is 0, but the job may be stored.
func (p *Peers) Submit(ctx context.Context, address string, name job.PoolName, value []byte) (submitted SubmitReply, err error) {
	err = p.call(address, func(c ownerpb.OwnerClient) error {
		reply, err := c.Submit(ctx, &ownerpb.SubmitRequest{Pool: string(name), Record: value})
		submitted = SubmitReply{
			Result: uint8(reply.GetResult()), RetryAfter: time.Duration(reply.GetRetryAfterMilliseconds()) * time.Millisecond,
		}
		return err
	})
	return submitted, err
}
