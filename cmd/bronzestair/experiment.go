package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bronzestair/core/experiment"
	"bronzestair/core/runner"
)

// slotsReport holds the results of all policies for one seed.
type slotsReport struct {
	Seed     uint64              `json:"seed"`
	Surge    float64             `json:"surge"`
	Skew     float64             `json:"skew"`
	Load     float64             `json:"load"`
	Picker   string              `json:"picker"`
	Policies []experiment.Result `json:"policies"`
}

func experimentCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "experiment",
		ShortUsage:  "bronzestair experiment slots [flags]",
		ShortHelp:   "Simulates policies in virtual time.",
		FlagSet:     flag.NewFlagSet("bronzestair experiment", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{experimentSlotsCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func experimentSlotsCommand() *ffcli.Command {
	flags, options := newFlags("experiment slots")
	seed := flags.Uint64("seed", 1, "seed of all random numbers")
	surge := flags.Float64("surge", 5, "factor by which the arrival rate grows during the surge")
	skew := flags.Float64("skew", 0, "share of requests that the load balancer sends to the first entry, 0 to 1")
	load := flags.Float64("load", 0.5, "share of all slots that the mean arrival rate keeps busy")
	picker := flags.String("picker", "two", "how a runner is picked: two (better of two random choices) or least (least loaded)")
	asJSON := flags.Bool("json", false, "print one JSON object")
	return &ffcli.Command{
		Name:       "slots",
		ShortUsage: "bronzestair experiment slots [-seed N] [-surge X] [-skew S] [-load L] [-picker P] [-json]",
		ShortHelp:  "Compares policies that divide the slots of runners among seven entries.",
		FlagSet:    flags,
		Options:    options,
		Exec: func(context.Context, []string) error {
			report := slotsReport{Seed: *seed, Surge: *surge, Skew: *skew, Load: *load, Picker: *picker}
			if err := report.run(); err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(os.Stdout).Encode(report)
			}
			report.print()
			return nil
		},
	}
}

func (r *slotsReport) run() error {
	if r.Surge <= 0 || r.Load <= 0 || r.Skew < 0 || r.Skew > 1 {
		return merry.Errorf("-surge %v and -load %v must be above 0, -skew %v must be between 0 and 1", r.Surge, r.Load, r.Skew)
	}
	pickers := map[string]runner.Picker{"two": runner.TwoChoices{}, "least": runner.LeastLoaded{}}
	picker, ok := pickers[r.Picker]
	if !ok {
		return merry.Errorf("picker %q is neither two nor least", r.Picker)
	}
	for _, policy := range experiment.Policies() {
		r.Policies = append(r.Policies, experiment.Run(experiment.Scenario{
			Seed: r.Seed, Policy: policy, Surge: r.Surge, Skew: r.Skew, Load: r.Load, Picker: picker,
		}))
	}
	return nil
}

func (r *slotsReport) print() {
	fmt.Printf("seed %d, surge %v, skew %v, load %v, picker %s\n", r.Seed, r.Surge, r.Skew, r.Load, r.Picker)
	fmt.Printf("%-8s %8s %9s %8s %8s %9s %9s %9s %6s\n",
		"POLICY", "SENT", "ANSWERED", "REFUSED", "GOODPUT", "P50 ms", "P99 ms", "MESSAGES", "OVER")
	for _, result := range r.Policies {
		fmt.Printf("%-8s %8d %9d %8d %8.3f %9.1f %9.1f %9d %6d\n",
			result.Policy, result.Sent, result.Answered, result.Refused, result.SurgeUtilization, result.P50Millis, result.P99Millis, result.Messages, result.OverLimit)
	}
}
