package manager

import (
	"context"
	"errors"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/pool"
)

// explainTimeout limits the wait for a pool's owner that is busy.
const explainTimeout = 2 * time.Second

// errOwnerGone means that the owner ended, or was busy for explainTimeout.
var errOwnerGone = errors.New("the pool's owner has not answered")

// Explain returns where the tasks of a job would be placed if it were accepted into the queue
// now, for an organisation, which may be empty. Nothing is stored or sent to a runner. If
// another entry owns the pool, Explain returns that entry's address for peers instead.
func (m *Manager) Explain(ctx context.Context, q *catalog.Queue, caller job.Organisation, spec *job.Spec) (explanation *pool.Explanation, peer string, err error) {
	o := m.localOwner(q.Pool)
	if o == nil {
		if peer = m.ownerAddress(q.Pool); peer == "" {
			return nil, "", errNoOwner
		}
		return nil, peer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	answered := o.runQuery(ctx, func(_ context.Context, p *pool.Pool) {
		explanation = p.Explain(time.Now(), q.Name, caller, spec)
	})
	if !answered {
		return nil, "", errOwnerGone
	}
	return explanation, "", nil
}
