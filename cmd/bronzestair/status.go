package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/entry"
	"bronzestair/core/settings"
	"bronzestair/io/operator"
)

const statusTimeout = 3 * time.Second

func statusCommand() *ffcli.Command {
	flags, options := newFlags("status")
	addresses := flags.String("operator-addresses", "127.0.0.1:8082", "operator addresses of entries, separated by commas")
	asJSON := flags.Bool("json", false, "print one JSON list")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "bronzestair status [-operator-addresses A,B] [-json]",
		ShortHelp:  "Shows the slots, queues and runners of entries.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(ctx context.Context, _ []string) error {
			return showStatus(ctx, strings.Split(*addresses, ","), *asJSON)
		},
	}
}

// showStatus prints the status of every entry that answers, and returns an error
// that joins the errors of the others.
func showStatus(ctx context.Context, addresses []string, asJSON bool) error {
	var statuses []entry.Status
	var failures []string
	for _, a := range addresses {
		status, err := readStatus(ctx, strings.TrimSpace(a))
		if err != nil {
			failures = append(failures, err.Error())
			continue
		}
		statuses = append(statuses, status)
	}
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(statuses); err != nil {
			return err
		}
	} else {
		printStatus(statuses)
	}
	if len(failures) > 0 {
		return merry.New(strings.Join(failures, "; "))
	}
	return nil
}

func readStatus(ctx context.Context, addressText string) (entry.Status, error) {
	var status entry.Status
	address, err := settings.ParseAddress(addressText)
	if err != nil {
		return status, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+operator.PathStatus, nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, merry.Prependf(err, "entry at %s", address)
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

func printStatus(statuses []entry.Status) {
	fmt.Printf("%-10s %7s %-10s %7s %6s %6s %6s %8s %8s %s\n",
		"ENTRY", "VERSION", "SERVICE", "QUEUED", "BUSY", "HELD", "LENT", "BORROWED", "RUNNERS", "OUT OR LEAVING")
	for _, status := range statuses {
		for _, svc := range status.Services {
			fmt.Printf("%-10s %7d %-10s %7d %6d %6d %6d %8d %8d %v\n",
				status.Entry, status.Version, svc.Service, svc.Queued, svc.Busy, svc.Held, svc.Lent, svc.Borrowed, svc.Runners,
				append(svc.Ejected, svc.Leaving...))
		}
	}
}
