package pool

import (
	"slices"
	"time"
)

// Requests for the tickets that permit a step to run on a runner.
const (
	// maxTicketRunners limits the runners in one ticket request.
	maxTicketRunners = 30
	// ticketRetryDelay is the delay after a failed ticket request.
	ticketRetryDelay = 300 * time.Millisecond
	// ticketMargin is the least validity that a ticket must have left when used.
	ticketMargin = 200 * time.Millisecond
)

// stepTickets caches the tickets of one step by runner.
type stepTickets struct {
	tickets map[RunnerID]string
	expires time.Time
	pending bool
	retryAt time.Time
}

// ensureTickets reports whether the step has valid tickets or needs none. If they
// are missing, it requests them unless a request is pending.
func (p *Pool) ensureTickets(now time.Time, j *jobState, step *stepState) bool {
	if !p.settings(j).RequiresTickets {
		return true
	}
	key := step.key()
	cached := p.tickets[key]
	if cached == nil {
		cached = &stepTickets{}
		p.tickets[key] = cached
	}
	if now.Add(ticketMargin).Before(cached.expires) {
		return true
	}
	if cached.pending || now.Before(cached.retryAt) {
		return false
	}
	if candidates := p.ticketCandidates(now, step); len(candidates) > 0 {
		cached.pending = true
		p.emit(&RequestTickets{Step: key, Runners: candidates})
	}
	return false
}

func (p *Pool) ticketCandidates(now time.Time, step *stepState) []RunnerID {
	var ids []RunnerID
	var scratch task
	first := step.peek(0, &scratch)
	for _, r := range p.usableRunners(now) {
		if p.meetsConstraints(first, r) {
			ids = append(ids, r.ID)
		}
	}
	slices.SortStableFunc(ids, func(a, b RunnerID) int {
		return int(p.runners[b].free().CPU - p.runners[a].free().CPU)
	})
	return ids[:min(len(ids), maxTicketRunners)]
}

// apply implements Event.
func (e *TicketsReceived) apply(p *Pool, now time.Time) {
	cached := p.tickets[e.Step]
	if cached == nil {
		return
	}
	cached.pending = false
	if e.Failed || len(e.Tickets) == 0 {
		cached.retryAt = now.Add(ticketRetryDelay)
		return
	}
	cached.tickets = e.Tickets
	cached.expires = now.Add(e.ValidFor)
	p.dispatchNeeded = true
}

// hasTicket reports whether the task has a valid ticket for the runner or needs none.
func (p *Pool) hasTicket(t *task, r *runnerState, now time.Time) bool {
	if !p.settings(t.job).RequiresTickets {
		return true
	}
	return p.ticket(t.id.StepKey(), r.ID, now) != ""
}

func (p *Pool) ticket(step string, id RunnerID, now time.Time) string {
	cached := p.tickets[step]
	if cached == nil || !now.Add(ticketMargin).Before(cached.expires) {
		return ""
	}
	return cached.tickets[id]
}

// hasTickets reports whether the step has valid tickets, for whichever runners.
func (p *Pool) hasTickets(now time.Time, step *stepState) bool {
	cached := p.tickets[step.key()]
	return cached != nil && now.Add(ticketMargin).Before(cached.expires)
}

// expireTickets drops the tickets that are not valid any more. A step that still needs some
// requests them again.
func (p *Pool) expireTickets(now time.Time) {
	for step, cached := range p.tickets {
		if !cached.pending && now.After(cached.expires) && now.After(cached.retryAt) {
			delete(p.tickets, step)
		}
	}
}

func (p *Pool) dropTickets(step string) { delete(p.tickets, step) }
