package manager

import (
	"sync"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
	"bronzestair/core/pool"
)

const (
	// maxOrganisationLabels limits the organisations with metrics of their own. The others
	// share otherOrganisations.
	maxOrganisationLabels                  = 100
	otherOrganisations    job.Organisation = "other"
	// organisationMetricsInterval is the period at which the metrics of organisations are set.
	organisationMetricsInterval = time.Second
)

// organisationMetrics are the metrics of organisations that a pool's owner has set. The zero
// value has none.
type organisationMetrics struct {
	setAt time.Time
	// labels holds those with a value other than 0.
	labels map[job.Organisation]bool
}

// organisationLabels assigns the labels of organisations in metrics. It is safe for concurrent
// use. The zero value is ready for use.
type organisationLabels struct {
	mu sync.Mutex
	// names holds the organisations of directory with a label of their own.
	directory *organisation.Directory
	names     map[job.Organisation]bool
}

// label returns the label of an organisation: its name for the first maxOrganisationLabels in
// the order of their names.
func (l *organisationLabels) label(d *organisation.Directory, name job.Organisation) job.Organisation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.directory != d || l.names == nil {
		all := d.All()
		l.directory, l.names = d, map[job.Organisation]bool{}
		for _, o := range all[:min(len(all), maxOrganisationLabels)] {
			l.names[o.Name] = true
		}
	}
	if l.names[name] {
		return name
	}
	return otherOrganisations
}

// observeOrganisations sets the metrics of the organisations.
func (o *poolOwner) observeOrganisations(now time.Time, p *pool.Pool) {
	metrics := &o.organisationMetrics
	c := o.m.catalog.Get()
	if c == nil || c.Organisations == nil && len(metrics.labels) == 0 || now.Sub(metrics.setAt) < organisationMetricsInterval {
		return
	}
	metrics.setAt = now
	sums := map[job.Organisation]pool.JobCounts{}
	if c.Organisations != nil {
		for name, count := range p.CountJobs() {
			if name == "" {
				continue
			}
			label := o.labels.label(c.Organisations, name)
			sum := sums[label]
			sum.Running += count.Running
			sum.Waiting += count.Waiting
			sums[label] = sum
		}
	}
	previous := metrics.labels
	metrics.labels = map[job.Organisation]bool{}
	for name, sum := range sums {
		o.m.options.Meter.OrganisationJobs(o.name, name, sum.Running, sum.Waiting)
		metrics.labels[name] = true
	}
	for name := range previous {
		if !metrics.labels[name] {
			o.m.options.Meter.OrganisationJobs(o.name, name, 0, 0)
		}
	}
}

// clearOrganisationMetrics sets the metrics of all organisations to 0 when the ownership ends.
func (o *poolOwner) clearOrganisationMetrics() {
	for name := range o.organisationMetrics.labels {
		o.m.options.Meter.OrganisationJobs(o.name, name, 0, 0)
	}
}
