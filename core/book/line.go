// Package book is the account of every request: one line each.
//
// # Usage
//
//	var totals book.Totals
//	totals.Add(book.Line{Caller: "lodge-7", Service: "seats", Verdict: verdict.Answered})
package book

import (
	"time"

	"bronzestair/core/service"
	"bronzestair/core/verdict"
)

// Caller identifies who sent a request.
type Caller string

// Key is the idempotency key that a caller gave to a request.
type Key string

// Instant is a moment in milliseconds since 1970, which is cheap to file.
type Instant int64

// At returns the instant of a time.
func At(t time.Time) Instant { return Instant(t.UnixMilli()) }

// Time returns the instant as a time in UTC.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)).UTC() }

// Line is the one line in which a request ends.
type Line struct {
	Caller  Caller          `json:"caller"`
	Service service.ID      `json:"service"`
	Key     Key             `json:"key,omitempty"`
	Verdict verdict.Verdict `json:"verdict"`
	At      Instant         `json:"at"`
}

// Batch is a sequence of lines that an entry files at once. Entry, Incarnation
// and Sequence name it, so that filing it again changes nothing.
type Batch struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Lines       []Line `json:"lines"`
}

// Totals counts lines by verdict.
type Totals struct {
	Answered   int `json:"answered"`
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
}

// Add counts one line.
func (t *Totals) Add(line Line) {
	switch line.Verdict {
	case verdict.Answered:
		t.Answered++
	case verdict.NotRun:
		t.NotRun++
	case verdict.MayHaveRun:
		t.MayHaveRun++
	}
}

// Sum returns the number of lines counted.
func (t Totals) Sum() int { return t.Answered + t.NotRun + t.MayHaveRun }
