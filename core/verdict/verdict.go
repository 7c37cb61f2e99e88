// Package verdict says whether a request may have run at a backend server.
//
// # Usage
//
// Every attempt and every finished request carries one Verdict:
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

// Verdict tells what is known about the execution of a request.
//
// The zero value is NotRun: nothing has left for a backend server yet.
type Verdict uint8

const (
	// NotRun means that no byte of the request left for a backend server.
	NotRun Verdict = iota
	// Answered means that the whole answer was handed to the caller.
	Answered
	// MayHaveRun means that a byte may have left and the whole answer was not handed over.
	MayHaveRun
)

var names = [...]string{NotRun: "notRun", Answered: "answered", MayHaveRun: "mayHaveRun"}

// String returns the camel case name that headers, logs and books use.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText returns the camel case name.
func (v Verdict) MarshalText() ([]byte, error) {
	if int(v) >= len(names) {
		return nil, fmt.Errorf("verdict %d does not exist", uint8(v))
	}
	return []byte(names[v]), nil
}

// UnmarshalText reads a camel case name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict %q does not exist", text)
}

// RetrySafe reports whether a request with this verdict can be sent again
// without the risk of a second execution that matters.
func (v Verdict) RetrySafe(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}
