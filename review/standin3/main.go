// Command standin3 plays the platform, the runners and the callers of a small deployment against
// processes of bronzestair-entry, brings one disruption about and checks a rule.
//
// # Usage
//
//	standin3 -scenario held-order -binary target/bronzestair-entry -record record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
)

var (
	running *fleet
	// temporary is the folder of the run that is removed at its end, empty if there is none.
	temporary string
	scenario  = flag.String("scenario", "", "the case to play")
	binary    = flag.String("binary", "target/bronzestair-entry", "program of an entry")
	recordTo  = flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep      = flag.String("keep", "", "folder in which the logs of the entries are kept")
)

// scenarios play a case. trouble is false if the disruption is left out.
var scenarios = map[string]struct {
	rule string
	play func(f *fleet, trouble bool)
}{
	"held-order": {"ONE", playHeldOrder},
	"repeated":   {"TWICE", playRepeated},
	"hopeless":   {"LOST", playHopeless},
	"kind":       {"ROUTE", playKind},
}

// fail ends all processes and exits, as the case cannot run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "standin3:", err)
	if running != nil {
		running.close()
	}
	_ = os.RemoveAll(temporary)
	os.Exit(2)
}

func main() {
	flag.Parse()
	s, ok := scenarios[*scenario]
	if !ok {
		fail(fmt.Errorf("scenario %q is not known", *scenario))
	}
	folder := *keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "standin3-"); err != nil {
			fail(err)
		}
		temporary = folder
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		fail(fmt.Errorf("signal %v", <-interrupted))
	}()
	running = newFleet(*binary, folder, *recordTo, 1)
	s.play(running, os.Getenv("TROUBLE") != "0")
	running.close()
	status := running.verdict(s.rule)
	_ = os.RemoveAll(temporary)
	os.Exit(status)
}

// verdict prints the violations and returns the exit code.
func (f *fleet) verdict(rule string) int {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	broken := slices.DeleteFunc(slices.Clone(f.record.violations), func(v string) bool { return !strings.HasPrefix(v, rule+" ") })
	for _, v := range f.record.violations {
		fmt.Println(v)
	}
	fmt.Printf("%d orders for machines; %s broken %d times\n", f.record.orders, rule, len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}
