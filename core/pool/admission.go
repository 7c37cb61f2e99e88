package pool

import (
	"sync"
	"time"

	"bronzestair/core/job"
)

const (
	// maxElsewhereAge is the age from which on the rates at other pools are ignored.
	maxElsewhereAge = time.Second
	// rateWindow is the period over which submissions are counted, in rateSlots parts.
	rateWindow = time.Second
	rateSlots  = 5
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told to wait,
	// before it is spread. No caller waits longer for a job.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// idleSubmissions is how long an organisation that submits nothing is remembered. By then
	// its tokens are full and its refused callers have returned.
	idleSubmissions = 2 * maxRetryAfter
)

// Admission decides, when a job is submitted, whether it is in excess of the rate of its
// organisation and whether to refuse it. It relies on the state that the reducer publishes, so
// that no submission waits for the reducer. It is safe for concurrent use. The zero value has no
// organisations and refuses nothing.
//
// Each organisation has a token bucket: its burst is one second's weight, and it is refilled at
// the weight less the rate at which the organisation submits jobs to other pools. If it submits
// more than its weight in all, the pools divide the weight in proportion to what each gets;
// otherwise an organisation that exceeds its weight in two pools would be left with nothing.
type Admission struct {
	mu            sync.Mutex
	state         AdmissionState
	organisations map[job.Organisation]*submissions
}

// submissions tracks the submissions of an organisation.
type submissions struct {
	tokens     float64
	refilledAt time.Time
	rate       rate
	// returnAt is when the last of the refused callers is to return.
	returnAt time.Time
}

// Refusal is the refusal of a job in excess, with the data that it is based on.
type Refusal struct {
	RetryAfter time.Duration
	// Weight and Rate are the permitted and the counted number of jobs per second, Elsewhere is
	// the rate at other pools and ElsewhereAge its age, 0 if it is not known.
	Weight, Rate, Elsewhere float64
	ElsewhereAge            time.Duration
}

// Update takes the state of the pool.
func (a *Admission) Update(state AdmissionState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = state
}

// Submit counts the submission of a job and reports whether it is in excess, and whether it is
// to be refused for that reason.
func (a *Admission) Submit(now time.Time, name job.Organisation) (excess, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, ok := a.state.Organisations.Get(name)
	if !ok {
		return false, false
	}
	s := a.submissions(now, name, o.Weight)
	s.rate.add(now)
	elsewhere, _ := a.elsewhere(now, name)
	burst := max(o.Weight, 1) // an organisation of a lower weight could never submit a job
	s.tokens = min(burst, s.tokens+refillRate(o.Weight, s.rate.perSecond(now), elsewhere)*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens >= 1 {
		s.tokens--
		return false, false
	}
	return true, a.state.Full
}

// Refuse returns the refusal of a job for which Submit has demanded it. Refused callers return
// in the order of their refusals at the rate of the organisation's weight, spread by random,
// which is between 0 and 1.
func (a *Admission) Refuse(now time.Time, name job.Organisation, random float64) Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Refusal{RetryAfter: minRetryAfter}
	o, ok := a.state.Organisations.Get(name)
	if !ok {
		return r
	}
	s := a.submissions(now, name, o.Weight)
	r.Weight, r.Rate = o.Weight, s.rate.perSecond(now)
	r.Elsewhere, r.ElsewhereAge = a.elsewhere(now, name)
	if s.returnAt.Before(now) {
		s.returnAt = now
	}
	s.returnAt = s.returnAt.Add(time.Duration(float64(time.Second) / o.Weight))
	if latest := now.Add(maxRetryAfter); s.returnAt.After(latest) {
		s.returnAt = latest
	}
	r.RetryAfter += time.Duration((0.5 + random) * float64(s.returnAt.Sub(now)))
	return r
}

// Rates returns the number of jobs per second that each organisation submits.
func (a *Admission) Rates(now time.Time) map[job.Organisation]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[job.Organisation]float64, len(a.organisations))
	for name, s := range a.organisations {
		if now.Sub(s.refilledAt) > idleSubmissions {
			delete(a.organisations, name)
			continue
		}
		if r := s.rate.perSecond(now); r > 0 {
			out[name] = r
		}
	}
	return out
}

// submissions returns those of an organisation, with all tokens if there are none yet.
func (a *Admission) submissions(now time.Time, name job.Organisation, weight float64) *submissions {
	s := a.organisations[name]
	if s == nil {
		s = &submissions{tokens: max(weight, 1), refilledAt: now}
		if a.organisations == nil {
			a.organisations = map[job.Organisation]*submissions{}
		}
		a.organisations[name] = s
	}
	return s
}

// elsewhere returns the rate at other pools and its age, or 0 if it is not known.
func (a *Admission) elsewhere(now time.Time, name job.Organisation) (float64, time.Duration) {
	age := now.Sub(a.state.ElsewhereAt)
	if age > maxElsewhereAge {
		return 0, 0
	}
	return a.state.Elsewhere[name].Elsewhere, age
}

// refillRate returns the part of an organisation's weight for a pool to which it submits own jobs
// per second, and elsewhere jobs per second to others.
func refillRate(weight, own, elsewhere float64) float64 {
	if elsewhere <= 0 {
		return weight
	}
	return max(weight-elsewhere, weight*own/(own+elsewhere))
}

// rate counts events over the last rateWindow. The zero value has none.
type rate struct {
	counts [rateSlots]int
	// slot is the number of the latest slot since the Unix epoch.
	slot int64
}

// advance moves the window to the slot of a time.
func (r *rate) advance(now time.Time) {
	slot := now.UnixNano() / int64(rateWindow/rateSlots)
	for n := min(slot-r.slot, rateSlots); n > 0; n-- {
		r.counts[(slot-n+1)%rateSlots] = 0
	}
	r.slot = max(r.slot, slot)
}

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.counts[r.slot%rateSlots]++
}

// perSecond returns the number of events per second.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	n := 0
	for _, c := range r.counts {
		n += c
	}
	return float64(n) / rateWindow.Seconds()
}
