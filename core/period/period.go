// Package period reads and writes lengths of time in settings.
//
// # Usage
//
// A Period stands in JSON as a string such as "1.5s" or "4m":
//
//	type Settings struct {
//		Timeout period.Period `json:"timeout"`
//	}
package period

import (
	"fmt"
	"time"
)

// Period is a time.Duration that is a string in JSON.
type Period time.Duration

// Duration returns the period as a time.Duration.
func (p Period) Duration() time.Duration { return time.Duration(p) }

// Or returns the period, or other if the period is zero.
func (p Period) Or(other time.Duration) time.Duration {
	if p == 0 {
		return other
	}
	return time.Duration(p)
}

// String returns the form that UnmarshalText reads.
func (p Period) String() string { return time.Duration(p).String() }

// MarshalText returns the form that UnmarshalText reads.
func (p Period) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a non-negative length of time with its unit.
func (p *Period) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("period %q is not a number with a unit such as 1.5s", text)
	}
	if d < 0 {
		return fmt.Errorf("period %q is negative", text)
	}
	*p = Period(d)
	return nil
}
