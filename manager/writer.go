package manager

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
	"bronzestair/core/verdict"
)

const (
	// maxRefusedRetries bounds the retries of a write that the store refuses while a
	// caller waits.
	maxRefusedRetries = 3
	// outagePollInterval is the period at which waiting submissions check whether the
	// store has become unavailable.
	outagePollInterval = 100 * time.Millisecond
	// maxLostRetries bounds the retries of a write whose answer was lost.
	maxLostRetries = 20
)

// write is a pending write of a new job, a job's progress or a job's outcome.
type write struct {
	id              job.ID
	queue           job.QueueName
	version         table.Version
	progressVersion table.Version
	seq             uint64
	// value is the encoded job, progress or outcome.
	value    []byte
	finished bool
	// newJob is set for a new job, whose result is sent to reply.
	newJob *job.Record
	reply  chan submitReply
	// excess is true for a new job that is beyond the rate of its organisation.
	excess bool
	// guardVersion is the version of the guard that the outcome of a new job replaces, see
	// replaceGuard. It is 0 for all other writes. overridesGuard is true if the job itself
	// replaces the guard, which is one of another organisation.
	guardVersion   table.Version
	overridesGuard bool
	// stage arbitrates between the writer that sends the write and the caller that
	// withdraws it.
	stage atomic.Int32
	// maybeStored is true once the write may have taken effect.
	maybeStored bool
}

// The stages of a write.
const (
	stagePending int32 = iota
	stageSent
	stageWithdrawn
)

// submitReply is the result of storing a new job.
type submitReply struct {
	result SubmitResult
	err    error
}

func (w *write) key(name string) table.Key { return jobKey(name, w.queue, w.id) }

// progressOnly reports whether the write only saves progress, for which no caller waits.
func (w *write) progressOnly() bool { return w.newJob == nil && !w.finished }

// tooLarge reports whether the store is likely to refuse the write for its size.
func (w *write) tooLarge() bool { return len(w.value) > table.DefaultMaxValueBytes }

// hopeless reports whether the write is not worth a retry for which the other writes of its part would
// wait: no caller waits for it, and the owner sends it again.
func (w *write) hopeless() bool { return w.progressOnly() && w.tooLarge() }

// endsAtOnce reports whether the write stores the outcome of a new job instead of the job,
// because it was cancelled before.
func (w *write) endsAtOnce() bool { return w.guardVersion > 0 && !w.overridesGuard }

// addTo adds the write to a transaction. Its conditions on the job's row hold only while
// the job has not ended; those on the progress row detect writes of another owner.
func (w *write) addTo(tx *table.Tx) {
	if w.newJob != nil {
		tx.Expect(w.key(jobTable), 0)
		tx.Expect(w.key(outcomeTable), w.guardVersion)
		if w.endsAtOnce() {
			tx.Put(w.key(outcomeTable), w.value)
			return
		}
		if w.overridesGuard {
			tx.Remove(w.key(outcomeTable))
		}
		tx.Put(w.key(jobTable), w.value)
		return
	}
	tx.Expect(w.key(jobTable), w.version)
	tx.Expect(w.key(progressTable), w.progressVersion)
	if !w.finished {
		tx.Put(w.key(progressTable), w.value)
		return
	}
	tx.Put(w.key(outcomeTable), w.value)
	tx.Remove(w.key(jobTable))
	if w.progressVersion > 0 {
		tx.Remove(w.key(progressTable))
	}
}

// eventSink receives events for the reducer.
type eventSink interface {
	submit(pool.Event)
}

// jobStore is the store that a writer uses.
type jobStore interface {
	Store
	// Unavailable reports whether the store answers neither directly nor through peers.
	Unavailable() bool
}

// writer stores new jobs, progress and outcomes, many in one transaction.
type writer struct {
	store    jobStore
	sink     eventSink
	logger   *slog.Logger
	incoming chan *write
	// uncertainJobs holds new jobs that may be stored, uncertainProgress the progress
	// of failed saves that may be stored.
	uncertainJobs     uncertainJobs
	uncertainProgress uncertainProgress
	parts             partHealth
	// maxValueBytes is the size of the largest value that the store takes. mayCompact reports whether
	// all entries read the compact form of progress; if it is nil, they may not.
	maxValueBytes int
	mayCompact    func() bool
	// stopped is closed when run has returned.
	stopped chan struct{}
}

func newWriter(store jobStore, sink eventSink, logger *slog.Logger) *writer {
	return &writer{
		store: store, sink: sink, logger: logger, incoming: make(chan *write, inboxSize), stopped: make(chan struct{}),
		maxValueBytes: table.DefaultMaxValueBytes,
	}
}

// enqueue queues the write of a SaveProgress or FinishJob effect.
func (w *writer) enqueue(ctx context.Context, effect pool.Effect) {
	pending, err := newWrite(effect)
	if err == nil && len(pending.value) > w.maxValueBytes {
		err = w.compact(pending, effect)
	}
	if err != nil {
		w.logger.Error("cannot encode job", "job", pending.id, "error", err)
		// The sink may be waiting for the caller.
		go w.sink.submit(&pool.JobSaved{ID: pending.id, Seq: pending.seq, Failed: true})
		return
	}
	select {
	case w.incoming <- pending:
	case <-ctx.Done():
	}
}

// storeNewJob stores a new job and returns the result. It does not return NotStored for
// a job that an earlier request may have stored.
func (w *writer) storeNewJob(ctx context.Context, record *job.Record, value []byte) (SubmitResult, error) {
	return w.storeJob(ctx, record, value, false)
}

// storeJob is like storeNewJob. excess tells whether the job is beyond the rate of its
// organisation.
func (w *writer) storeJob(ctx context.Context, record *job.Record, value []byte, excess bool) (SubmitResult, error) {
	defer w.uncertainJobs.begin(record.ID)()
	result, err := w.tryStoreNewJob(ctx, record, value, excess)
	return w.uncertainJobs.reconcile(time.Now(), record.ID, result), err
}

// tryStoreNewJob stores a new job. During an outage of the store, or of the part that holds
// the job, it returns at once if the write was not sent: waiting would only use up the caller's
// time.
func (w *writer) tryStoreNewJob(ctx context.Context, record *job.Record, value []byte, excess bool) (SubmitResult, error) {
	if w.store.Unavailable() {
		return NotStored, errStoreUnavailable
	}
	if w.parts.unavailable(time.Now(), jobPart(record.Queue, record.ID)) {
		return NotStored, errPartUnavailable
	}
	pending := &write{
		id: record.ID, queue: record.Queue, value: value,
		newJob: record, reply: make(chan submitReply, 1), excess: excess,
	}
	select {
	case w.incoming <- pending:
	case <-w.stopped:
		return NotStored, errNotSent
	case <-ctx.Done():
		return NotStored, errNotSent
	}
	if reply, ok := w.awaitReply(ctx, pending); ok {
		return reply.result, reply.err
	}
	if pending.stage.CompareAndSwap(stagePending, stageWithdrawn) {
		return NotStored, errNotSent
	}
	return MayBeStored, errNoAnswer
}

// awaitReply returns the result of a write, or false if the writer or the caller's
// context ends first. If the store becomes unavailable it withdraws the write, if that
// was not sent yet, and returns at once.
func (w *writer) awaitReply(ctx context.Context, pending *write) (submitReply, bool) {
	outageTicker := time.NewTicker(outagePollInterval)
	defer outageTicker.Stop()
	for {
		select {
		case reply := <-pending.reply:
			return reply, true
		case <-w.stopped:
			return submitReply{}, false
		case <-ctx.Done():
			return submitReply{}, false
		case <-outageTicker.C:
			if !w.store.Unavailable() {
				if w.parts.unavailable(time.Now(), jobPart(pending.queue, pending.id)) && pending.stage.CompareAndSwap(stagePending, stageWithdrawn) {
					return submitReply{NotStored, errPartUnavailable}, true
				}
				continue
			}
			if pending.stage.CompareAndSwap(stagePending, stageWithdrawn) {
				return submitReply{NotStored, errStoreUnavailable}, true
			}
			return submitReply{MayBeStored, errStoreUnavailable}, true
		}
	}
}

// run commits queued writes, with one transaction per part at a time. Writes that
// arrive meanwhile are collected for the part's next transaction.
func (w *writer) run(ctx context.Context) {
	defer close(w.stopped)
	queued := map[string][]*write{}
	busy := map[string]bool{}
	finished := make(chan string)
	for {
		select {
		case <-ctx.Done():
			return
		case pending := <-w.incoming:
			part := jobPart(pending.queue, pending.id)
			queued[part] = append(queued[part], pending)
		case part := <-finished:
			busy[part] = false
		}
		for part, writes := range queued {
			if busy[part] || len(writes) == 0 {
				continue
			}
			batch, rest := splitBatch(writes)
			queued[part] = rest
			busy[part] = true
			go func() {
				w.commit(ctx, batch)
				select {
				case finished <- part:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// splitBatch returns the first writes that fit into one transaction, and the others. It
// puts new jobs and outcomes before progress, because a slow store commits fewer writes
// than a burst brings and nobody waits for progress. A write that the store is likely to refuse
// gets a transaction of its own.
func splitBatch(writes []*write) (batch, rest []*write) {
	slices.SortStableFunc(writes, func(a, b *write) int {
		switch {
		case a.progressOnly() == b.progressOnly():
			return 0
		case b.progressOnly():
			return -1
		default:
			return 1
		}
	})
	var tx table.Tx
	for i, pending := range writes {
		pending.addTo(&tx)
		tooLarge := pending.tooLarge()
		switch {
		case i == 0 && tooLarge:
			return writes[:1], writes[1:]
		case i > 0 && (tooLarge || tx.Entries() > table.MaxTxEntries || tx.Size() > table.MaxTxBytes):
			return writes[:i], writes[i:]
		}
	}
	return writes, nil
}

// commit stores a batch, with retries, and reports the result of each of its writes.
func (w *writer) commit(ctx context.Context, batch []*write) {
	batch = slices.DeleteFunc(slices.Clone(batch), func(pending *write) bool {
		return !pending.stage.CompareAndSwap(stagePending, stageSent)
	})
	retryBackoff := newBackoff()
	refused, lost := 0, 0
	for len(batch) > 0 && ctx.Err() == nil {
		tx := table.Tx{Part: jobPart(batch[0].queue, batch[0].id)}
		for _, pending := range batch {
			pending.addTo(&tx)
		}
		sent := time.Now()
		version, err := w.store.Commit(ctx, &tx)
		var conflict *table.Conflict
		var failed *table.Failure
		// That a write is too large for the store says nothing about the part.
		if failing := errors.As(err, &failed); !failing || !batch[0].tooLarge() {
			w.parts.record(time.Now(), tx.Part, failing && time.Since(sent) < maxPartFailureTime)
		}
		switch {
		case err == nil:
			for _, pending := range batch {
				w.reportSaved(pending, version)
			}
			return
		case errors.As(err, &conflict):
			remaining, progressed := w.resolveConflict(ctx, batch, conflict)
			if !progressed {
				w.reportFailed(batch, err)
				return
			}
			batch = remaining
		case errors.As(err, &failed) && failed.Verdict == verdict.NotRun && refused < maxRefusedRetries && !batch[0].hopeless():
			refused++
			sleep(ctx, retryBackoff.NextBackOff())
		case errors.As(err, &failed) && failed.Verdict == verdict.NotRun || lost >= maxLostRetries:
			largest := slices.MaxFunc(batch, func(a, b *write) int { return cmp.Compare(len(a.value), len(b.value)) })
			w.logger.Warn("jobs are not saved", "queue", batch[0].queue, "count", len(batch), "largest", largest.id, "bytes", len(largest.value), "error", err)
			w.reportFailed(batch, err)
			return
		default:
			lost++
			for _, pending := range batch {
				pending.maybeStored = true
				if pending.newJob != nil {
					// Another submission of the job may arrive before this one has its result.
					w.uncertainJobs.reconcile(time.Now(), pending.id, MayBeStored)
				}
			}
			w.logger.Warn("store did not answer a write of jobs", "queue", batch[0].queue, "count", len(batch), "error", err)
			sleep(ctx, retryBackoff.NextBackOff())
		}
	}
}

func (w *writer) reportSaved(pending *write, version table.Version) {
	if pending.newJob != nil {
		if !pending.endsAtOnce() {
			w.sink.submit(&pool.JobStored{Record: pending.newJob, Version: pool.RowVersion(version), Excess: pending.excess})
		}
		pending.reply <- submitReply{result: Stored}
		return
	}
	w.uncertainProgress.forget(pending.id)
	w.sink.submit(&pool.JobSaved{
		ID: pending.id, Seq: pending.seq, Version: pool.RowVersion(version), Finished: pending.finished,
	})
}

// reportFailed reports writes that are not known to have taken effect. It keeps the progress
// values among them that may have.
func (w *writer) reportFailed(batch []*write, err error) {
	for _, pending := range batch {
		if pending.newJob != nil {
			result := NotStored
			if pending.maybeStored {
				result = MayBeStored
			}
			pending.reply <- submitReply{result: result, err: err}
			continue
		}
		if pending.maybeStored && !pending.finished {
			w.uncertainProgress.add(pending.id, pending.value)
		}
		w.sink.submit(&pool.JobSaved{ID: pending.id, Seq: pending.seq, Failed: true})
	}
}
