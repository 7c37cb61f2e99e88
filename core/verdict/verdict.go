// Package verdict classifies requests by whether they may have run on a backend server.
//
// # Usage
//
// Every attempt and every finished request has one Verdict:
//
//	v := verdict.NotRun
//	if sent {
//		v = verdict.MayHaveRun
//	}
//	if v.RetrySafe(idempotent) {
//		// send the request again
//	}
package verdict

import "fmt"

// Verdict is what is known about the execution of a request.
//
// The zero value is NotRun: nothing has been sent to a backend server yet.
type Verdict uint8

const (
	// NotRun means that no byte of the request was sent to a backend server.
	NotRun Verdict = iota
	// Answered means that the complete response was delivered to the caller.
	Answered
	// MayHaveRun means that a byte may have been sent and no complete response was
	// delivered to the caller.
	MayHaveRun
)

var names = [...]string{NotRun: "notRun", Answered: "answered", MayHaveRun: "mayHaveRun"}

// String returns the name in camel case, as used in headers, logs and books.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText returns the name in camel case.
func (v Verdict) MarshalText() ([]byte, error) {
	if int(v) >= len(names) {
		return nil, fmt.Errorf("verdict %d does not exist", uint8(v))
	}
	return []byte(names[v]), nil
}

// UnmarshalText parses a name in camel case.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict %q does not exist", text)
}

// RetrySafe reports whether a request with this verdict can be retried: either it
// has not run, or it is idempotent, so that a second execution does no harm.
func (v Verdict) RetrySafe(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}
