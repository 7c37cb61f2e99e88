package intake

import (
	"fmt"
	"net/http"
	"time"

	"bronzestair/core/intake"
)

// Rejection is the reason why a request is refused before it is handed to the handler.
type Rejection struct {
	// Status is a status 4xx, 501, 503 or 505: the request is not carried out.
	Status int
	Detail string
}

func reject(status int, format string, args ...any) *Rejection {
	return &Rejection{Status: status, Detail: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *Rejection {
	return reject(http.StatusBadRequest, format, args...)
}

// Error is returned by reads of a body that cannot be completed.
type Error struct{ Reason intake.Reason }

// Error implements error.
func (e *Error) Error() string { return "the request was given up: " + string(e.Reason) }

// Status returns the status of the response to a request whose body cannot be completed.
func (e *Error) Status() int {
	if e.Reason == intake.NoRoom {
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestTimeout
}

// Timeout implements net.Error.
func (e *Error) Timeout() bool { return e.Reason != intake.NoRoom }

// Temporary implements net.Error.
func (e *Error) Temporary() bool { return false }

// Limits restricts the requests of one connection. Zero fields mean no limit.
type Limits struct {
	HeaderBytes int
	// HeaderTimeout limits the time that a caller takes to send a request head.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time that a caller takes to send a body.
	BodyTimeout time.Duration
	// StallTimeout limits the time without any byte of a body.
	StallTimeout time.Duration
	// MinBodyRate is the lowest average rate of a body in bytes per second, once
	// RateGracePeriod has passed.
	MinBodyRate     float64
	RateGracePeriod time.Duration
	// WriteTimeout limits, within a factor of two, the time that a caller takes
	// to accept bytes of a response.
	WriteTimeout time.Duration
	// IdleTimeout limits the time between two requests on a connection.
	IdleTimeout time.Duration
}
