package pool

import (
	"cmp"
	"slices"
	"time"

	"bronzestair/core/job"
)

// rank orders jobs for placement; the lowest rank comes first.
type rank struct {
	tier     int
	priority int
	// started jobs precede others of their tier and priority, because their completed
	// work would be wasted if they were late.
	started bool
	// share is the virtual time of the job's organisation, see share.go. It is 0 unless the
	// pool is divided.
	share float64
	due   time.Time
}

// Tiers of rank. Persistent tasks come first, because they are of use during the whole
// time that they run. Among the others, those that can still meet their objective
// precede those that cannot.
const (
	tierPersistent = iota
	tierOnTime
	// tierDeferred jobs would meet their objective on an empty pool, but not behind the
	// jobs ranked before them.
	tierDeferred
	// tierLate jobs can no longer meet their objective.
	tierLate
	// tierExcess jobs are beyond the rate of their organisation.
	tierExcess
	// tierExpired jobs have exceeded expiredFactor times their objective.
	tierExpired
)

const (
	// expiredFactor is the multiple of its objective after which a job is of no more
	// use to its caller.
	expiredFactor = 3
	// estimateMargin is a safety factor on the remaining work of jobs that have not
	// started, because estimates are rough.
	estimateMargin = 1.15
	// maxRankAge is how long a ranking of the jobs is used.
	maxRankAge = 30 * time.Millisecond
)

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.tier, o.tier),
		cmp.Compare(r.priority, o.priority),
		-compareBool(r.started, o.started),
		cmp.Compare(r.share, o.share),
		r.due.Compare(o.due),
	)
}

// candidates returns the jobs with ready tasks that may be placed now, by rank.
func (p *Pool) candidates(now time.Time) []*jobState {
	if now.Sub(p.rankedAt) > maxRankAge {
		p.rankJobs(now)
	}
	recovered := p.Recovered(now) || p.leasesExpired(now)
	var out []*jobState
	for _, j := range p.ranked {
		if j.ready > 0 && j.outcome == "" && (recovered || !j.inherited) {
			out = append(out, j)
		}
	}
	return out
}

// insertRanked adds a new job to the current ranking.
func (p *Pool) insertRanked(now time.Time, j *jobState) {
	j.rank = p.rank(now, j)
	if p.shares.divided {
		j.rank.share = j.shareRank()
	}
	index, _ := slices.BinarySearchFunc(p.ranked, j, compareJobs)
	p.ranked = slices.Insert(p.ranked, index, j)
}

func compareJobs(a, b *jobState) int {
	return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.id(), b.id()))
}

// rankJobs ranks all jobs. When demand exceeds the capacity of the pool, ordering
// by deadline alone would start every job just before it is late, and most jobs
// would be late. Jobs that would start too late behind the admitted ones are
// therefore deferred.
func (p *Pool) rankJobs(now time.Time) {
	p.rankedAt = now
	clear(p.ranked)
	p.ranked = p.ranked[:0]
	for _, j := range p.jobOrder {
		if j.outcome == "" {
			j.rank = p.rank(now, j)
			p.ranked = append(p.ranked, j)
		}
	}
	p.findWantedRacks()
	slices.SortFunc(p.ranked, compareJobs)
	late := p.lateJobs()
	total := p.capacity(now)
	running := p.runningWork(now, total)
	deferred := p.deferUnmeetable(now, total.CPU, running)
	p.updateShares(now, total, running, deferred || late)
	if deferred || p.shares.divided {
		slices.SortFunc(p.ranked, compareJobs)
	}
}

// lateJobs reports whether there are jobs behind those that meet their objectives.
func (p *Pool) lateJobs() bool {
	return len(p.ranked) > 0 && p.ranked[len(p.ranked)-1].rank.tier > tierDeferred
}

// deferUnmeetable moves the jobs of tierOnTime that would start too late behind the
// others to tierDeferred. workAhead is the remaining work of running tasks. It reports whether
// there are any.
func (p *Pool) deferUnmeetable(now time.Time, capacity job.MilliCPU, workAhead float64) bool {
	if capacity == 0 {
		return false
	}
	deferred := false
	for _, j := range p.ranked {
		if j.rank.tier != tierOnTime {
			continue
		}
		wait := time.Duration(workAhead / float64(capacity) * float64(time.Second))
		if !j.rank.started && now.Add(wait).After(j.rank.due) {
			j.rank.tier = tierDeferred
			deferred = true
			continue
		}
		workAhead += j.unstartedWork()
	}
	return deferred
}

// runningWork estimates the remaining work of the tasks assigned to runners, in
// millicore-seconds, and charges their organisations for it.
func (p *Pool) runningWork(now time.Time, total job.Resources) float64 {
	work := 0.0
	charge := p.beginCharging(now, total)
	for _, r := range p.runnerOrder {
		for _, t := range r.tasksByID {
			spec := t.step.spec
			elapsed := now.Sub(t.orderedAt)
			remaining := t.job.expectedRuntime(spec) - elapsed
			if charge {
				t.charge(total, elapsed, remaining)
			}
			if remaining > 0 && !spec.Persistent && !spec.BestEffort {
				work += float64(spec.CPU) * remaining.Seconds()
			}
		}
	}
	return work
}

// capacity returns the capacity of the runners that accept tasks.
func (p *Pool) capacity(now time.Time) job.Resources {
	var sum job.Resources
	for _, r := range p.runnerOrder {
		if r.resolved && !r.Draining && !r.cordoned && r.missingSince.IsZero() && r.failedCalls == 0 && !r.health.ejected(now) {
			sum = sum.Add(r.Capacity)
		}
	}
	return sum
}

// unstartedWork estimates the work of the tasks that have not started.
func (j *jobState) unstartedWork() float64 {
	work := 0.0
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			work += float64(step.unstarted()) * j.expectedWork(step.spec)
		}
	}
	return work
}

// rank returns a job's rank by its objective and its remaining work. The due time
// is the latest time at which the remaining work must continue to meet the objective.
func (p *Pool) rank(now time.Time, j *jobState) rank {
	q := p.settings(j)
	if j.record.Spec.Persistent() {
		return rank{tier: tierPersistent, priority: q.Priority, due: j.record.Accepted}
	}
	begin := j.record.Accepted
	if len(j.occurrences) > 0 && j.occurrences[0].due.After(begin) {
		begin = j.occurrences[0].due
	}
	objective := time.Duration(q.Stretch*j.runtimes.factor()*float64(j.criticalPath)) + q.LatencyTarget
	remaining := j.remainingCriticalPath()
	if !j.started {
		remaining = time.Duration(estimateMargin * float64(remaining))
	}
	r := rank{tier: tierOnTime, priority: q.Priority, started: j.started, due: begin.Add(objective - remaining)}
	switch {
	case !now.After(r.due):
	case now.Before(begin.Add(expiredFactor * objective)):
		r.tier = tierLate
	default:
		r.tier = tierExpired
	}
	if j.excess && r.tier < tierExpired {
		r.tier = tierExcess
	}
	return r
}

// remainingCriticalPath estimates the duration of the longest chain of steps that are
// not done.
func (j *jobState) remainingCriticalPath() time.Duration {
	var longest time.Duration
	for _, o := range j.occurrences {
		var buffer [8]time.Duration // avoids an allocation for jobs with few steps
		ends := append(buffer[:0], make([]time.Duration, len(o.steps))...)
		for s, step := range o.steps {
			var begin time.Duration
			for _, before := range step.spec.After {
				begin = max(begin, ends[before])
			}
			ends[s] = begin
			if step.remaining > 0 {
				ends[s] += j.expectedRuntime(step.spec)
			}
			longest = max(longest, ends[s])
		}
	}
	return longest
}
