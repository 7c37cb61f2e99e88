// Command standin plays the cases of the review. It starts the entries as separate
// processes and takes the place of consumers, runners and the platform.
//
// # Usage
//
//	standin -case restart -record review/2/record.txt # in the repository's root
//
// It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxDuration ends a case that takes too long.
const maxDuration = 110 * time.Second

// cases plays a case and returns the breaks of its rule.
var cases = map[string]func(l *ledger, trouble bool) ([]string, error){}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	l, err := newLedger(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, disruption: %t", *name, trouble)
	type result struct {
		breaks []string
		err    error
	}
	finished := make(chan result, 1)
	go func() {
		breaks, err := run(l, trouble)
		finished <- result{breaks, err}
	}()
	var r result
	select {
	case r = <-finished:
	case <-time.After(maxDuration):
		r.err = fmt.Errorf("the case has not ended within %v", maxDuration)
	}
	for _, b := range r.breaks {
		l.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	switch {
	case len(r.breaks) > 0:
		return exitBroken
	case r.err != nil:
		l.note("not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "not run:", r.err)
		return exitNotRun
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
