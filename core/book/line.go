// Package book defines the books, the record of all requests for accounting. Each
// request has one line.
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

// Caller is the id of the caller that sent a request.
type Caller string

// Key is the idempotency key of a request, set by the caller.
type Key string

// Instant is a time in milliseconds since the Unix epoch, a compact form to store.
type Instant int64

// At returns the instant of a time.
func At(t time.Time) Instant { return Instant(t.UnixMilli()) }

// Time returns the instant as a time in UTC.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)).UTC() }

// Line records the outcome of one request.
type Line struct {
	Caller  Caller          `json:"caller"`
	Service service.ID      `json:"service"`
	Key     Key             `json:"key,omitempty"`
	Verdict verdict.Verdict `json:"verdict"`
	At      Instant         `json:"at"`
}

// Batch is a sequence of lines that an entry stores in one write. Entry,
// Incarnation and Sequence identify it, so that storing it again has no effect.
type Batch struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Lines       []Line `json:"lines"`
}

// Totals are the numbers of lines by verdict.
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

// Sum returns the total number of lines.
func (t Totals) Sum() int { return t.Answered + t.NotRun + t.MayHaveRun }
