package book

import (
	"sort"

	"bronzestair/core/service"
	"bronzestair/core/verdict"
)

// Month is a month in UTC, such as 2026-12.
type Month string

// Row holds a caller's totals for one service and day.
type Row struct {
	Day     string     `json:"day"`
	Service service.ID `json:"service"`
	Totals
}

// Account holds a caller's totals for a month.
type Account struct {
	Caller Caller `json:"caller"`
	Month  Month  `json:"month"`
	Rows   []Row  `json:"rows"`
	Total  Totals `json:"total"`
	// Final is set once the totals can no longer change.
	Final bool `json:"final"`
	// NotFinalBecause lists what could still change the totals.
	NotFinalBecause []string `json:"notFinalBecause,omitempty"`
}

const (
	monthLayout = "2006-01"
	dayLayout   = "2006-01-02"
)

// Select returns the lines of one caller and month.
func Select(batches []Batch, caller Caller, month Month) []Line {
	var out []Line
	for _, batch := range batches {
		for _, line := range batch.Lines {
			if line.Caller == caller && line.At.Time().Format(monthLayout) == string(month) {
				out = append(out, line)
			}
		}
	}
	return out
}

// NewAccount totals the lines of one caller and month by day and service.
func NewAccount(lines []Line, caller Caller, month Month) Account {
	type rowKey struct {
		day     string
		service service.ID
	}
	account := Account{Caller: caller, Month: month, Rows: []Row{}}
	rows := map[rowKey]*Row{}
	for _, line := range lines {
		key := rowKey{day: line.At.Time().Format(dayLayout), service: line.Service}
		if rows[key] == nil {
			rows[key] = &Row{Day: key.day, Service: key.service}
		}
		rows[key].Add(line)
		account.Total.Add(line)
	}
	for _, row := range rows {
		account.Rows = append(account.Rows, *row)
	}
	sort.Slice(account.Rows, func(i, j int) bool {
		a, b := account.Rows[i], account.Rows[j]
		return a.Day < b.Day || (a.Day == b.Day && a.Service < b.Service)
	})
	return account
}

// CallerRecord is one request in a caller's own records.
type CallerRecord struct {
	Key     Key
	Verdict verdict.Verdict
}

// Difference is a request on which the caller's records and the books disagree.
type Difference struct {
	Key Key `json:"key"`
	// Theirs are the verdicts in the caller's records and Ours those in the books,
	// each in the order given. Either may be empty.
	Theirs []verdict.Verdict `json:"theirs"`
	Ours   []verdict.Verdict `json:"ours"`
}

// Reconcile compares a caller's records with the lines of the books by
// idempotency key. A request that was sent several times has several verdicts,
// which are compared without regard to order.
func Reconcile(records []CallerRecord, lines []Line) []Difference {
	byKey := map[Key]*Difference{}
	difference := func(key Key) *Difference {
		if byKey[key] == nil {
			byKey[key] = &Difference{Key: key, Theirs: []verdict.Verdict{}, Ours: []verdict.Verdict{}}
		}
		return byKey[key]
	}
	for _, r := range records {
		d := difference(r.Key)
		d.Theirs = append(d.Theirs, r.Verdict)
	}
	for _, l := range lines {
		d := difference(l.Key)
		d.Ours = append(d.Ours, l.Verdict)
	}
	out := []Difference{}
	for _, d := range byKey {
		if !sameVerdicts(d.Theirs, d.Ours) {
			out = append(out, *d)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func sameVerdicts(a, b []verdict.Verdict) bool {
	var counts [verdict.MayHaveRun + 1]int
	for _, v := range a {
		counts[v]++
	}
	for _, v := range b {
		counts[v]--
	}
	return counts == [verdict.MayHaveRun + 1]int{}
}
