package manager

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzestair/core/intake"
	"bronzestair/core/job"
	"bronzestair/core/maintenance"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

const (
	// maxLoadSlots is how many parts an entry reads at most at a time while it loads jobs.
	maxLoadSlots = 8
	// loadSlotCost is what reading a part takes in memory: pages of the store, their encoding and what
	// is decoded from them, including garbage.
	loadSlotCost = 6 * intake.MiB
	// loadShare is the memory for reading parts, as the divisor of the memory for jobs.
	loadShare = 2
)

// loadSlots returns how many parts an entry reads at a time while it loads the jobs of its pools,
// given the memory for jobs.
func loadSlots(limit intake.Bytes) int {
	return int(min(maxLoadSlots, max(1, limit/loadShare/loadSlotCost)))
}

// listIncarnations lists the platform's instances periodically whenever the reducer needs
// the list to learn which incarnations of runners have ended.
func (o *poolOwner) listIncarnations(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, incarnationInterval) {
		needed := false
		if !o.runQuery(ctx, func(_ context.Context, p *pool.Pool) { needed = p.NeedsIncarnations(time.Now()) }) {
			return
		}
		if !needed {
			continue
		}
		requestedAt := time.Now()
		instances, err := o.m.instances.List(ctx)
		if err != nil {
			o.m.logger.Warn("cannot list instances", "pool", o.name, "error", err)
			continue
		}
		event := &pool.IncarnationsListed{RequestedAt: requestedAt, Alive: map[pool.RunnerID]bool{}}
		for _, i := range instances {
			if i.Pool == o.name && i.State == maintenance.Up {
				event.Alive[i.Runner] = true
			}
		}
		o.submit(event)
	}
}

// loadAndFollowJobs waits until all previous owners are fenced, submits all stored jobs
// and then their changes. Until the jobs are loaded it follows their removals only. It
// loads the jobs again when the store has dropped the history, or there is room for parked
// ones.
func (o *poolOwner) loadAndFollowJobs(ctx context.Context) {
	removalsCtx, stopRemovals := context.WithCancel(ctx)
	defer stopRemovals()
	go o.followRemovals(removalsCtx)
	o.awaitPreviousOwnersFenced(ctx)
	o.logFenced(ctx)
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		startedAt := time.Now()
		present, version, err := o.loadJobs(ctx)
		if err != nil {
			o.m.logger.Warn("cannot load jobs", "pool", o.name, "error", err)
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		o.submit(&pool.JobsLoaded{Present: present, Version: pool.RowVersion(version)})
		stopRemovals() // followChanges passes on the removals since version as well
		o.logJobsLoaded(len(present), startedAt)
		o.followUntilRoom(ctx, version)
		retryBackoff.Reset()
	}
}

// followUntilRoom submits changes of jobs until the history is lost, or until there is room for
// parked jobs.
func (o *poolOwner) followUntilRoom(ctx context.Context, version table.Version) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	o.jobs.Loaded()
	go o.guard(ctx, func() {
		o.awaitRoom(ctx)
		stop()
	})
	o.m.followChanges(ctx, jobTable, version, func() time.Duration { return jobFeedPause }, o.applyJobRows)
}

// followRemovals submits the removals of jobs until all jobs are loaded: peers may
// cancel jobs that this owner has stored and started in the meantime.
func (o *poolOwner) followRemovals(ctx context.Context) {
	after := table.Version(o.tenure.Fence) // all rows that this owner stores are newer
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		o.m.followChanges(ctx, jobTable, after, func() time.Duration { return jobFeedPause }, o.applyRemovals)
		// The history is lost. Loading will not find the jobs removed in between.
		_, version, err := o.m.readPart(ctx, jobTable, "")
		if err != nil {
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		after = version
	}
}

// applyRemovals submits removals and ignores all other changes: only loading shows
// whether a previous owner may have started a job, and how far the job has progressed.
func (o *poolOwner) applyRemovals(_ context.Context, c changes) {
	for _, row := range c.rows {
		if row.Removed {
			o.submit(&pool.JobRemoved{ID: job.ID(row.Name)})
		}
	}
}

// awaitPreviousOwnersFenced waits until all previous owners are fenced, so that none of
// them can acknowledge ended tasks any more.
func (o *poolOwner) awaitPreviousOwnersFenced(ctx context.Context) {
	for fenced := false; !fenced && ctx.Err() == nil; {
		if !o.runQuery(ctx, func(_ context.Context, p *pool.Pool) { fenced = p.PreviousOwnersFenced(time.Now()) }) {
			return
		}
		if !fenced {
			sleep(ctx, fencePollInterval)
		}
	}
}

// loadJobs submits the stored jobs of the pool. It returns the ids of all stored jobs
// and a version up to which no change was missed. Jobs for which there is no room are parked.
func (o *poolOwner) loadJobs(ctx context.Context) (map[job.ID]bool, table.Version, error) {
	present := map[job.ID]bool{}
	_, startVersion, err := o.m.readPart(ctx, jobTable, "") // only the version is used: jobs are in the parts of queues
	if err != nil {
		return nil, 0, err
	}
	parts, err := o.m.store.Parts(ctx, jobTable)
	if err != nil {
		return nil, 0, err
	}
	var mu sync.Mutex
	group, readCtx := errgroup.WithContext(ctx)
	group.SetLimit(cap(o.m.loadSlots))
	for _, part := range parts {
		group.Go(func() error {
			select {
			case o.m.loadSlots <- struct{}{}:
				defer func() { <-o.m.loadSlots }()
			case <-readCtx.Done():
				return readCtx.Err()
			}
			return o.loadPart(readCtx, part, func(rows []table.Row) {
				mu.Lock()
				defer mu.Unlock()
				for _, row := range rows {
					present[job.ID(row.Name)] = true
				}
			})
		})
	}
	return present, startVersion, group.Wait()
}

// loadPart submits the jobs of a part, and passes their rows to visit. It holds no more rows than
// two answers of the store at a time: a page of the progress, and the jobs in the same range of
// names page by page. The progress is read first, so that no job is taken to have none because it
// has ended meanwhile.
func (o *poolOwner) loadPart(ctx context.Context, part string, visit func([]table.Row)) error {
	for from, more := "", true; more; {
		progress, err := o.m.store.Rows(ctx, progressTable, part, from, "")
		if err != nil {
			return err
		}
		to := ""
		if more = progress.More && len(progress.Rows) > 0; more {
			to = afterName(progress.Rows)
		}
		progressRows := make(map[string]table.Row, len(progress.Rows))
		for _, row := range progress.Rows {
			progressRows[row.Name] = row
		}
		err = o.m.readRange(ctx, jobTable, part, from, to, func(page *table.Page) {
			visit(page.Rows)
			for _, row := range page.Rows {
				if o.jobs.Has(job.ID(row.Name)) {
					continue
				}
				if event := o.restoreJob(row, progressRows); event != nil {
					o.enqueue(o.keepOrPark(event, o.jobs.Load))
				}
			}
		})
		if err != nil {
			return err
		}
		from = to
	}
	return nil
}

// restoreJob returns the event for a job's row with its progress, or nil if one of them cannot be
// decoded or the job belongs to another pool.
func (o *poolOwner) restoreJob(row table.Row, progressRows map[string]table.Row) *pool.JobStored {
	event := o.decodeJob(row)
	if event == nil {
		return nil
	}
	event.Inherited = row.Version <= table.Version(o.tenure.Fence)
	if progressRow, ok := progressRows[row.Name]; ok {
		decoded, err := job.DecodeProgress(progressRow.Value)
		if err != nil {
			// Without its progress, the tasks that are done would run again.
			o.m.logger.Error("cannot decode job progress; job is left out", "job", progressRow.Name, "error", err)
			return nil
		}
		event.Progress = decoded
		event.ProgressVersion = pool.RowVersion(progressRow.Version)
	}
	return event
}

// decodeJob returns the event for a job's row, or nil if the row cannot be decoded or
// belongs to another pool.
func (o *poolOwner) decodeJob(row table.Row) *pool.JobStored {
	record, err := job.DecodeRecord(row.Value)
	if err != nil {
		o.m.logger.Error("job is broken", "job", row.Name, "error", err)
		return nil
	}
	if record.Pool != o.name {
		return nil
	}
	return &pool.JobStored{Record: record, Version: pool.RowVersion(row.Version)}
}

// applyJobRows submits changes of jobs from the feed to the reducer.
func (o *poolOwner) applyJobRows(_ context.Context, c changes) {
	for _, row := range c.rows {
		if row.Removed {
			o.submit(&pool.JobRemoved{ID: job.ID(row.Name)})
			continue
		}
		if event := o.decodeJob(row); event != nil {
			o.submit(event)
		}
	}
}
