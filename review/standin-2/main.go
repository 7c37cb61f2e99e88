// Command scene plays a case of the review with the project's entries as processes and
// with stand-ins for their clients, runners and platform, all on loopback addresses.
//
// # Usage
//
//	scene NAME RECORD # in the repository's root; with TROUBLE=0 without the disruption
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// program is the entry as the deploy file starts it.
const program = "target/bronzestair-entry"

// verdict is the result of a scene. An empty text means that the rule held.
type verdict struct{ broken string }

var scenes = map[string]func(rec *record, trouble bool) (verdict, error){
	"crashes":     crashes,
	"reservation": reservation,
	"waves":       waves,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene NAME RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		stopAll()
		os.Exit(2)
	}()
	rec.note("scene %s, trouble %t, began %s", os.Args[1], trouble, time.Now().UTC().Format(time.RFC3339))
	v, err := scenes[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken != "":
		rec.note("BROKEN: %s", v.broken)
		fmt.Println("broken:", v.broken)
		return 1
	}
	rec.note("held")
	fmt.Println("held")
	return 0
}
