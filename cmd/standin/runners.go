package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"bronzestair/core/runner"
	"bronzestair/io/command"
	"bronzestair/standin"
)

func runnersCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin runners", flag.ContinueOnError)
	first := command.AddressFlag(flags, "address", "127.0.0.1:9001", "IP address and port of the first runner")
	count := flags.Int("count", 1, "number of runners, on consecutive ports")
	delay := flags.Duration("delay", 0, "how long a request takes")
	unwell := flags.Bool("unwell", false, "fail every request")
	return &ffcli.Command{
		Name:       "runners",
		ShortUsage: "standin runners [-address A] [-count N] [-delay D] [-unwell]",
		ShortHelp:  "Runs backend servers that count their executions.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("STANDIN")},
		Exec: func(ctx context.Context, _ []string) error {
			if *count < 1 || int(first.Port())+*count > 1<<16 {
				return merry.Errorf("flag -count is %d; it must be at least 1 and need no port above 65535", *count)
			}
			group, ctx := errgroup.WithContext(ctx)
			for i := range *count {
				address := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
				r := standin.NewRunner(runner.ID(fmt.Sprintf("runner-%d", i+1)), *delay)
				r.SetFailing(*unwell)
				group.Go(func() error { return serve(ctx, address, r) })
			}
			return group.Wait()
		},
	}
}
