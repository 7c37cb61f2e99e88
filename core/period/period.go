// Package period encodes and decodes durations in settings.
//
// # Usage
//
// A Period is encoded in JSON as a string such as "1.5s" or "4m":
//
//	type Settings struct {
//		Timeout period.Period `json:"timeout"`
//	}
package period

import (
	"fmt"
	"time"
)

// Period is a time.Duration that is encoded as a string in JSON.
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

// String returns the period in the format that UnmarshalText accepts.
func (p Period) String() string { return time.Duration(p).String() }

// MarshalText implements encoding.TextMarshaler.
func (p Period) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a non-negative
// duration with its unit.
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
