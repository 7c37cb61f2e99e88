package owner

import (
	"errors"
	"time"
)

// ErrForbidden means that a job belongs to another organisation than the caller.
var ErrForbidden = errors.New("the job belongs to another organisation")

// SubmitReply is the answer of a pool's owner to the submission of a job.
type SubmitReply struct {
	// Result is 0 if the job is known not to be stored, 1 if it is stored, and 2 if it may be
	// stored. It is 3 if the job is known not to be stored because it is in excess of its
	// organisation's rate, and 4 if another organisation has a job with this ID.
	Result uint8
	// RetryAfter is the time after which the caller may submit the job again. It is set for
	// result 3.
	RetryAfter time.Duration
}
