// Package service describes the services that callers send requests to.
//
// # Usage
//
//	seats := service.Service{ID: "seats", Pool: "seats"}
//	request.Deadline = now.Add(seats.DefaultTimeout())
package service

import (
	"fmt"
	"time"

	"bronzestair/core/period"
)

// ID is the id of a service, the first segment of a request's path.
type ID string

// PoolID is the id of the pool of instances that serve a service.
type PoolID string

const (
	defaultTimeout     = 5 * time.Second
	defaultMaxTimeout  = 10 * time.Second
	defaultQueueLength = 256
	defaultMaxAttempts = 3
)

// Limits are the limits on the requests of a service. A zero field means its default.
type Limits struct {
	// Timeout applies to requests that set none.
	Timeout period.Period `json:"timeout,omitempty"`
	// MaxTimeout is the longest timeout that a request may set.
	MaxTimeout period.Period `json:"maxTimeout,omitempty"`
	// QueueLength is the largest number of requests that one entry queues.
	QueueLength int `json:"queueLength,omitempty"`
	// MaxAttempts is the largest number of attempts, including the first.
	MaxAttempts int `json:"maxAttempts,omitempty"`
}

// WithDefaults returns the limits with every zero field taken from defaults.
func (l Limits) WithDefaults(defaults Limits) Limits {
	if l.Timeout == 0 {
		l.Timeout = defaults.Timeout
	}
	if l.MaxTimeout == 0 {
		l.MaxTimeout = defaults.MaxTimeout
	}
	if l.QueueLength == 0 {
		l.QueueLength = defaults.QueueLength
	}
	if l.MaxAttempts == 0 {
		l.MaxAttempts = defaults.MaxAttempts
	}
	return l
}

// DefaultTimeout returns the timeout of a request that sets none.
func (l Limits) DefaultTimeout() time.Duration { return l.Timeout.Or(defaultTimeout) }

// LongestTimeout returns the longest timeout that a request may set.
func (l Limits) LongestTimeout() time.Duration { return l.MaxTimeout.Or(defaultMaxTimeout) }

// QueueLimit returns the largest number of requests that one entry queues.
func (l Limits) QueueLimit() int { return orDefault(l.QueueLength, defaultQueueLength) }

// AttemptLimit returns the largest number of attempts of one request.
func (l Limits) AttemptLimit() int { return orDefault(l.MaxAttempts, defaultMaxAttempts) }

// Service is the configuration of a service. Its limits are resolved from the
// fleet's defaults and exceptions.
type Service struct {
	ID     ID     `json:"id"`
	Pool   PoolID `json:"pool"`
	Limits `json:"-"`
}

func orDefault(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return n
}

// Urgency is the priority class of a request. Lower values are served first.
//
// The zero value is Normal.
type Urgency int8

const (
	// Urgent requests are served before all others.
	Urgent Urgency = -1
	// Normal is the default.
	Normal Urgency = 0
	// Batch requests are served after all others.
	Batch Urgency = 1
)

// String returns the name used in headers and settings.
func (u Urgency) String() string {
	switch u {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Batch:
		return "batch"
	}
	return fmt.Sprintf("urgency(%d)", int8(u))
}

// MarshalText returns the name.
func (u Urgency) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText parses the name.
func (u *Urgency) UnmarshalText(text []byte) error {
	for _, known := range []Urgency{Urgent, Normal, Batch} {
		if known.String() == string(text) {
			*u = known
			return nil
		}
	}
	return fmt.Errorf("urgency %q is none of urgent, normal, batch", text)
}
