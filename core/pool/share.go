package pool

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
)

// While demand exceeds the capacity of the pool, its organisations get the admitted work in
// proportion to their weights, by start-time fair queueing over dominant shares: an
// organisation's virtual time is the work that it has been given beyond an allowance, divided by
// its weight, and the next job is taken from the organisation with the lowest virtual time. What
// one organisation does not use goes to the others at once, and while there is room for all, none
// is charged for more than its share.
//
// Jobs of organisations within their allowance also start before the other admitted ones. If the
// order were by due time alone, an organisation that submits too much would fill all the time
// that the jobs of the others can wait, and the next burst would make them late.

const (
	// shareHorizon is how far ahead running tasks count as use of an organisation. It is about
	// the time for which the admitted jobs of a full pool occupy it, over which a persistent
	// task and the batch tasks that it displaces count alike.
	shareHorizon = 2 * time.Second
	// shareMemory is the time constant with which past use is forgotten. A job of a small
	// organisation is worth seconds of its share, so that over a shorter time its random
	// arrivals could not be told from those of an organisation that submits too much.
	shareMemory = 8 * time.Second
	// allowedUse is the part of an organisation's share over shareMemory that is its allowance,
	// in addition to allowedJobs jobs of the mean size, as long as these are not more than that
	// share. With the whole share as the allowance, an organisation that submits five times its
	// usual load stays within it for seconds.
	allowedUse  = 0.5
	allowedJobs = 3
	// startedAhead is the part of the work of started jobs that precedes the jobs of
	// organisations within their allowance. The rest waits for earlier steps.
	startedAhead = 0.75
	// maxChargedPause bounds the time between two rankings for which use is charged.
	maxChargedPause = 100 * time.Millisecond
	// shareLogInterval is the minimum time between two log lines on deferred jobs of one
	// organisation.
	shareLogInterval = time.Second
	// defaultWeight applies to jobs without an organisation if none is configured.
	defaultWeight = 1
)

// shareholder is an organisation that competes for a full pool. Work is in seconds of the whole
// pool.
type shareholder struct {
	name   job.Organisation
	weight float64
	// running is the part of the pool that the organisation's tasks occupied in the last
	// ranking, used is its recent use.
	running, used float64
	// work is the recent use with what runs and what is admitted in this ranking, and allowance
	// is the work that does not count.
	work, allowance float64
	// virtualTime is the work beyond the allowance, divided by the weight.
	virtualTime float64
	// queue holds the jobs of the group that is being interleaved, next is the index of the
	// first one that was not taken yet.
	queue []*jobState
	next  int
	// deferred counts the jobs deferred for other organisations' shares since loggedAt.
	deferred int
	loggedAt time.Time
}

// shares divides a full pool among organisations. The zero value has none.
type shares struct {
	holders map[job.Organisation]*shareholder
	// all holds the values of holders.
	all []*shareholder
	// totalWeight is the sum of all weights.
	totalWeight float64
	// divided is true if the last ranking has divided the pool, at chargedAt.
	divided   bool
	chargedAt time.Time
	// jobWork and jobs are the total work and the number of the jobs that the current ranking
	// has considered for admission, meanJob is the mean work of those of the previous one.
	jobWork, meanJob float64
	jobs             int
	heap             shareheap
	group            []*jobState
	// allowed and others decide on the jobs of organisations within and beyond their allowance.
	allowed, others meetable
}

// shareheap orders organisations by virtual time. It implements heap.Interface.
type shareheap []*shareholder

func (h shareheap) Len() int { return len(h) }
func (h shareheap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.work/a.weight, b.work/b.weight), cmp.Compare(a.name, b.name)) < 0
}
func (h shareheap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *shareheap) Push(x any)   { *h = append(*h, x.(*shareholder)) }
func (h *shareheap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// configure replaces the organisations. The empty name stands for jobs without an
// organisation and for those of organisations that are not configured; they have the mean weight.
// Organisations that stay keep what they have used.
func (s *shares) configure(d *organisation.Directory) {
	all := d.All()
	previous := s.holders
	s.holders, s.all, s.totalWeight = make(map[job.Organisation]*shareholder, len(all)+1), nil, 0
	add := func(name job.Organisation, weight float64) {
		h := &shareholder{name: name, weight: weight}
		if old := previous[name]; old != nil {
			h.used, h.running, h.loggedAt = old.used, old.running, old.loggedAt
		}
		s.holders[name] = h
		s.all = append(s.all, h)
	}
	for _, o := range all {
		add(o.Name, o.Weight)
		s.totalWeight += o.Weight
	}
	mean := float64(defaultWeight)
	if len(all) > 0 {
		mean = s.totalWeight / float64(len(all))
	}
	add("", mean)
	s.totalWeight += mean
}

// holder returns the organisation that a job counts for, or nil before configure.
func (s *shares) holder(name job.Organisation) *shareholder {
	if h := s.holders[name]; h != nil {
		return h
	}
	return s.holders[""]
}

// assignShares assigns the jobs to the organisations of a new configuration.
func (p *Pool) assignShares() {
	p.shares.configure(p.organisations)
	for _, j := range p.jobOrder {
		j.holder = p.shares.holder(j.record.Organisation)
	}
}

// updateShares decides anew which jobs are admitted if the pool is to be divided. running is the
// remaining work of running tasks. p.ranked is in the order before jobs were deferred.
func (p *Pool) updateShares(now time.Time, total job.Resources, running float64, divide bool) {
	p.shares.divided = divide && p.organisations != nil && total.CPU > 0
	if p.shares.divided {
		p.divideByShares(now, total, running)
	}
}

// divideByShares decides which jobs of tierOnTime and tierDeferred are admitted, and orders the
// jobs of each tier from tierOnTime to tierExcess, so that organisations get the pool in
// proportion to their weights.
func (p *Pool) divideByShares(now time.Time, total job.Resources, running float64) {
	for _, j := range p.ranked {
		j.meetable = j.rank.tier == tierOnTime
		if j.rank.tier == tierDeferred {
			j.rank.tier = tierOnTime
		}
	}
	ahead := workAhead{running: running}
	p.eachGroup(tierOnTime, func(group []*jobState) {
		if group[0].rank.started {
			for _, j := range group {
				ahead.started += j.updateUse(total)
				j.holder.charge(j.use)
			}
			return
		}
		p.admitGroup(now, group, total, &ahead)
	})
	for _, tier := range [...]int{tierDeferred, tierLate, tierExcess} {
		p.eachGroup(tier, func(group []*jobState) {
			p.shares.interleave(group, func(_ int, j *jobState) {
				if tier != tierDeferred {
					j.updateUse(total)
				}
				j.rank.share = j.shareRank()
				j.holder.charge(j.use)
			})
		})
	}
}

// workAhead is the work, in millicore-seconds, that precedes the jobs of a group: that of
// running tasks, of the other tasks of started jobs, and of admitted jobs of higher priority.
type workAhead struct{ running, started, admitted float64 }

// admitGroup admits jobs of one priority, in the order of the organisations' virtual times, as
// far as all admitted ones can meet their objectives, and defers the others.
func (p *Pool) admitGroup(now time.Time, group []*jobState, total job.Resources, ahead *workAhead) {
	s := &p.shares
	s.allowed.reset(len(group))
	s.others.reset(len(group))
	admitted, allowed := 0.0, 0.0
	s.interleave(group, func(index int, j *jobState) {
		work := j.updateUse(total)
		s.jobWork, s.jobs = s.jobWork+j.use, s.jobs+1
		slack := j.rank.due.Sub(now).Seconds()*float64(total.CPU) - ahead.running - ahead.admitted
		within := j.holder.virtualTime == 0
		if within && s.allowed.admit(index, slack-startedAhead*ahead.started, work) ||
			!within && s.others.admit(index, slack-ahead.started-allowed, work) {
			j.rank.share = j.shareRank()
			j.holder.charge(j.use)
			admitted += work
			if within {
				allowed += work
			}
			return
		}
		j.rank.tier = tierDeferred
		if j.meetable {
			p.countDeferred(now, j)
		}
	})
	ahead.admitted += admitted
}

// shareRank returns the rank.share of a job that is taken next of its organisation.
func (j *jobState) shareRank() float64 {
	if j.rank.tier == tierOnTime && j.holder.virtualTime > 0 {
		return 1 // in the order of the due times, after the organisations within their allowance
	}
	if j.rank.tier <= tierOnTime {
		return 0
	}
	return j.holder.virtualTime
}

// countDeferred logs that a job is deferred that would be admitted by its due time alone.
func (p *Pool) countDeferred(now time.Time, j *jobState) {
	h := j.holder
	h.deferred++
	if now.Sub(h.loggedAt) < shareLogInterval {
		return
	}
	p.emit(&LogDecision{
		Job: j.id(), Decision: "deferredForShare", DataAge: now.Sub(j.record.Accepted),
		Reason: fmt.Sprintf("organisation %q has used its share: weight %g, work beyond its allowance %.4f pool-seconds per weight, %d deferrals since the last line",
			h.name, h.weight, h.virtualTime, h.deferred),
	})
	h.deferred, h.loggedAt = 0, now
}

// eachGroup calls f with the jobs of each priority of a tier, started jobs apart, in the order
// of p.ranked. f may change the tiers of the jobs.
func (p *Pool) eachGroup(tier int, f func([]*jobState)) {
	s := &p.shares
	s.group = s.group[:0]
	for _, j := range p.ranked {
		// The order of late jobs matters only for those with tasks to place.
		if j.rank.tier == tier && (tier <= tierOnTime || j.ready > 0) {
			s.group = append(s.group, j)
		}
	}
	for rest := s.group; len(rest) > 0; {
		end := slices.IndexFunc(rest, func(j *jobState) bool {
			return j.rank.priority != rest[0].rank.priority || j.rank.started != rest[0].rank.started
		})
		if end < 0 {
			end = len(rest)
		}
		f(rest[:end])
		rest = rest[end:]
	}
	clear(s.group)
}

// interleave calls take with each job of a group and its index, always with the first job of
// the organisation with the lowest virtual time. take may increase that time.
func (s *shares) interleave(group []*jobState, take func(index int, j *jobState)) {
	s.heap = s.heap[:0]
	for i, j := range group {
		j.groupIndex = i
		if len(j.holder.queue) == 0 {
			s.heap = append(s.heap, j.holder)
		}
		j.holder.queue = append(j.holder.queue, j)
	}
	heap.Init(&s.heap)
	for len(s.heap) > 0 {
		h := s.heap[0]
		j := h.queue[h.next]
		h.next++
		before := h.work
		take(j.groupIndex, j)
		switch {
		case h.next == len(h.queue):
			clear(h.queue)
			h.queue, h.next = h.queue[:0], 0
			heap.Pop(&s.heap)
		case h.work != before:
			heap.Fix(&s.heap, 0)
		}
	}
}

// beginCharging sets the virtual times to the recent use. It reports whether there are
// organisations, which are then to be charged for each task on a runner.
func (p *Pool) beginCharging(now time.Time, total job.Resources) bool {
	if p.organisations == nil || total.CPU == 0 {
		return false
	}
	s := &p.shares
	elapsed := now.Sub(s.chargedAt)
	s.chargedAt = now
	kept := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	charged := min(elapsed, maxChargedPause).Seconds()
	if s.jobs > 0 {
		s.meanJob = s.jobWork / float64(s.jobs)
	}
	s.jobWork, s.jobs = 0, 0
	for _, h := range s.all {
		share := h.weight / s.totalWeight
		if !s.divided {
			h.running = min(h.running, share)
		}
		h.used = h.used*kept + h.running*charged
		h.running = 0
		whole := share * shareMemory.Seconds()
		h.work, h.allowance = h.used, allowedUse*whole+min(allowedJobs*s.meanJob, whole)
		h.charge(0)
	}
	return true
}

// charge charges the task's organisation for its use of a runner. elapsed is the time since the
// task was assigned, remaining the rest of its expected runtime.
func (t *task) charge(total job.Resources, elapsed, remaining time.Duration) {
	switch {
	case t.state == stopping || t.state == done:
		remaining = 0
	case t.step.spec.Persistent:
		remaining = shareHorizon
	case remaining <= 0:
		remaining = elapsed // it is expected to take as long again, as in expectedEnd
	}
	h, share := t.job.holder, t.step.dominantShare(total)
	h.running += share
	h.charge(share * min(remaining, shareHorizon).Seconds())
}

// charge adds work to the organisation's virtual time.
func (h *shareholder) charge(work float64) {
	h.work += work
	h.virtualTime = max(0, h.work-h.allowance) / h.weight
}

// updateUse sets the job's use, by the resource of which each step takes the largest share, and
// returns the work of the tasks that have not started, in millicore-seconds.
func (j *jobState) updateUse(total job.Resources) (work float64) {
	factor := j.runtimes.factor()
	j.use = 0
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			if n := float64(step.unstarted()); n > 0 {
				work += n * factor * step.spec.Work()
				j.use += n * factor * step.spec.EstimatedRuntime.Seconds() * step.dominantShare(total)
			}
		}
	}
	return work
}

// dominantShare returns the largest share of any resource of the pool that one task takes.
func (s *stepState) dominantShare(total job.Resources) float64 {
	if s.shareOf != total {
		demand := s.spec.Demand()
		s.shareOf = total
		s.share = float64(demand.CPU) / float64(max(1, total.CPU))
		s.share = max(s.share, float64(demand.Memory)/float64(max(1, total.Memory)))
		s.share = max(s.share, float64(demand.GPU)/float64(max(1, total.GPU)))
	}
	return s.share
}
