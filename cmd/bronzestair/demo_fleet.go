package main

import (
	"bronzestair"
	"bronzestair/core/book"
	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/service"
	"bronzestair/core/settings"
	"bronzestair/io/platform"
	"bronzestair/standin"
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
)

const (
	demoEntries     = 7
	demoSlots       = 8 // per runner
	demoServiceTime = 4 * time.Millisecond
	// demoListLag is the delay after which the instance list shows a change.
	demoListLag      = 2 * time.Second
	demoStartTimeout = 10 * time.Second
)

// demoFleet is a complete deployment in this process, on loopback addresses.
type demoFleet struct {
	config   fleet.Fleet
	platform *standin.Platform
	runners  []*standin.Runner
	servers  []*standin.Server
	client   *platform.Client
	entries  []*bronzestair.Entry
	callers  []net.Listener
	peers    []net.Listener
	cancel   context.CancelFunc
	group    errgroup.Group
}

// startDemoFleet starts the platform, the runners and the entries.
func startDemoFleet(ctx context.Context) (*demoFleet, error) {
	f := &demoFleet{platform: standin.NewPlatform(demoListLag)}
	server, err := standin.Serve(f.platform)
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, server)
	f.client = platform.NewClient(server.Address)
	if err := f.startRunners(); err != nil {
		return nil, err
	}
	if err := f.listen(); err != nil {
		return nil, err
	}
	if err := f.configure(ctx); err != nil {
		return nil, err
	}
	ctx, f.cancel = context.WithCancel(ctx)
	for i := range demoEntries {
		if err := f.startEntry(ctx, i, server.Address); err != nil {
			return nil, err
		}
	}
	return f, f.waitUntilReady(ctx)
}

func (f *demoFleet) startRunners() error {
	for _, svc := range standin.DemoServices() {
		pool := service.PoolID(svc.ID)
		f.config.Services = append(f.config.Services, service.Service{ID: svc.ID, Pool: pool})
		for i := range svc.Runners {
			id := standin.RunnerID(svc.ID, i+1)
			r := standin.NewRunner(id, demoServiceTime)
			server, err := standin.Serve(r)
			if err != nil {
				return err
			}
			rack, dataCentre := standin.Location(len(f.runners))
			f.runners = append(f.runners, r)
			f.servers = append(f.servers, server)
			f.config.Runners = append(f.config.Runners, runner.Runner{
				ID: id, Pool: pool, Address: server.Address, Rack: rack, DataCentre: dataCentre, Slots: demoSlots,
			})
		}
	}
	return nil
}

// listen opens the listeners of all entries and adds the entries to the
// configuration.
func (f *demoFleet) listen() error {
	for i := range demoEntries {
		callers, err := listenLoopback()
		if err != nil {
			return err
		}
		peers, err := listenLoopback()
		if err != nil {
			return err
		}
		f.callers = append(f.callers, callers)
		f.peers = append(f.peers, peers)
		f.config.Entries = append(f.config.Entries, fleet.Entry{
			ID:          demoEntryID(i),
			PeerAddress: peers.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	return nil
}

// listenLoopback listens on a free loopback port.
func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func demoEntryID(i int) fleet.EntryID { return fleet.EntryID(fmt.Sprintf("entry-%d", i+1)) }

// configure writes the configuration and the instance list to the platform.
func (f *demoFleet) configure(ctx context.Context) error {
	change := fleet.Change{Operation: "demo", Operator: "demo", Note: "the first configuration", At: time.Now()}
	if _, err := f.client.Apply(ctx, f.config, change, platform.AnyVersion); err != nil {
		return err
	}
	var list []platform.Instance
	for _, r := range f.config.Runners {
		list = append(list, platform.Instance{ID: r.ID})
	}
	f.platform.SetInstances(list)
	return nil
}

func (f *demoFleet) startEntry(ctx context.Context, i int, platformAddress netip.AddrPort) error {
	operators, err := listenLoopback()
	if err != nil {
		return err
	}
	s := settings.Default()
	s.Entry = demoEntryID(i)
	s.PlatformAddress = platformAddress
	s.TrustCallerHeader = true
	s.DrainDelay = 0
	e, err := bronzestair.New(
		bronzestair.WithSettings(s),
		bronzestair.WithCallerListener(f.callers[i]),
		bronzestair.WithOperatorListener(operators),
		bronzestair.WithPeerListener(f.peers[i]),
	)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	f.group.Go(func() error { return e.Run(ctx) })
	return nil
}

func (f *demoFleet) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	for _, e := range f.entries {
		for !e.Ready() {
			select {
			case <-ctx.Done():
				return merry.New("the entries did not become ready within the start timeout")
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

func (f *demoFleet) callerAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, l := range f.callers {
		out = append(out, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return out
}

// stop shuts the entries down gracefully.
func (f *demoFleet) stop() error {
	f.cancel()
	return f.group.Wait()
}

// close closes the platform client and the stand-in servers.
func (f *demoFleet) close() {
	f.client.Close()
	for _, s := range f.servers {
		s.Close()
	}
}

// bookLines reads all book lines from the platform.
func (f *demoFleet) bookLines(ctx context.Context) ([]book.Line, error) {
	batches, err := f.client.Batches(ctx)
	if err != nil {
		return nil, err
	}
	var lines []book.Line
	for _, b := range batches {
		lines = append(lines, b.Lines...)
	}
	return lines, nil
}

// executions returns the number of executions of each key at all runners.
func (f *demoFleet) executions() map[string]int {
	out := map[string]int{}
	for _, r := range f.runners {
		for key, n := range r.ExecutionsByKey() {
			out[key] += n
		}
	}
	return out
}
