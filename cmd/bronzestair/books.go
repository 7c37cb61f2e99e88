package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/book"
	"bronzestair/core/fleet"
	"bronzestair/core/verdict"
	"bronzestair/io/command"
	"bronzestair/io/platform"
)

const monthLayout = "2006-01"

// bookFlags holds the flags that select a caller's account.
type bookFlags struct {
	address *netip.AddrPort
	caller  *string
	month   *string
	asJSON  *bool
}

func bindBookFlags(flags *flag.FlagSet) bookFlags {
	return bookFlags{
		address: command.AddressFlag(flags, "platform-address", defaultPlatformAddress, "address of the platform"),
		caller:  flags.String("caller", "", "caller whose requests are counted"),
		month:   flags.String("month", "", "month in UTC, such as 2026-12"),
		asJSON:  flags.Bool("json", false, "print JSON"),
	}
}

func (f bookFlags) check() error {
	if *f.caller == "" {
		return merry.New("flag -caller is missing")
	}
	if _, err := time.Parse(monthLayout, *f.month); err != nil {
		return merry.Errorf("flag -month is %q, not a month such as 2026-12", *f.month)
	}
	return nil
}

// lines reads the account's book lines from the platform.
func (f bookFlags) lines(ctx context.Context, client *platform.Client) ([]book.Line, error) {
	batches, err := client.Batches(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "reading the books")
	}
	return book.Select(batches, book.Caller(*f.caller), book.Month(*f.month)), nil
}

func booksCommand() *ffcli.Command {
	flags, options := newFlags("books")
	f := bindBookFlags(flags)
	return &ffcli.Command{
		Name:        "books",
		ShortUsage:  "bronzestair books -caller C -month YYYY-MM [-platform-address A] [-json]",
		ShortHelp:   "Counts a caller's requests in a month by day, service and verdict.",
		FlagSet:     flags,
		Options:     options,
		Subcommands: []*ffcli.Command{reconcileCommand()},
		Exec: func(ctx context.Context, _ []string) error {
			if err := f.check(); err != nil {
				return err
			}
			return showBooks(ctx, f)
		},
	}
}

func showBooks(ctx context.Context, f bookFlags) error {
	client := platform.NewClient(*f.address)
	defer client.Close()
	// Ask the entries for unfiled lines before reading the books, so that lines
	// filed in between are included.
	notFinal := notFinalReasons(ctx, client, *f.month, time.Now())
	lines, err := f.lines(ctx, client)
	if err != nil {
		return err
	}
	account := book.NewAccount(lines, book.Caller(*f.caller), book.Month(*f.month))
	account.NotFinalBecause = notFinal
	account.Final = len(notFinal) == 0
	if *f.asJSON {
		return json.NewEncoder(os.Stdout).Encode(account)
	}
	printAccount(account)
	return nil
}

// notFinalReasons returns the reasons why the counts of a month may still
// change. It is empty if they are final.
func notFinalReasons(ctx context.Context, client *platform.Client, month string, now time.Time) []string {
	if now.UTC().Format(monthLayout) <= month {
		return []string{"the month is not over"}
	}
	record, err := client.Record(ctx)
	if err != nil {
		return []string{"the list of entries cannot be read: " + err.Error()}
	}
	var reasons []string
	for _, e := range record.Fleet.Entries {
		if reason := notFinalReason(ctx, e); reason != "" {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// notFinalReason returns the reason why an entry may still file lines, or an
// empty string if it has none.
func notFinalReason(ctx context.Context, e fleet.Entry) string {
	if !e.OperatorAddress.IsValid() {
		return fmt.Sprintf("entry %q has no operatorAddress, so its unfiled lines are unknown", e.ID)
	}
	status, err := readStatus(ctx, e.OperatorAddress.String())
	if err != nil {
		return fmt.Sprintf("entry %q does not answer", e.ID)
	}
	if status.UnfiledLines > 0 {
		return fmt.Sprintf("entry %q has %d unfiled lines", e.ID, status.UnfiledLines)
	}
	return ""
}

func printAccount(a book.Account) {
	fmt.Printf("%-10s %-12s %10s %10s %12s\n", "DAY", "SERVICE", "ANSWERED", "NOT RUN", "MAY HAVE RUN")
	for _, row := range a.Rows {
		fmt.Printf("%-10s %-12s %10d %10d %12d\n", row.Day, row.Service, row.Answered, row.NotRun, row.MayHaveRun)
	}
	fmt.Printf("%-23s %10d %10d %12d\n", "total", a.Total.Answered, a.Total.NotRun, a.Total.MayHaveRun)
	for _, reason := range a.NotFinalBecause {
		fmt.Println("not final:", reason)
	}
}

func reconcileCommand() *ffcli.Command {
	flags, options := newFlags("books reconcile")
	f := bindBookFlags(flags)
	return &ffcli.Command{
		Name:       "reconcile",
		ShortUsage: "bronzestair books reconcile -caller C -month YYYY-MM [-json] FILE",
		ShortHelp:  "Compares a caller's list, which has a line KEY VERDICT for each request, with the books.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(ctx context.Context, args []string) error {
			if err := f.check(); err != nil {
				return err
			}
			name, err := fileArgument(args)
			if err != nil {
				return err
			}
			return reconcile(ctx, f, name)
		},
	}
}

// reconcile prints the differences between a caller's list and the books, and
// returns an error if there are any.
func reconcile(ctx context.Context, f bookFlags, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	records, err := readCallerRecords(name, file)
	if err != nil {
		return err
	}
	client := platform.NewClient(*f.address)
	defer client.Close()
	lines, err := f.lines(ctx, client)
	if err != nil {
		return err
	}
	differences := book.Reconcile(records, lines)
	if *f.asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(differences); err != nil {
			return err
		}
	} else {
		for _, d := range differences {
			fmt.Printf("%s: theirs %v, ours %v\n", d.Key, d.Theirs, d.Ours)
		}
	}
	if len(differences) > 0 {
		return merry.Errorf("%d keys differ, of %d requests in the list and %d in the books", len(differences), len(records), len(lines))
	}
	fmt.Fprintf(os.Stderr, "%d requests agree\n", len(lines))
	return nil
}

// readCallerRecords reads a caller's list. It skips empty lines and lines that
// begin with #.
func readCallerRecords(name string, r io.Reader) ([]book.CallerRecord, error) {
	var records []book.CallerRecord
	scanner := bufio.NewScanner(r)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 2 {
			return nil, merry.Errorf("%s:%d: line %q does not consist of a key and a verdict", name, lineNumber, line)
		}
		var v verdict.Verdict
		if err := v.UnmarshalText([]byte(fields[1])); err != nil {
			return nil, merry.Errorf("%s:%d: %v", name, lineNumber, err)
		}
		records = append(records, book.CallerRecord{Key: book.Key(fields[0]), Verdict: v})
	}
	return records, scanner.Err()
}
