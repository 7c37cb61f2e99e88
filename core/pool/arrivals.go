package pool

import (
	"math"
	"slices"
	"time"

	"bronzestair/core/job"
)

// Forecast of the arriving work.
const (
	// arrivalWindow is the period over which the rate of arriving jobs is measured.
	// It is long enough to hold a few jobs of a load peak and short against the
	// seconds that a peak lasts.
	arrivalWindow = 2 * time.Second
	// forecastHorizon is how far ahead the rate is forecast. An instance that is
	// requested now accepts tasks after about this time.
	forecastHorizon = 1800 * time.Millisecond
	// meanWorkJobs is the number of jobs over which their mean work is computed.
	meanWorkJobs = 30
)

// arrivals measures the arriving work as the number of jobs times the mean work
// of their queue, because the work of single jobs varies too much. The zero value
// has no arrivals.
type arrivals struct {
	queues map[job.QueueName]*queueArrivals
	// observedSince is when the owner took over or the store last returned after an outage.
	// Before, not all arrivals were seen, and the callers that return then look like a load peak.
	observedSince time.Time
	// wholeWindow is true if rates are extrapolated only once a whole window has been observed. It
	// is set while the pool looks ahead.
	wholeWindow bool
}

// queueArrivals tracks the jobs that arrive through one queue.
type queueArrivals struct {
	// arrivedAt holds the arrival times of the jobs in the window, oldest first.
	arrivedAt []time.Time
	// meanWork is the mean work of a job in millicore-seconds.
	meanWork float64
	jobs     int
}

// add counts a job. Persistent jobs are left out.
func (a *arrivals) add(now time.Time, j *jobState) {
	spec := &j.record.Spec
	if spec.Persistent() {
		return
	}
	if a.queues == nil {
		a.queues = map[job.QueueName]*queueArrivals{}
	}
	q := a.queues[j.record.Queue]
	if q == nil {
		q = &queueArrivals{}
		a.queues[j.record.Queue] = q
	}
	work := 0.0
	for i := range spec.Steps {
		work += float64(spec.Steps[i].Count) * j.expectedWork(&spec.Steps[i])
	}
	q.jobs++
	q.meanWork += (work - q.meanWork) / float64(min(q.jobs, meanWorkJobs))
	at := arrivalTime(now, j.record.Accepted)
	index, _ := slices.BinarySearchFunc(q.arrivedAt, at, time.Time.Compare)
	q.arrivedAt = slices.Insert(q.arrivedAt, index, at)
}

// arrivalTime returns when a job that is known to be stored now arrived. While the store
// is slow, the jobs of seconds are stored at once, which must not look like a load peak.
// The entry that received the job may have another time of day.
func arrivalTime(now, received time.Time) time.Time {
	if received.IsZero() || received.After(now) {
		return now
	}
	if earliest := now.Add(-arrivalWindow); received.Before(earliest) {
		return earliest
	}
	return received
}

// rate returns the arrival rate of work, in millicores, that is forecast for the
// time at which instances requested now accept tasks.
func (a *arrivals) rate(now time.Time) job.MilliCPU {
	var sum job.MilliCPU // an integer, so that the order of the queues does not affect the sum
	extrapolated := !a.wholeWindow || now.Sub(a.observedSince) >= arrivalWindow
	for _, q := range a.queues {
		sum += job.MilliCPU(q.meanWork * q.rate(now, extrapolated))
	}
	return sum
}

// rate returns the forecast number of jobs per second. Load peaks grow for
// seconds: by the time the capacity for the current rate is available, more is
// needed. If extrapolated is false, the rate is that of the window. Only the part of the growth that exceeds random variation is extrapolated.
func (q *queueArrivals) rate(now time.Time, extrapolated bool) float64 {
	const half = arrivalWindow / 2
	expired, older, newer := 0, 0.0, 0.0
	for _, at := range q.arrivedAt {
		switch age := now.Sub(at); {
		case age > arrivalWindow:
			expired++
		case age > half:
			older++
		default:
			newer++
		}
	}
	q.arrivedAt = q.arrivedAt[expired:]
	mean := (older + newer) / arrivalWindow.Seconds()
	if !extrapolated {
		return mean
	}
	growth := max(0, newer-older-math.Sqrt(newer+older)) / half.Seconds() / half.Seconds()
	return mean + growth*(half+forecastHorizon).Seconds()
}

// apply implements Event.
func (StoreReturned) apply(p *Pool, now time.Time) { p.arrivals.observedSince = now }
