package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bronzestair/core/pool"
)

// Parameters of listing, draining and waves.
const (
	// listInterval is the interval between requests for the instance list while upkeeps
	// or moves are in progress or due.
	listInterval = 500 * time.Millisecond
	// idleListInterval is the interval between requests at all other times.
	idleListInterval = 2 * time.Second
	// maxReportAge is the age up to which a pool's report is used to plan moves.
	maxReportAge = 1500 * time.Millisecond
	// maxDrainReportAge is the age up to which a report may show that an instance is
	// drained.
	maxDrainReportAge = 600 * time.Millisecond
	// orderRetryDelay is the delay before an unanswered order is sent again.
	orderRetryDelay = 400 * time.Millisecond
	// returnTimeout is the time after which an accepted order is considered finished
	// although the instance is not up.
	returnTimeout = 10 * time.Second
	// upkeepDuration estimates the time of one upkeep, from draining to the return of
	// the instance.
	upkeepDuration = 3500 * time.Millisecond
	// waveTimeFraction is the fraction of a wave's duration in which it is planned to
	// finish.
	waveTimeFraction = 0.6
)

// The states of a wave as reported to the operator.
const (
	waveRunning   = "running"
	waveCompleted = "completed"
)

// apply implements Event.
func (e *PoolsChanged) apply(p *Planner, _ time.Time) {
	clear(p.pools)
	for _, settings := range e.Pools {
		p.pools[settings.Name] = settings
	}
}

// apply implements Event.
func (e *PoolReported) apply(p *Planner, now time.Time) {
	p.reports[e.Report.Pool] = newPoolReport(e.Report, now)
	if !p.listRequestedAt.IsZero() {
		p.orderMoves(now)
	}
}

// apply implements Event.
func (e *WaveReceived) apply(p *Planner, now time.Time) {
	w := p.waves[e.Wave.Number]
	if w == nil {
		w = &waveState{receivedAt: now, begun: map[InstanceID]bool{}}
		p.waves[e.Wave.Number] = w
	}
	w.Wave = e.Wave
	for _, id := range e.Begun {
		w.begun[id] = true
	}
	if e.Completed {
		w.reportedState = waveCompleted
	}
}

// apply implements Event.
func (e *InstancesListed) apply(p *Planner, now time.Time) {
	p.listPending = false
	if e.Failed {
		p.nextList = now.Add(listInterval)
		return
	}
	p.listRequestedAt = e.RequestedAt
	previous := p.instances
	p.instances = make(map[InstanceID]Instance, len(e.Instances))
	for _, instance := range e.Instances {
		p.instances[instance.ID] = instance
		p.detectEndedRunner(previous[instance.ID], instance)
	}
	p.instanceOrder = slices.Sorted(maps.Keys(p.instances))
	p.updateOrders(now)
}

// detectEndedRunner notifies the owner of a pool if a runner has ended: its instance
// has gone down or has another runner. Instances with a pending order are left to
// updateOrders.
func (p *Planner) detectEndedRunner(previous, current Instance) {
	ended := previous.Runner != current.Runner || (current.State == Down && previous.State != Down)
	if previous.Runner == "" || !ended || p.orders[current.ID] != nil {
		return
	}
	p.emit(&LogDecision{Instance: current.ID, Runner: previous.Runner, Decision: "runnerGone", Reason: string(current.State)})
	notification := &NotifyRunnerEnded{Pool: previous.Pool, Runner: previous.Runner}
	if previous.Runner == current.Runner {
		notification.Born = previous.Born
	}
	p.emit(notification)
}

// updateOrders tracks accepted orders to their end. Acceptance alone does not show
// that the runner has ended, because the platform also accepts a repeated order that
// it has already carried out.
func (p *Planner) updateOrders(now time.Time) {
	for id, o := range p.orders {
		if o.inFlight || o.acceptedAt.IsZero() || !p.listRequestedAt.After(o.acceptedAt) {
			continue
		}
		instance, listed := p.instances[id]
		sameRunner := listed && instance.Runner == o.runner
		if !o.runnerEnded && (!sameRunner || instance.State != Up) {
			o.runnerEnded = true
			p.emit(&NotifyRunnerEnded{Pool: o.from, Runner: o.runner})
		}
		if !listed || instance.State == Up || now.Sub(o.acceptedAt) > returnTimeout {
			delete(p.orders, id)
		}
	}
}

// apply implements Event.
func (Ticked) apply(p *Planner, now time.Time) {
	interval := idleListInterval
	if p.active() {
		interval = listInterval
	}
	if !p.listPending && now.Sub(p.nextList) >= 0 {
		p.listPending = true
		p.nextList = now.Add(interval)
		p.emit(&ListInstances{})
	}
	p.retryOrders(now)
	if p.listRequestedAt.IsZero() {
		return
	}
	p.liftBlockedCordons(now)
	p.countWithheld()
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		p.planWave(now, p.waves[number])
	}
	p.planMoves(now)
}

// active reports whether upkeeps or moves are in progress or due.
func (p *Planner) active() bool {
	if len(p.orders) > 0 || len(p.cordons) > 0 {
		return true
	}
	for _, w := range p.waves {
		if w.reportedState != waveCompleted {
			return true
		}
	}
	return false
}

// planWave cordons the next instances of a wave and orders the upkeep of the drained
// ones.
func (p *Planner) planWave(now time.Time, w *waveState) {
	if w.reportedState == waveCompleted {
		return
	}
	pending := p.pendingInstances(now, w)
	if len(pending) == 0 {
		if p.countInProgress(w, func(*pendingOrder) bool { return true }) == 0 {
			w.reportedState = waveCompleted
			p.saveWave(w)
			p.emit(&ReportWave{Wave: w.Number, State: waveCompleted})
			p.emit(&LogDecision{Decision: "waveCompleted", Reason: "the upkeep of all instances is done"})
		}
		return
	}
	if w.reportedState == "" {
		w.reportedState = waveRunning
		p.emit(&ReportWave{Wave: w.Number, State: waveRunning})
	}
	limit := w.unavailableLimit(now, len(pending))
	room := limit - p.countInProgress(w, func(*pendingOrder) bool { return true })
	cordonBudget := room + limit
	for _, instance := range pending {
		if p.orders[instance.ID] != nil {
			continue
		}
		if cordonBudget <= 0 {
			break
		}
		if !p.cordonForWave(now, instance) {
			continue
		}
		cordonBudget--
		if room > 0 && p.drained(now, instance) && p.safeToOrder(now, instance) {
			room--
			p.orderUpkeep(now, w, instance)
		}
	}
}

// unavailableLimit returns how many instances may be in upkeep at once: as few as
// finish the wave within waveTimeFraction of its duration, and at most MaxUnavailable.
func (w *waveState) unavailableLimit(now time.Time, pending int) int {
	remaining := time.Duration(waveTimeFraction*float64(w.Duration)) - now.Sub(w.receivedAt)
	if remaining <= 0 {
		return w.MaxUnavailable
	}
	needed := (time.Duration(pending)*upkeepDuration + remaining - 1) / remaining
	return min(w.MaxUnavailable, max(1, int(needed)))
}

// pendingInstances returns the listed instances of a wave for which the platform has not
// accepted an order for upkeep, in ascending order of drainCost.
func (p *Planner) pendingInstances(now time.Time, w *waveState) []Instance {
	var out []Instance
	for _, id := range w.Instances {
		if w.begun[id] {
			continue
		}
		if instance, ok := p.instances[id]; ok {
			out = append(out, instance)
		}
	}
	slices.SortStableFunc(out, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(p.drainCost(now, a), p.drainCost(now, b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// drainCost ranks instances by the work that draining them interrupts. Instances that are
// already cordoned come first, those that could not be drained just before last.
func (p *Planner) drainCost(now time.Time, i Instance) int {
	runner := p.runner(i)
	switch {
	case p.cordons[i.ID].cordonedAt != (time.Time{}):
		return 0
	case p.pausesCordon(now, i.ID):
		return 1 << 21
	case p.pools[i.Pool].Spare:
		return 1
	case runner == nil:
		return 1 << 20
	}
	return 2 + runner.Passing + 100*runner.Persistent
}

// runner returns the report on an instance's runner by the owner of its pool, or nil.
func (p *Planner) runner(i Instance) *pool.RunnerReport {
	return p.reports[i.Pool].byRunner[i.Runner]
}

// safeToOrder reports whether no previous owner can have given the instance an order
// within the handover delay. An order ends the instance's runner, so a runner that
// started more than the delay before the change of owner rules one out.
func (p *Planner) safeToOrder(now time.Time, i Instance) bool {
	if !now.Before(p.options.OrdersNotBefore) {
		return true
	}
	acquiredAt := p.options.OrdersNotBefore.Add(-p.options.HandoverDelay)
	return i.State == Up && !i.Born.IsZero() && acquiredAt.Sub(i.Born) > p.options.HandoverDelay
}

// drained reports whether, by a recent report, an instance runs no task that still has
// to be waited for.
func (p *Planner) drained(now time.Time, i Instance) bool {
	if p.pools[i.Pool].Spare {
		return true
	}
	report := p.reports[i.Pool]
	if report.at.IsZero() || now.Sub(report.at) > maxDrainReportAge || !report.Recovered {
		return false
	}
	runner := p.runner(i)
	if runner == nil {
		return true
	}
	return runner.Known && runner.Cordoned && runner.Persistent == 0 && runner.Passing == 0
}

// countInProgress counts the upkeeps of a wave that may not have finished: orders
// that match, and instances in upkeep without a pending order.
func (p *Planner) countInProgress(w *waveState, match func(*pendingOrder) bool) int {
	n := 0
	for _, o := range p.orders {
		if o.destination == "" && o.wave == w.Number && match(o) {
			n++
		}
	}
	for _, instance := range p.instances {
		if instance.State == Upkeep && p.orders[instance.ID] == nil && slices.Contains(w.Instances, instance.ID) {
			n++
		}
	}
	return n
}

// orderUpkeep records and emits the order for an instance's upkeep.
func (p *Planner) orderUpkeep(now time.Time, w *waveState, i Instance) {
	p.orders[i.ID] = &pendingOrder{instance: i.ID, wave: w.Number, from: i.Pool, runner: i.Runner, sentAt: now, inFlight: true}
	p.emit(&LogDecision{Instance: i.ID, Runner: i.Runner, Decision: "upkeepOrdered", Reason: "drained and due", DataAge: now.Sub(p.listRequestedAt)})
	p.emit(&OrderUpkeep{Instance: i.ID, Wave: w.Number})
}

// retryOrders sends unanswered orders again after orderRetryDelay.
func (p *Planner) retryOrders(now time.Time) {
	for _, o := range p.orders {
		if o.inFlight || !o.acceptedAt.IsZero() || now.Sub(o.sentAt) < orderRetryDelay {
			continue
		}
		o.inFlight, o.sentAt = true, now
		if o.destination != "" {
			p.emit(&OrderMove{Instance: o.instance, Destination: o.destination})
		} else {
			p.emit(&OrderUpkeep{Instance: o.instance, Wave: o.wave})
		}
	}
}

// apply implements Event.
func (e *OrderAnswered) apply(p *Planner, now time.Time) {
	o := p.orders[e.Instance]
	if o == nil {
		return
	}
	o.inFlight = false
	switch e.Result {
	case Accepted:
		o.acceptedAt = now
		delete(p.cordons, e.Instance)
		p.nextList = now
		if w := p.waves[o.wave]; w != nil && o.destination == "" {
			w.begun[e.Instance] = true
			p.saveWave(w)
		}
	case Busy, Refused:
		p.emit(&LogDecision{Instance: e.Instance, Decision: "orderRefused", Reason: "instance is busy or the platform refused the order"})
		delete(p.orders, e.Instance)
		if e.Result == Refused {
			delete(p.cordons, e.Instance)
		}
	case RefusedFence:
		p.emit(&StepDown{})
	case Unknown, RetryLater:
	}
}

func (p *Planner) saveWave(w *waveState) {
	p.emit(&SaveWave{Wave: w.Number, Begun: slices.Sorted(maps.Keys(w.begun)), Completed: w.reportedState == waveCompleted})
}
