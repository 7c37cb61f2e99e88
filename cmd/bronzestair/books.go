package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/book"
	"bronzestair/core/service"
	"bronzestair/io/command"
	"bronzestair/io/platform"
)

const monthLayout = "2006-01"

// bookRow is a caller's count for one service and day.
type bookRow struct {
	Day     string     `json:"day"`
	Service service.ID `json:"service"`
	book.Totals
}

// bookReport is a caller's count for a month.
type bookReport struct {
	Caller book.Caller `json:"caller"`
	Month  string      `json:"month"`
	Rows   []bookRow   `json:"rows"`
	Total  book.Totals `json:"total"`
}

func booksCommand() *ffcli.Command {
	flags, options := newFlags("books")
	address := command.Address(flags, "platform-address", "127.0.0.1:8090", "address of the platform")
	caller := flags.String("caller", "", "caller whose requests are counted")
	month := flags.String("month", "", "month in UTC, as 2026-12")
	asJSON := flags.Bool("json", false, "print one JSON object")
	return &ffcli.Command{
		Name:       "books",
		ShortUsage: "bronzestair books -caller C -month YYYY-MM [-platform-address A] [-json]",
		ShortHelp:  "Counts a caller's requests of a month, by day, service and verdict.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(ctx context.Context, _ []string) error {
			if *caller == "" {
				return merry.New("flag -caller is missing")
			}
			if _, err := time.Parse(monthLayout, *month); err != nil {
				return merry.Errorf("flag -month is %q, not a month such as 2026-12", *month)
			}
			return showBooks(ctx, *address, book.Caller(*caller), *month, *asJSON)
		},
	}
}

func showBooks(ctx context.Context, address netip.AddrPort, caller book.Caller, month string, asJSON bool) error {
	client := platform.NewClient(address)
	defer client.Close()
	batches, err := client.Batches(ctx)
	if err != nil {
		return merry.Prepend(err, "reading the books")
	}
	report := countBooks(batches, caller, month)
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	fmt.Printf("%-10s %-12s %10s %10s %10s\n", "DAY", "SERVICE", "ANSWERED", "NOT RUN", "MAY HAVE RUN")
	for _, row := range report.Rows {
		fmt.Printf("%-10s %-12s %10d %10d %10d\n", row.Day, row.Service, row.Answered, row.NotRun, row.MayHaveRun)
	}
	fmt.Printf("%-23s %10d %10d %10d\n", "total", report.Total.Answered, report.Total.NotRun, report.Total.MayHaveRun)
	return nil
}

// countBooks counts the lines of one caller and month.
func countBooks(batches []book.Batch, caller book.Caller, month string) bookReport {
	type rowKey struct {
		day     string
		service service.ID
	}
	report := bookReport{Caller: caller, Month: month, Rows: []bookRow{}}
	rows := map[rowKey]*bookRow{}
	for _, batch := range batches {
		for _, line := range batch.Lines {
			at := line.At.Time()
			if line.Caller != caller || at.Format(monthLayout) != month {
				continue
			}
			key := rowKey{day: at.Format(time.DateOnly), service: line.Service}
			if rows[key] == nil {
				rows[key] = &bookRow{Day: key.day, Service: key.service}
			}
			rows[key].Add(line)
			report.Total.Add(line)
		}
	}
	for _, row := range rows {
		report.Rows = append(report.Rows, *row)
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := report.Rows[i], report.Rows[j]
		return a.Day < b.Day || (a.Day == b.Day && a.Service < b.Service)
	})
	return report
}
