package quota

import (
	"maps"
	"time"

	"bronzestair/core/job"
)

const (
	modelTick = 50 * time.Millisecond
	modelPlan = 250 * time.Millisecond
	// formerAnswers is how long the former owner of a pool may get calls. Owners answer only
	// while their claim is valid, which ends before another one takes over.
	formerAnswers = 100 * time.Millisecond
)

// takeOver gives a pool a new owner. The former one acts for up to 3 s more.
func (m *model) takeOver(p *modelPool) {
	m.fence++
	o := &modelOwner{
		m: m, pool: p, since: m.now, entry: m.entries[m.random.IntN(len(m.entries))], fence: m.fence,
		assigned: map[int]modelAssignment{}, unresolved: map[*modelRunner]bool{},
	}
	if p.former != nil {
		p.former.ended = true
	}
	p.former, p.owner = p.owner, o
	if former := p.former; former != nil {
		m.after(m.between(0, 3*time.Second), func() { former.ended = true })
	}
	for _, r := range p.runners {
		o.unresolved[r] = true
		m.after(m.between(time.Millisecond, 50*time.Millisecond), func() { o.poll(r) })
	}
}

// poll asks a runner for what runs there, until it answers.
func (o *modelOwner) poll(r *modelRunner) {
	if o.ended {
		return
	}
	if !o.m.calm && o.m.chance(20) {
		o.m.after(o.m.between(100*time.Millisecond, 2*time.Second), func() { o.poll(r) })
		return
	}
	if r.fence > o.fence {
		o.ended = true
		return
	}
	r.fence = o.fence
	running := maps.Clone(r.running)
	o.m.after(o.m.between(time.Millisecond, 100*time.Millisecond), func() {
		delete(o.unresolved, r)
		for id, t := range running {
			if r.running[id].id != 0 {
				o.assigned[id] = modelAssignment{task: t, runner: r}
			}
		}
		o.dispatch()
	})
}

func (o *modelOwner) used() job.Resources {
	var used job.Resources
	for _, a := range o.assigned {
		used = used.Add(a.task.need)
	}
	if o.m.fault == faultIgnoreUnresolved {
		return used
	}
	for r := range o.unresolved {
		used = used.Add(r.capacity)
	}
	return used
}

// roomOn returns a runner with room for a task, or nil.
func (o *modelOwner) roomOn(need job.Resources) *modelRunner {
	for _, r := range o.pool.runners {
		free := r.capacity
		for _, a := range o.assigned {
			if a.runner == r {
				free = free.Sub(a.task.need)
			}
		}
		if !o.unresolved[r] && free.HasRoomFor(need) {
			return r
		}
	}
	return nil
}

func (o *modelOwner) budget() Budget {
	now := o.entry.clock(o.m.now)
	limit := o.m.configs[o.entry.config].limit
	share := o.entry.floors.Share(now, o.pool.name)
	if o.m.fault == faultFloorsAtOnce {
		share = FloorShare{Fraction: o.entry.floors.current[o.pool.name]}
	}
	b := Budget{Cap: limit, Floor: share.Floor(limit, now)}
	if lease := o.holder.Leases()[modelOrganisation]; now.Before(lease.Until) {
		b.Lent, b.WholeTask = lease.Lent, lease.WholeTask
	}
	return b
}

// dispatch starts the waiting tasks for which there is room on a runner and under the cap.
func (o *modelOwner) dispatch() {
	if o.ended {
		return
	}
	o.capWaiting = job.Resources{}
	var rest []modelTask
	budget, used := o.budget(), o.used()
	for i, t := range o.pool.waiting {
		if i > 0 && len(rest) > 0 && t.need == rest[len(rest)-1].need {
			if o.capWaiting != (job.Resources{}) {
				o.capWaiting = o.capWaiting.Add(t.need)
			}
			rest = append(rest, t)
			continue
		}
		r := o.roomOn(t.need)
		switch {
		case r == nil:
			rest = append(rest, t)
		case !budget.Admits(used, t.need):
			o.capWaiting = o.capWaiting.Add(t.need)
			rest = append(rest, t)
		default:
			o.start(t, r)
			used = used.Add(t.need)
		}
	}
	o.pool.waiting = rest
}

func (o *modelOwner) start(t modelTask, r *modelRunner) {
	o.assigned[t.id] = modelAssignment{task: t, runner: r}
	delay := o.m.between(time.Millisecond, 50*time.Millisecond)
	if !o.m.calm && o.m.chance(5) {
		delay = o.m.between(0, 2*time.Second)
	}
	o.m.after(delay, func() {
		free := r.capacity
		for _, running := range r.running {
			free = free.Sub(running.need)
		}
		if r.fence > o.fence || !free.HasRoomFor(t.need) {
			delete(o.assigned, t.id)
			o.pool.waiting = append(o.pool.waiting, t)
			return
		}
		r.fence = o.fence
		t.startedAt = o.m.now
		r.running[t.id] = t
		o.m.starts++
		o.m.lastStart = o.m.now
		o.m.checkStart()
		if o.m.chance(80) {
			o.m.after(o.m.between(200*time.Millisecond, o.m.longestRun), func() {
				if _, ok := r.running[t.id]; ok {
					o.m.endTask(o.pool, r, t.id)
				}
			})
		}
	})
}

func (m *model) tickPool(p *modelPool) {
	p.owner.dispatch()
	if p.former != nil {
		p.former.dispatch()
	}
	m.after(modelTick, func() { m.tickPool(p) })
}

// takeOverFleet makes a new lender. The former one acts for up to 3 s more.
func (m *model) takeOverFleet() {
	m.fence++
	e := m.entries[m.random.IntN(len(m.entries))]
	l := &modelLender{Lender: NewLender(m.fence, e.clock(m.now)), entry: e}
	if former := m.lender; former != nil {
		m.after(m.between(0, 3*time.Second), func() { former.ended = true })
	}
	m.lender = l
	m.tickLender(l)
}

func (m *model) tickLender(l *modelLender) {
	if l.ended {
		return
	}
	now := l.entry.clock(m.now)
	config := m.configs[l.entry.config]
	var pools []Pool
	for _, p := range m.pools { // pools that are not configured have an owner all the same
		share := l.entry.floors.Largest(now, p.name)
		pools = append(pools, Pool{Name: p.name, Floor: share, Spare: share == 0})
	}
	l.Configure(now, pools, []Organisation{{Name: modelOrganisation, Cap: config.limit}})
	m.breakLender(l, now)
	requests := l.Plan(now)
	for _, p := range m.pools {
		request := requests[p.name]
		if m.fault == faultWholeTaskForAll || m.fault == faultNoWholeTask {
			grant := request.Grants[modelOrganisation]
			grant.WholeTask = m.fault == faultWholeTaskForAll
			request.Grants[modelOrganisation] = grant
		}
		m.call(l, p, request)
	}
	m.after(modelPlan, func() { m.tickLender(l) })
}

// breakLender applies the faults of the lender.
func (m *model) breakLender(l *modelLender, now time.Time) {
	for _, p := range l.Lender.pools {
		switch {
		case m.fault == faultNoWaitForReports && p.reportedAt.IsZero():
			p.reportedAt, p.bounds = now, map[job.Organisation]job.Resources{}
		case m.fault == faultLowerAtOnce && len(p.sends) > 1:
			p.sends = p.sends[len(p.sends)-1:]
		}
	}
}

// call sends a request to the owner of a pool, or to the former one.
func (m *model) call(l *modelLender, p *modelPool, request Request) {
	o := p.owner
	if p.former != nil && !p.former.ended && m.now-o.since < formerAnswers && m.chance(50) {
		o = p.former
	}
	d, lost := m.latency()
	if m.now < p.cutUntil {
		lost = m.chance(70)
		d += p.cutUntil - m.now // the connection delivers it later
	}
	if lost {
		return
	}
	m.after(d, func() {
		if p.owner.entry == o.entry {
			o = p.owner // a late call reaches whichever owner the entry has by then
		}
		if o.ended {
			return
		}
		now := o.entry.clock(m.now)
		if m.fault == faultReordered {
			o.holder.last = Call{Fence: min(o.holder.last.Fence, request.Fence)}
		}
		if !o.holder.Apply(now, request) {
			return
		}
		if m.fault == faultValidFromReceipt {
			for name, grant := range request.Grants {
				o.holder.leases[name] = Lease{Grant: grant, Until: now.Add(LeaseTime)}
			}
		}
		o.dispatch()
		o.holder.Answered(now, request.Call)
		report := o.report()
		if d, lost := m.latency(); !lost && m.now >= p.cutUntil {
			m.after(d, func() { l.Reported(l.entry.clock(m.now), p.name, request.Number, report) })
		}
	})
}

func (o *modelOwner) report() Report {
	b := o.budget()
	r := Report{Fence: o.fence, Recovered: len(o.unresolved) == 0, Loads: map[job.Organisation]Load{
		modelOrganisation: {Used: o.used(), Waiting: o.capWaiting, Lent: b.Lent},
	}}
	for _, runner := range o.pool.runners {
		r.Capacity += runner.capacity.CPU
	}
	return r
}
