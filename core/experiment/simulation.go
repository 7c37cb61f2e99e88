package experiment

import (
	"math/rand/v2"
	"sort"
	"time"

	"bronzestair/core/entry"
	"bronzestair/core/fleet"
	"bronzestair/core/runner"
	"bronzestair/core/slot"
	"bronzestair/core/verdict"
)

// simulation is the state of a simulation run.
type simulation struct {
	scenario Scenario
	clock    clock
	// Three random generators keep the draws for one purpose independent of how many
	// there are for another. arrivalRand draws the times and the routing of arrivals,
	// eventSeedRand the seeds of the events for the reducers.
	arrivalRand     *rand.Rand
	serviceTimeRand *rand.Rand
	eventSeedRand   *rand.Rand
	fleet           *fleet.Fleet
	entries         map[fleet.EntryID]*simulatedEntry
	// inFlight counts the requests in flight at each runner, from all entries.
	inFlight map[runner.ID]int
	// runnerOwners has the owner of each runner, so that picking one of its
	// elements at random weights an entry by the runners that it owns.
	runnerOwners []fleet.EntryID
	// surgeBusyTime is the time, summed over all slots, in which slots processed
	// requests during the surge.
	surgeBusyTime time.Duration
	latencies     []time.Duration
	totals        Result
}

// simulatedEntry is an entry's reducer with the state that the model keeps for it.
type simulatedEntry struct {
	simulation  *simulation
	id          fleet.EntryID
	state       *entry.State
	nextRequest uint32
	requests    map[entry.RequestID]*request
	// requestedAt holds when the peer sent each borrow request that this entry has
	// received and not yet answered.
	requestedAt map[slot.BorrowRequestID]time.Time
}

// request is a request that an entry has received and that has not ended.
type request struct {
	arrived time.Time
	// forwardingTime is the round trip of forwarding the request, 0 if it was not
	// forwarded.
	forwardingTime time.Duration
}

func newSimulation(sc Scenario) *simulation {
	s := &simulation{
		scenario:        sc,
		arrivalRand:     rand.New(rand.NewPCG(sc.Seed, 1)),
		serviceTimeRand: rand.New(rand.NewPCG(sc.Seed, 2)),
		eventSeedRand:   rand.New(rand.NewPCG(sc.Seed, 3)),
		fleet:           newFleet(sc.Policy),
		entries:         map[fleet.EntryID]*simulatedEntry{},
		inFlight:        map[runner.ID]int{},
	}
	s.clock.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.totals.Policy = sc.Policy
	for _, e := range s.fleet.Entries {
		s.entries[e.ID] = &simulatedEntry{
			simulation: s, id: e.ID, state: entry.New(e.ID, reducerOptions(sc)...),
			requests:    map[entry.RequestID]*request{},
			requestedAt: map[slot.BorrowRequestID]time.Time{},
		}
	}
	for _, r := range s.fleet.Runners {
		for id := range assignWholeRunner(s.fleet.EntryIDs(), string(r.ID), slotsPerRunner) {
			s.runnerOwners = append(s.runnerOwners, id)
		}
	}
	return s
}

// assignWholeRunner assigns all slots of one runner to a single home entry, for
// the policy Owner.
func assignWholeRunner(ids []fleet.EntryID, runnerID string, slots int) map[fleet.EntryID]slot.Mask {
	homes := slot.AssignHomes(ids, runnerID, 1)
	for id := range homes {
		homes[id] = 1<<slots - 1
	}
	return homes
}

// start passes the configuration to all entries, starts their ticks and schedules
// the first arrival.
func (s *simulation) start() {
	for _, e := range s.fleet.Entries {
		n := s.entries[e.ID]
		n.submit(&entry.ConfigurationReceived{Fleet: s.fleet})
		n.tick()
	}
	s.scheduleArrival(s.clock.now)
}

// scheduleArrival schedules the next arrival, which in turn schedules the one
// after it, until the arrival period is over. The interarrival times are
// exponentially distributed.
func (s *simulation) scheduleArrival(begin time.Time) {
	elapsed := s.clock.now.Sub(begin)
	if elapsed >= arrivalPeriod {
		return
	}
	load := s.scenario.Load
	if load == 0 {
		load = defaultLoad
	}
	rate := load * runnerCount * slotsPerRunner / serviceTime.Seconds()
	if elapsed >= surgeStartOffset && elapsed < surgeEndOffset {
		rate *= s.scenario.Surge
	}
	gap := exponential(s.arrivalRand, time.Duration(float64(time.Second)/rate))
	s.clock.after(gap, func() {
		s.arrive()
		s.scheduleArrival(begin)
	})
}

// arrive routes a new request to the entry that the load balancer picks, or, with
// the policy Owner, to the owner of a random runner, by way of that entry.
func (s *simulation) arrive() {
	s.totals.Sent++
	ids := s.fleet.EntryIDs()
	target := ids[s.arrivalRand.IntN(len(ids))]
	if s.arrivalRand.Float64() < s.scenario.Skew {
		target = ids[0]
	}
	if s.scenario.Policy != Owner {
		s.entries[target].arrive(0)
		return
	}
	owner := s.runnerOwners[s.arrivalRand.IntN(len(s.runnerOwners))]
	if owner == target {
		s.entries[owner].arrive(0)
		return
	}
	s.totals.Messages++
	s.clock.after(linkLatency, func() { s.entries[owner].arrive(2 * linkLatency) })
}

// arrive passes a routed request to the entry's reducer and schedules its deadline.
func (n *simulatedEntry) arrive(forwardingTime time.Duration) {
	s := n.simulation
	id := entry.NewRequestID(n.nextRequest, 1)
	n.nextRequest++
	n.requests[id] = &request{arrived: s.clock.now, forwardingTime: forwardingTime}
	n.submit(&entry.RequestArrived{
		Request: id, Service: "seats", Deadline: s.clock.now.Add(requestTimeout),
	})
	s.clock.after(requestTimeout, func() { n.submit(&entry.DeadlinePassed{Request: id}) })
}

func (n *simulatedEntry) tick() {
	n.submit(&entry.Ticked{})
	n.simulation.clock.after(tick, n.tick)
}

// submit passes an event to the entry's reducer and executes the effects.
func (n *simulatedEntry) submit(e entry.Event) {
	e.Stamp(n.simulation.clock.now, n.simulation.eventSeedRand.Uint64())
	for _, effect := range n.state.Reduce(e, nil) {
		n.execute(effect)
	}
}

func (n *simulatedEntry) execute(e entry.Effect) {
	s := n.simulation
	switch e.Kind {
	case entry.Dispatch:
		n.dispatch(e)
	case entry.Deliver:
		s.clock.after(0, func() { n.submit(&entry.ResponseDelivered{Request: e.Request, Complete: true}) })
	case entry.Record:
		n.record(e)
	case entry.BorrowSlots:
		requestedAt := s.clock.now
		n.send(e.Peer, func(peer *simulatedEntry) {
			peer.requestedAt[e.Ask] = requestedAt
			peer.submit(&entry.BorrowRequested{Peer: n.id, Service: e.Service, Count: e.Count, Ask: e.Ask})
		})
	case entry.LendSlots:
		requestedAt := n.requestedAt[e.Ask]
		delete(n.requestedAt, e.Ask)
		n.send(e.Peer, func(peer *simulatedEntry) {
			peer.submit(&entry.BorrowCompleted{Peer: n.id, Service: e.Service, Ask: e.Ask, AskedAt: requestedAt, Loans: e.Loans})
		})
	case entry.ReturnSlots:
		n.send(e.Peer, func(peer *simulatedEntry) {
			peer.submit(&entry.SlotsReturned{Peer: n.id, Loans: e.Loans, VoidAsk: e.Ask})
		})
	case entry.QueryLoans:
		n.send(e.Peer, func(peer *simulatedEntry) { peer.submit(&entry.LoansQueried{Peer: n.id}) })
	case entry.ReportLoans:
		n.send(e.Peer, func(peer *simulatedEntry) { peer.submit(&entry.LoansReported{Peer: n.id, Loans: e.Loans}) })
	}
}

// send delivers a message to a peer after the link's latency.
func (n *simulatedEntry) send(to fleet.EntryID, deliver func(*simulatedEntry)) {
	n.simulation.totals.Messages++
	n.simulation.clock.after(linkLatency, func() { deliver(n.simulation.entries[to]) })
}

// dispatch simulates an attempt at a runner.
func (n *simulatedEntry) dispatch(e entry.Effect) {
	s := n.simulation
	s.inFlight[e.Runner]++
	if s.inFlight[e.Runner] > slotsPerRunner {
		s.totals.OverLimit++
	}
	began := s.clock.now
	took := exponential(s.serviceTimeRand, serviceTime)
	s.clock.after(took, func() {
		s.inFlight[e.Runner]--
		s.surgeBusyTime += overlap(began, s.clock.now, s.surgeStart(), s.surgeEnd())
		n.submit(&entry.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Result: entry.Succeeded})
	})
}

func (s *simulation) surgeStart() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(surgeStartOffset)
}

func (s *simulation) surgeEnd() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(surgeEndOffset)
}

// overlap returns the length of the overlap of two intervals.
func overlap(from, to, begin, end time.Time) time.Duration {
	if from.Before(begin) {
		from = begin
	}
	if to.After(end) {
		to = end
	}
	return max(to.Sub(from), 0)
}

// record counts the verdict of a request, and its latency if it was answered.
func (n *simulatedEntry) record(e entry.Effect) {
	s := n.simulation
	req := n.requests[e.Request]
	delete(n.requests, e.Request)
	if e.Verdict != verdict.Answered {
		s.totals.Refused++
		return
	}
	s.totals.Answered++
	s.latencies = append(s.latencies, s.clock.now.Sub(req.arrived)+req.forwardingTime)
}

// summarize returns the totals with the latency percentiles and the goodput.
func (s *simulation) summarize() Result {
	out := s.totals
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	out.P50Millis = quantileMillis(s.latencies, 0.50)
	out.P99Millis = quantileMillis(s.latencies, 0.99)
	out.SurgeUtilization = s.surgeBusyTime.Seconds() / (float64(runnerCount*slotsPerRunner) * (surgeEndOffset - surgeStartOffset).Seconds())
	return out
}

func quantileMillis(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}
