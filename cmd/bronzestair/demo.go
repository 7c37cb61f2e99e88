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

// demoReport holds the counts of a demonstration. Requests counts the requests
// that callers sent; Accepted counts those that an entry did not refuse.
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
		ShortHelp:  "Runs a fleet with Skywatch's five services on loopback and compares the counts of callers, books and backend servers.",
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

// runDemo starts a fleet, sends requests to it, stops it and compares the counts.
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

// compareCounts reports the counts of callers, books and backend servers, and
// every contradiction between them.
func compareCounts(outcomes []outcome, lines []book.Line, f *demoFleet) *demoReport {
	report := &demoReport{Requests: len(outcomes), Violations: []string{}}
	callerCounts := map[book.Key]*book.Totals{}
	for _, o := range outcomes {
		report.add(o, callerCounts)
	}
	for _, line := range lines {
		report.Books.Add(line)
	}
	report.compareBooks(lines, callerCounts)
	report.compareExecutions(f.executions(), callerCounts)
	for _, r := range f.runners {
		report.MaxInFlight = max(report.MaxInFlight, r.MaxInFlight())
	}
	if report.MaxInFlight > demoSlots {
		report.addViolation("a runner had %d requests in flight, over its %d slots", report.MaxInFlight, demoSlots)
	}
	if report.Answered == 0 {
		report.addViolation("no request was answered")
	}
	sort.Strings(report.Violations)
	return report
}

func (r *demoReport) add(o outcome, callerCounts map[book.Key]*book.Totals) {
	if callerCounts[o.key] == nil {
		callerCounts[o.key] = &book.Totals{}
	}
	line := book.Line{Verdict: o.verdict}
	callerCounts[o.key].Add(line)
	var counts book.Totals
	counts.Add(line)
	r.Answered += counts.Answered
	r.NotRun += counts.NotRun
	r.MayHaveRun += counts.MayHaveRun
	if o.accepted {
		r.Accepted++
	}
	if o.violation != "" {
		r.addViolation("request %q: %s", o.key, o.violation)
	}
}

// compareBooks checks that every request has one book line, with the verdict
// that the caller received.
func (r *demoReport) compareBooks(lines []book.Line, callerCounts map[book.Key]*book.Totals) {
	bookCounts := map[book.Key]*book.Totals{}
	for _, line := range lines {
		if bookCounts[line.Key] == nil {
			bookCounts[line.Key] = &book.Totals{}
		}
		bookCounts[line.Key].Add(line)
	}
	for key, want := range callerCounts {
		if got := bookCounts[key]; got == nil || *got != *want {
			r.addViolation("request %q: the caller counted %+v, the books %+v", key, *want, got)
		}
	}
	if r.Books.Sum() != r.Requests {
		r.addViolation("the callers sent %d requests, the books have %d lines", r.Requests, r.Books.Sum())
	}
}

// compareExecutions checks that answered requests ran exactly once, that requests
// with the verdict notRun did not run, and that no request ran twice.
func (r *demoReport) compareExecutions(executions map[string]int, callerCounts map[book.Key]*book.Totals) {
	for key, n := range executions {
		r.Executions += n
		r.Duplicates += max(n-1, 0)
		if callerCounts[book.Key(key)] == nil {
			r.addViolation("key %q ran, but no caller sent it", key)
		}
	}
	for key, t := range callerCounts {
		n := executions[string(key)]
		if n < t.Answered || n > t.Answered+t.MayHaveRun {
			r.addViolation("request %q ran %d times, but the caller counted %+v", key, n, *t)
		}
	}
	if r.Duplicates > 0 {
		r.addViolation("%d executions were duplicates", r.Duplicates)
	}
}

func (r *demoReport) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// print writes the report, and returns an error if there are violations.
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
