package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/book"
)

// demoReport is what a demonstration counted. Requests counts what callers
// sent; Accepted those that an entry did not refuse.
type demoReport struct {
	Requests    int         `json:"requests"`
	Accepted    int         `json:"accepted"`
	Answered    int         `json:"answered"`
	NotRun      int         `json:"notRun"`
	MayHaveRun  int         `json:"mayHaveRun"`
	Executions  int         `json:"executions"`
	Duplicates  int         `json:"duplicates"`
	MaxInFlight int         `json:"maxInFlight"`
	Books       book.Totals `json:"books"`
	Violations  []string    `json:"violations"`
}

func demoCommand() *ffcli.Command {
	flags, options := newFlags("demo")
	asJSON := flags.Bool("json", false, "print one JSON object")
	requests := flags.Int("requests", 6000, "how many requests the callers send")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "bronzestair demo [-json] [-requests N]",
		ShortHelp:  "Serves Skywatch's five services on loopback and compares everyone's counts.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(ctx context.Context, _ []string) error {
			if *requests < 1 {
				return merry.Errorf("flag -requests is %d, not at least 1", *requests)
			}
			report, err := runDemo(ctx, *requests)
			if err != nil {
				return err
			}
			return report.print(os.Stdout, *asJSON)
		},
	}
}

// runDemo starts a fleet, sends it requests and compares the counts.
func runDemo(ctx context.Context, requests int) (*demoReport, error) {
	f, err := startDemoFleet(ctx)
	if err != nil {
		return nil, err
	}
	outcomes := sendDemoLoad(ctx, f.callerAddresses(), requests)
	if err := f.stop(); err != nil {
		return nil, err
	}
	lines, err := f.bookLines(ctx)
	if err != nil {
		return nil, err
	}
	f.close()
	return compareCounts(outcomes, lines, f), nil
}

// compareCounts holds what callers, books and backend servers counted against each other.
func compareCounts(outcomes []outcome, lines []book.Line, f *demoFleet) *demoReport {
	report := &demoReport{Requests: len(outcomes), Violations: []string{}}
	told := map[book.Key]*book.Totals{}
	for _, o := range outcomes {
		report.add(o, told)
	}
	for _, line := range lines {
		report.Books.Add(line)
	}
	report.compareBooks(lines, told)
	report.compareExecutions(f.executions(), told)
	for _, r := range f.runners {
		report.MaxInFlight = max(report.MaxInFlight, r.MaxInFlight())
	}
	if report.MaxInFlight > demoSlots {
		report.violate("a runner had %d requests in flight, over its %d slots", report.MaxInFlight, demoSlots)
	}
	if report.Answered == 0 {
		report.violate("no request was answered")
	}
	sort.Strings(report.Violations)
	return report
}

func (r *demoReport) add(o outcome, told map[book.Key]*book.Totals) {
	if told[o.key] == nil {
		told[o.key] = &book.Totals{}
	}
	line := book.Line{Verdict: o.verdict}
	told[o.key].Add(line)
	var all book.Totals
	all.Add(line)
	r.Answered += all.Answered
	r.NotRun += all.NotRun
	r.MayHaveRun += all.MayHaveRun
	if o.accepted {
		r.Accepted++
	}
	if o.fault != "" {
		r.violate("request %q: %s", o.key, o.fault)
	}
}

// compareBooks checks that every request has one line with the verdict that the caller was told.
func (r *demoReport) compareBooks(lines []book.Line, told map[book.Key]*book.Totals) {
	booked := map[book.Key]*book.Totals{}
	for _, line := range lines {
		if booked[line.Key] == nil {
			booked[line.Key] = &book.Totals{}
		}
		booked[line.Key].Add(line)
	}
	for key, want := range told {
		if got := booked[key]; got == nil || *got != *want {
			r.violate("request %q: the caller counted %+v, the books %+v", key, *want, got)
		}
	}
	if r.Books.Sum() != r.Requests {
		r.violate("the callers sent %d requests, the books have %d lines", r.Requests, r.Books.Sum())
	}
}

// compareExecutions checks that what was answered ran once and what was not run did not run.
func (r *demoReport) compareExecutions(executions map[string]int, told map[book.Key]*book.Totals) {
	for key, n := range executions {
		r.Executions += n
		r.Duplicates += max(n-1, 0)
		if told[book.Key(key)] == nil {
			r.violate("key %q ran and no caller sent it", key)
		}
	}
	for key, t := range told {
		n := executions[string(key)]
		if n < t.Answered || n > t.Answered+t.MayHaveRun {
			r.violate("request %q ran %d times, the caller was told %+v", key, n, *t)
		}
	}
	if r.Duplicates > 0 {
		r.violate("%d executions were duplicates", r.Duplicates)
	}
}

func (r *demoReport) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// print writes the report, and returns an error if a promise was broken.
func (r *demoReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return err
		}
	} else {
		r.printTable(w)
	}
	if len(r.Violations) > 0 {
		return merry.Errorf("%d violations, the first: %s", len(r.Violations), r.Violations[0])
	}
	return nil
}

func (r *demoReport) printTable(w io.Writer) {
	fmt.Fprintf(w, "%-18s %10s %10s %10s\n", "", "answered", "notRun", "mayHaveRun")
	fmt.Fprintf(w, "%-18s %10d %10d %10d\n", "callers", r.Answered, r.NotRun, r.MayHaveRun)
	fmt.Fprintf(w, "%-18s %10d %10d %10d\n", "books", r.Books.Answered, r.Books.NotRun, r.Books.MayHaveRun)
	fmt.Fprintf(w, "%-18s %10d   (duplicates %d)\n", "backend servers ran", r.Executions, r.Duplicates)
	fmt.Fprintf(w, "most requests in flight at one runner: %d of %d slots\n", r.MaxInFlight, demoSlots)
	fmt.Fprintf(w, "requests %d, accepted %d, violations %d\n", r.Requests, r.Accepted, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(w, "violation:", v)
	}
}
