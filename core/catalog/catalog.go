// Package catalog holds the operator's configuration of queues, pools and limits that
// is in force.
//
// # Usage
//
//	var current catalog.Holder
//	current.Replace(newer)              // an older version changes nothing
//	queue, rest, ok := current.Get().Lookup(host, path)
package catalog

import (
	"strings"
	"sync/atomic"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
	"bronzestair/core/pool"
)

// Version is the version of a configuration. Newer configurations have higher versions.
type Version int64

// Queue is the configuration of a queue of jobs. Requests select it by Host and by
// Prefix of the path.
type Queue struct {
	Name   job.QueueName
	Host   string
	Prefix string
	Pool   job.PoolName
	// Public is true if callers need no key.
	Public bool
	pool.QueueSettings
}

// Pool is the configuration of a pool of instances.
type Pool struct {
	Name job.PoolName
	// Spare marks a pool of running standby instances that serve no queue.
	Spare bool
	// CapacityEnforced is true if the pool's runners refuse tasks that exceed their free
	// capacity.
	CapacityEnforced bool
}

// Limits are limits on the requests of callers. Zero values select the defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version Version
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// Organisations are the organisations of callers. It is nil if the configuration does
	// not name any, in which case all queues are public.
	Organisations *organisation.Directory
}

// Lookup returns the queue with the given host and the longest prefix of path, and the
// path after that prefix. The host may include a port, which is ignored.
func (c *Catalog) Lookup(host, path string) (*Queue, string, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) &&
			(best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}

// Authenticate returns the organisation of a caller of a queue by the caller's key, which may
// be empty. The organisation is nil for a public queue. It returns false if the queue
// requires a key and the key is not known.
func (c *Catalog) Authenticate(q *Queue, key string) (*organisation.Organisation, bool) {
	if q.Public || c.Organisations == nil {
		return nil, true
	}
	return c.Organisations.Authenticate(key)
}

// QueueSettings returns the settings of all queues by name.
func (c *Catalog) QueueSettings() map[job.QueueName]pool.QueueSettings {
	out := make(map[job.QueueName]pool.QueueSettings, len(c.Queues))
	for i := range c.Queues {
		out[c.Queues[i].Name] = c.Queues[i].QueueSettings
	}
	return out
}

// Holder holds the catalog in force. It is safe for concurrent use. The zero value holds
// none.
type Holder struct {
	current atomic.Pointer[Catalog]
}

// Get returns the catalog in force, or nil if there is none.
func (h *Holder) Get() *Catalog { return h.current.Load() }

// Replace puts a catalog in force unless the one in force has the same or a newer
// version, and reports whether it did.
func (h *Holder) Replace(c *Catalog) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
