package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["unknown"] = playUnknown }

// playUnknown cancels submissions that nobody has handed in, and asks for their state.
func playUnknown(l *ledger, trouble bool) ([]string, error) {
	bookings := newRoute("seats", 3)
	i, err := newInstallation(l, 4, 3, bookings)
	if i != nil {
		defer i.close()
	}
	if err != nil {
		return nil, err
	}
	if err := i.waitReady(); err != nil {
		return nil, err
	}
	var breaks []string
	for n := range 3 {
		id := fmt.Sprintf("ffffffffffff%04d", n)
		if trouble {
			if status, text := i.call(i.entries[n], http.MethodDelete, bookings, id, nil); status != http.StatusGone {
				return nil, fmt.Errorf("cancelling an unknown submission: %d %s", status, text)
			}
		}
		time.Sleep(time.Second)
		for _, e := range i.entries {
			if state := i.state(e, bookings, id); state != "" {
				breaks = append(breaks, fmt.Sprintf("entry %s shows submission %s, which nobody submitted, as %s", e.name, id, state))
			}
		}
	}
	return breaks, nil
}
