package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pmezard/go-difflib/difflib"

	"bronzestair/core/fleet"
	"bronzestair/io/command"
	"bronzestair/io/platform"
)

const (
	defaultPlatformAddress = "127.0.0.1:8090"
	defaultApplyTimeout    = 30 * time.Second
	diffContext            = 3 // lines
)

func configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "config",
		ShortUsage: "bronzestair config <apply|diff|history|show|wait> [flags]",
		ShortHelp:  "Changes and shows the fleet's configuration.",
		FlagSet:    flag.NewFlagSet("bronzestair config", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			configApplyCommand(), configDiffCommand(), configHistoryCommand(), configShowCommand(), configWaitCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// configSubcommand returns a subcommand of config that runs with a client of the
// platform. bind adds the subcommand's own flags.
func configSubcommand(name, usage, help string, bind func(*flag.FlagSet), run func(context.Context, *platform.Client, []string) error) *ffcli.Command {
	flags, options := newFlags("config " + name)
	address := command.AddressFlag(flags, "platform-address", defaultPlatformAddress, "address of the platform")
	bind(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bronzestair config " + name + " " + usage,
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    options,
		Exec: func(ctx context.Context, args []string) error {
			client := platform.NewClient(*address)
			defer client.Close()
			return run(ctx, client, args)
		},
	}
}

// fileArgument returns the only argument, a file name.
func fileArgument(args []string) (string, error) {
	if len(args) != 1 {
		return "", merry.Errorf("%d file arguments, want 1", len(args))
	}
	return args[0], nil
}

func configApplyCommand() *ffcli.Command {
	var base uint64
	var operator, note, operation string
	var timeout time.Duration
	var asJSON bool
	bind := func(flags *flag.FlagSet) {
		flags.Uint64Var(&base, "base", 0, "version that the file is based on; 0 replaces any version in force")
		flags.StringVar(&operator, "operator", os.Getenv("USER"), "name of the operator who makes the change")
		flags.StringVar(&note, "note", "", "purpose of the change")
		flags.StringVar(&operation, "operation", "", "id of the operation; repeat it to continue an operation whose response was lost")
		flags.DurationVar(&timeout, "timeout", defaultApplyTimeout, "how long to ask the platform for the result if its response is lost")
		flags.BoolVar(&asJSON, "json", false, "print one JSON object")
	}
	return configSubcommand("apply", "[-base N] [-note TEXT] FILE", "Checks a configuration and puts it in force.", bind,
		func(ctx context.Context, client *platform.Client, args []string) error {
			name, err := fileArgument(args)
			if err != nil {
				return err
			}
			if operator == "" {
				return merry.New("flag -operator is missing")
			}
			f, err := readFleet(name)
			if err != nil {
				return err
			}
			if operation == "" {
				operation = fmt.Sprintf("%016x", rand.Uint64())
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			change := fleet.Change{Operation: fleet.OperationID(operation), Operator: operator, Note: note, At: time.Now().UTC()}
			accepted, err := client.Apply(ctx, *f, change, fleet.Version(base))
			if err != nil {
				return printConflictDiff(ctx, client, f, err)
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(accepted)
			}
			fmt.Printf("accepted as version %d, operation %s\n", accepted.Version, accepted.Operation)
			return nil
		})
}

// printConflictDiff prints how the refused configuration differs from the one in
// force if err is a version conflict. It returns err.
func printConflictDiff(ctx context.Context, client *platform.Client, refused *fleet.Fleet, err error) error {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	record, readErr := client.Record(ctx)
	if readErr != nil {
		return err
	}
	text, diffErr := diffFleets(record.Fleet, *refused, "in force", "refused")
	if diffErr == nil {
		fmt.Fprint(os.Stderr, text)
	}
	return err
}

// diffFleets returns a unified diff of two configurations apart from their
// versions. It is empty if they are equal.
func diffFleets(a, b fleet.Fleet, nameA, nameB string) (string, error) {
	a.Version, b.Version = 0, 0
	textA, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return "", err
	}
	textB, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(textA) + "\n"), B: difflib.SplitLines(string(textB) + "\n"),
		FromFile: nameA, ToFile: nameB, Context: diffContext,
	})
}

func configDiffCommand() *ffcli.Command {
	return configSubcommand("diff", "FILE", "Shows how a file differs from the configuration in force.", func(*flag.FlagSet) {},
		func(ctx context.Context, client *platform.Client, args []string) error {
			name, err := fileArgument(args)
			if err != nil {
				return err
			}
			f, err := readFleet(name)
			if err != nil {
				return err
			}
			record, err := client.Record(ctx)
			if err != nil {
				return err
			}
			text, err := diffFleets(record.Fleet, *f, fmt.Sprintf("version %d", record.Fleet.Version), name)
			fmt.Print(text)
			return err
		})
}

func configHistoryCommand() *ffcli.Command {
	var asJSON bool
	bind := func(flags *flag.FlagSet) { flags.BoolVar(&asJSON, "json", false, "print one JSON list") }
	return configSubcommand("history", "[-json]", "Lists the latest changes, the newest last.", bind,
		func(ctx context.Context, client *platform.Client, _ []string) error {
			record, err := client.Record(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(record.Changes)
			}
			fmt.Printf("%7s  %-20s  %-16s  %-12s  %s\n", "VERSION", "AT", "OPERATION", "OPERATOR", "NOTE")
			for _, c := range record.Changes {
				fmt.Printf("%7d  %-20s  %-16s  %-12s  %s\n", c.Version, c.At.Format(time.RFC3339), c.Operation, c.Operator, c.Note)
			}
			return nil
		})
}

func configShowCommand() *ffcli.Command {
	var version uint64
	bind := func(flags *flag.FlagSet) {
		flags.Uint64Var(&version, "version", 0, "version to show, 0 for the one in force")
	}
	return configSubcommand("show", "[-version N]", "Prints a configuration as JSON.", bind,
		func(ctx context.Context, client *platform.Client, _ []string) error {
			record, err := readVersion(ctx, client, fleet.Version(version))
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(record.Fleet)
		})
}

func readVersion(ctx context.Context, client *platform.Client, version fleet.Version) (fleet.Record, error) {
	if version == 0 {
		return client.Record(ctx)
	}
	return client.RecordAt(ctx, version)
}

func configWaitCommand() *ffcli.Command {
	var version uint64
	var timeout time.Duration
	bind := func(flags *flag.FlagSet) {
		flags.Uint64Var(&version, "version", 0, "version to wait for, 0 for the one in force now")
		flags.DurationVar(&timeout, "timeout", defaultApplyTimeout, "how long to wait")
	}
	return configSubcommand("wait", "[-version N] [-timeout D]", "Waits until a version is in force at every entry; after the timeout, names the entries where it is not.", bind,
		func(ctx context.Context, client *platform.Client, _ []string) error {
			record, err := client.Record(ctx)
			if err != nil {
				return err
			}
			if version == 0 {
				version = uint64(record.Fleet.Version)
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return waitForVersion(ctx, record.Fleet.Entries, fleet.Version(version), os.Stdout)
		})
}

// waitPollInterval is the interval at which entries are asked for their version.
const waitPollInterval = 100 * time.Millisecond

// waitForVersion polls all entries until each has at least the given version. If
// the context is done before, it returns an error that names the other entries.
func waitForVersion(ctx context.Context, entries []fleet.Entry, version fleet.Version, w io.Writer) error {
	start := time.Now()
	for {
		pending := pendingEntries(ctx, entries, version)
		if len(pending) == 0 {
			fmt.Fprintf(w, "version %d is in force at %d entries after %v\n", version, len(entries), time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("version %d is not in force at %v", version, pending)
		case <-time.After(waitPollInterval):
		}
	}
}

// pendingEntries describes the entries that have not reported the version or a
// newer one.
func pendingEntries(ctx context.Context, entries []fleet.Entry, version fleet.Version) []string {
	var pending []string
	for _, e := range entries {
		if e.OperatorAddress == (netip.AddrPort{}) {
			pending = append(pending, fmt.Sprintf("%s (no operatorAddress)", e.ID))
			continue
		}
		status, err := readStatus(ctx, e.OperatorAddress.String())
		switch {
		case err != nil:
			pending = append(pending, fmt.Sprintf("%s (no answer)", e.ID))
		case status.Version < version:
			pending = append(pending, fmt.Sprintf("%s (version %d)", e.ID, status.Version))
		}
	}
	return pending
}
