package quota

import (
	"fmt"
	"strings"
	"time"

	"bronzestair/core/job"
)

// changeInterval is the minimum time between two changes that Changes returns for an organisation.
const changeInterval = 1 * time.Second

// loggedLease is what was last returned by Changes.
type loggedLease struct {
	leases string
	at     time.Time
}

// Change is a change of an organisation's leases.
type Change struct {
	Organisation job.Organisation
	// Leases lists the pools and their leases, as pool=CPU/memory/GPU.
	Leases string
	// ReportAge is the age of the oldest report on which the leases are based.
	ReportAge time.Duration
}

// Status is the state of an organisation's cap over all pools.
type Status struct {
	Organisation    job.Organisation
	Cap, Lent, Used job.Resources
}

// Changes returns the organisations whose leases have changed since the last time that they
// were returned, each at most once in changeInterval.
func (l *Lender) Changes(now time.Time) []Change {
	var out []Change
	var age time.Duration
	for _, p := range l.pools {
		age = max(age, now.Sub(p.reportedAt))
	}
	for _, name := range l.names {
		o := l.capped[name]
		if !l.complete || now.Sub(o.logged.at) < changeInterval {
			continue
		}
		if text := l.describe(name); text != o.logged.leases {
			o.logged = loggedLease{leases: text, at: now}
			out = append(out, Change{Organisation: name, Leases: text, ReportAge: age})
		}
	}
	return out
}

func (l *Lender) describe(name job.Organisation) string {
	var b strings.Builder
	for _, poolName := range l.poolNames {
		lent := l.pools[poolName].lastLent(name)
		if lent == (job.Resources{}) {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d/%d/%d", poolName, lent.CPU, lent.Memory, lent.GPU)
	}
	return b.String()
}

// lastLent returns the lease that was last sent to the pool.
func (p *poolState) lastLent(name job.Organisation) job.Resources {
	if len(p.sends) == 0 {
		return job.Resources{}
	}
	return p.sends[len(p.sends)-1].grants[name].Lent
}

// Status returns the state of all organisations with a cap, by name.
func (l *Lender) Status() []Status {
	out := make([]Status, 0, len(l.names))
	for _, name := range l.names {
		status := Status{Organisation: name, Cap: l.capped[name].limit}
		for _, p := range l.pools {
			status.Lent = status.Lent.Add(p.lastLent(name))
			status.Used = status.Used.Add(p.bounds[name])
		}
		out = append(out, status)
	}
	return out
}
