package manager

import (
	"context"
	"maps"
	"sync"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
)

// formerPoolTime is how long a pool is asked for the waiting jobs of a queue although it has
// none: other entries may store jobs there until the configuration is in force everywhere.
const formerPoolTime = 10 * time.Second

// queuePools tracks in which pools queues may have jobs besides their present ones: a job stays
// in the pool that its queue had when it was accepted. The zero value is ready for use.
type queuePools struct {
	current map[job.QueueName]job.PoolName
	former  map[job.QueueName]map[job.PoolName]formerPool
}

// formerPool is a pool that a queue has left.
type formerPool struct {
	since time.Time
	// seen is true if this entry has seen the queue leave the pool. It is false for pools that
	// the queue may have left before this entry started.
	seen bool
}

// update takes a new configuration. With the first one, a queue may have jobs in any pool.
func (p *queuePools) update(now time.Time, c *catalog.Catalog) {
	first := p.current == nil
	if first {
		p.current, p.former = map[job.QueueName]job.PoolName{}, map[job.QueueName]map[job.PoolName]formerPool{}
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		if previous, known := p.current[q.Name]; known && previous != q.Pool {
			p.add(q.Name, previous, formerPool{now, true})
		}
		if first {
			for _, other := range c.Pools {
				p.add(q.Name, other.Name, formerPool{now, false})
			}
		}
		p.current[q.Name] = q.Pool
	}
}

func (p *queuePools) add(queue job.QueueName, name job.PoolName, f formerPool) {
	if p.former[queue] == nil {
		p.former[queue] = map[job.PoolName]formerPool{}
	}
	p.former[queue][name] = f
}

// drop removes a pool that has no job of the queue any more.
func (p *queuePools) drop(now time.Time, queue job.QueueName, name job.PoolName) {
	if now.Sub(p.former[queue][name].since) > formerPoolTime {
		delete(p.former[queue], name)
	}
}

// Waiting returns the number of the queue's jobs of which no task has started, in all pools
// where it has some.
func (m *Manager) Waiting(ctx context.Context, q *catalog.Queue) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	m.mu.Lock()
	former := maps.Clone(m.queuePools.former[q.Name])
	m.mu.Unlock()
	delete(former, q.Pool)
	var mu sync.Mutex
	var calls sync.WaitGroup
	var failed error
	total := 0
	for name, f := range former {
		calls.Go(func() {
			n, err := m.waitingIn(ctx, name, q.Name)
			mu.Lock()
			defer mu.Unlock()
			total += n
			switch {
			case err != nil && f.seen:
				failed = err
			case err != nil:
				m.logger.Info("waiting jobs not counted in a pool that the queue may have left", "queue", q.Name, "pool", name, "error", err)
			case n == 0:
				m.mu.Lock()
				m.queuePools.drop(time.Now(), q.Name, name)
				m.mu.Unlock()
			}
		})
	}
	n, err := m.waitingIn(ctx, q.Pool, q.Name)
	calls.Wait()
	if err == nil {
		err = failed
	}
	return total + n, err
}

// waitingIn returns the number of a queue's waiting jobs in a pool.
func (m *Manager) waitingIn(ctx context.Context, name job.PoolName, queue job.QueueName) (int, error) {
	if o := m.localOwner(name); o != nil {
		return o.countWaiting(ctx, queue)
	}
	address := m.ownerAddress(name)
	if address == "" {
		return 0, errNoOwner
	}
	return m.peers.Waiting(ctx, address, name, queue)
}
