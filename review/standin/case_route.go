package main

import (
	"fmt"
	"time"
)

func init() { cases["route"] = playRoute }

// playRoute removes a route while work units of its submissions are running.
func playRoute(l *ledger, trouble bool) ([]string, error) {
	const maxAttempts = 2
	bookings, ledgers := newRoute("seats", 3), newRoute("ledger", maxAttempts)
	i, err := newInstallation(l, 8, 3, bookings, ledgers)
	if i != nil {
		defer i.close()
	}
	if err != nil {
		return nil, err
	}
	if err := i.waitReady(); err != nil {
		return nil, err
	}
	var ids []string
	for n := range 3 {
		id := fmt.Sprintf("cccccccccccc%04d", n)
		if err := i.submit(i.entries[n], ledgers, id, "ms=3000 cpu=1000 fail=9", step{Count: 2, CPU: 1000, MemMB: 256, EstRuntime: 3000}); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	if trouble {
		i.writeConfig(4, bookings)
	}
	time.Sleep(15 * time.Second)
	var breaks []string
	for _, id := range ids {
		for task, starts := range l.of(id) {
			failed := 0
			for _, s := range starts {
				if failed >= maxAttempts {
					breaks = append(breaks, fmt.Sprintf("%s: run %d starts after %d runs have ended failed and were taken note of; max_attempts is %d", task, s.run, failed, maxAttempts))
				}
				if s.how == "failed" && !s.acknowledgedAt.IsZero() {
					failed++
				}
			}
		}
	}
	for n, id := range ids {
		i.call(i.entries[n], "GET", ledgers, id, nil)
	}
	return breaks, nil
}
