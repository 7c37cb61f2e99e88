package experiment

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bronzestair/core/entry"
	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/service"
)

// Policy is a way to divide the slots of a runner among entries, so that
// together they never use more than the runner has.
type Policy string

const (
	// Lending is the policy of the daemon: an entry lends its home slots to peers
	// for a limited term.
	Lending Policy = "lending"
	// FixedShare keeps every slot at its home entry.
	FixedShare Policy = "share"
	// Owner assigns all slots of a runner to one entry, its owner. Other entries
	// forward requests to an owner.
	Owner Policy = "owner"
	// SingleEntry has one entry that receives all requests and has all slots. It
	// is the upper bound for the other policies.
	SingleEntry Policy = "single"
)

// Policies returns all policies, the upper bound last.
func Policies() []Policy { return []Policy{Lending, FixedShare, Owner, SingleEntry} }

const (
	entryCount     = 7
	runnerCount    = 12
	slotsPerRunner = 8
	serviceTime    = 40 * time.Millisecond
	linkLatency    = 2 * time.Millisecond
	requestTimeout = 2 * time.Second
	// tick is the interval between two Ticked events of an entry.
	tick = 50 * time.Millisecond
	// defaultLoad is the share of all slots that the mean arrival rate keeps busy
	// outside the surge.
	defaultLoad      = 0.5
	surgeStartOffset = 5 * time.Second
	surgeEndOffset   = 10 * time.Second
	arrivalPeriod    = 20 * time.Second
	// drainPeriod is the time after the last arrival in which requests may end.
	drainPeriod = 5 * time.Second
)

// Scenario is the input of a simulation run.
type Scenario struct {
	Seed   uint64
	Policy Policy
	// Surge multiplies the arrival rate from second 5 to second 10.
	Surge float64
	// Skew is the share of requests that the load balancer sends to the first
	// entry. It spreads the others evenly over all entries, the first included.
	Skew float64
	// Load is the share of all slots that the arrivals keep busy outside the
	// surge. 0 stands for one half.
	Load float64
	// Picker chooses runners. nil stands for the default picker.
	Picker runner.Picker
}

// Result holds the measurements of a simulation run.
type Result struct {
	Policy   Policy `json:"policy"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Refused counts the requests that ended with any verdict other than
	// verdict.Answered.
	Refused int `json:"refused"`
	// SurgeUtilization is the share of the total slot time during the surge in
	// which slots were busy with requests: busy slot time over total slot time.
	SurgeUtilization float64 `json:"goodput"`
	// P50Millis and P99Millis are percentiles of the time from arrival to response,
	// of answered requests only.
	P50Millis float64 `json:"p50Millis"`
	P99Millis float64 `json:"p99Millis"`
	// Messages counts the one-way messages between entries, so that a call and its
	// answer are two. A forwarded request counts as one, and its response is not
	// counted.
	Messages int `json:"messages"`
	// OverLimit counts the dispatches that gave a runner more requests in flight
	// than it has slots.
	OverLimit int `json:"overLimit"`
}

// newFleet returns the fleet configuration for a policy.
func newFleet(policy Policy) *fleet.Fleet {
	f := &fleet.Fleet{Version: 1}
	entries := entryCount
	if policy == SingleEntry {
		entries = 1
	}
	for i := range entries {
		f.Entries = append(f.Entries, fleet.Entry{ID: entryID(i), PeerAddress: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	f.Services = []service.Service{{ID: "seats", Pool: "seats", Limits: service.Limits{QueueLength: 512 / entries}}}
	for i := range runnerCount {
		f.Runners = append(f.Runners, runner.Runner{
			ID: runner.ID(fmt.Sprintf("seats-%d", i+1)), Pool: "seats", Slots: slotsPerRunner,
		})
	}
	return f
}

func entryID(i int) fleet.EntryID { return fleet.EntryID(fmt.Sprintf("entry-%d", i+1)) }

// Run simulates a scenario.
func Run(scenario Scenario) Result {
	s := newSimulation(scenario)
	s.start()
	end := s.clock.now.Add(arrivalPeriod)
	s.clock.run(end.Add(drainPeriod))
	return s.summarize()
}

// reducerOptions returns the options by which the reducers of a scenario differ
// from the daemon's.
func reducerOptions(scenario Scenario) []entry.Option {
	var options []entry.Option
	if scenario.Picker != nil {
		options = append(options, entry.WithPicker(scenario.Picker))
	}
	switch scenario.Policy {
	case FixedShare:
		options = append(options, entry.WithBorrowing(false))
	case Owner:
		options = append(options, entry.WithBorrowing(false), entry.WithHomeAssigner(assignWholeRunner))
	}
	return options
}

// exponential returns an exponentially distributed duration with the given mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}
