package backend

import (
	"context"
	"errors"
	"os"

	"github.com/ansel1/merry/v2"

	"bronzestair/core/verdict"
)

// Error is the error of a failed attempt.
type Error struct {
	// Verdict is NotRun or MayHaveRun.
	Verdict verdict.Verdict
	// Timeout reports whether the deadline passed.
	Timeout bool
	// NotStarted reports whether the attempt failed before it was started.
	NotStarted bool
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return "backend: " + e.Verdict.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// NotStarted returns the error of an attempt that failed before it was started.
func NotStarted(cause error) error {
	return &Error{Verdict: verdict.NotRun, NotStarted: true, Timeout: isTimeout(cause), cause: merry.Wrap(cause, merry.NoCaptureStack())}
}

// IsNotStarted reports whether the attempt failed before it was started.
func IsNotStarted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotStarted
}

// VerdictOf returns the verdict of a failed attempt, MayHaveRun if err is not
// an *Error.
func VerdictOf(err error) verdict.Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return verdict.MayHaveRun
}

// IsTimeout reports whether the attempt failed because its deadline passed.
func IsTimeout(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Timeout
}

func newError(v verdict.Verdict, cause error) error {
	return &Error{Verdict: v, Timeout: isTimeout(cause), cause: merry.Wrap(cause, merry.NoCaptureStack())}
}

func isTimeout(cause error) bool {
	return errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded)
}
