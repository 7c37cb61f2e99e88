package manager

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/organisation"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// refusalMeter counts refused jobs by label.
type refusalMeter struct {
	nopMeter
	refused map[job.Organisation]int
	jobs    map[job.Organisation][2]int
}

func (m *refusalMeter) JobRefused(_ job.PoolName, label job.Organisation) { m.refused[label]++ }

func (m *refusalMeter) OrganisationJobs(_ job.PoolName, label job.Organisation, running, waiting int) {
	m.jobs[label] = [2]int{running, waiting}
}

func testDirectory(t *testing.T, names ...job.Organisation) *organisation.Directory {
	t.Helper()
	var credentials []organisation.Credentials
	for _, name := range names {
		credentials = append(credentials, organisation.Credentials{Organisation: organisation.Organisation{Name: name, Weight: 1}})
	}
	d, err := organisation.NewDirectory(credentials)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// excessOwner returns the owner of a pool with an organisation "lodge" of weight 1, and the
// events for its reducer. Only its writer runs.
func excessOwner(t *testing.T, store *memoryStore, full bool) (*poolOwner, *eventRecorder, *refusalMeter) {
	t.Helper()
	meter := &refusalMeter{refused: map[job.Organisation]int{}, jobs: map[job.Organisation][2]int{}}
	m := New(Options{Name: "entry-1", Address: "a:1", Meter: meter}, store, nil, nil, nil)
	d := testDirectory(t, "lodge")
	m.catalog.Replace(&catalog.Catalog{Version: 1, Organisations: d})
	ctx, cancel := context.WithCancel(t.Context())
	o := newPoolOwner(m, "booking", ownership.Tenure{Shard: poolShard("booking")}, cancel)
	events := &eventRecorder{}
	o.writer = newWriter(store, events, slog.New(slog.DiscardHandler))
	go o.writer.run(ctx)
	o.admission.Update(pool.AdmissionState{Full: full, Organisations: d})
	return o, events, meter
}

func excessRecord(n int, name job.Organisation) *job.Record {
	record, _ := testRecord()
	record.ID, record.Organisation = job.ID(fmt.Sprintf("%016x", n)), name
	return record
}

func (o *poolOwner) submitRecord(t *testing.T, record *job.Record) (SubmitResult, error) {
	t.Helper()
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return o.storeNewJob(t.Context(), record, value)
}

// TestExcessJobIsNotStored guards against a refusal as excess that is not definite: the job is
// stored, or an earlier submission of the same id is or may be.
func TestExcessJobIsNotStored(t *testing.T) {
	store := newMemoryStore()
	o, _, meter := excessOwner(t, store, true)
	submit := func(what string, n int, name job.Organisation, expected SubmitResult) {
		t.Helper()
		result, err := o.submitRecord(t, excessRecord(n, name))
		want(t, what, result, expected)
		var excess *ExcessError
		want(t, what+": time to retry", errors.As(err, &excess) && excess.RetryAfter >= time.Second, expected == Excess)
	}
	submit("job within the rate", 1, "lodge", Stored)
	submit("job in excess", 2, "lodge", Excess)
	submit("job that is stored", 1, "lodge", Stored)
	submit("job of no organisation", 3, "", Stored)

	// Another entry has stored this job and answered, and this owner has not heard of it.
	elsewhere := excessRecord(4, "lodge")
	w := newWriter(store, &eventRecorder{}, slog.New(slog.DiscardHandler))
	go w.run(t.Context())
	value, err := elsewhere.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if result, err := w.storeNewJob(t.Context(), elsewhere, value); result != Stored {
		t.Fatal(err)
	}
	submit("job that another entry has stored", 4, "lodge", Stored)

	ended, err := (&job.Outcome{State: job.Completed, Organisation: "lodge"}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	key := jobKey(outcomeTable, elsewhere.Queue, excessRecord(5, "lodge").ID)
	store.mu.Lock()
	store.rows[key] = table.Row{Key: key, Value: ended, Version: 1}
	store.mu.Unlock()
	submit("job that has ended", 5, "lodge", Stored)

	o.writer.uncertainJobs.reconcile(time.Now(), excessRecord(6, "lodge").ID, MayBeStored)
	submit("job that may be stored", 6, "lodge", Stored)

	store.mu.Lock()
	defer store.mu.Unlock()
	if _, stored := store.rows[jobKey(jobTable, elsewhere.Queue, excessRecord(2, "lodge").ID)]; stored {
		t.Error("the refused job is stored")
	}
	want(t, "refusals counted", meter.refused, map[job.Organisation]int{"lodge": 1})
}

// TestConcurrentSubmissionIsNotRefused guards against a refusal while the write of an earlier
// submission of the same id is on its way.
func TestConcurrentSubmissionIsNotRefused(t *testing.T) {
	store := newMemoryStore()
	entered, release := make(chan struct{}), make(chan struct{})
	store.fault = func(n int) (error, bool) {
		if n == 1 {
			close(entered)
			<-release
		}
		return nil, false
	}
	o, _, _ := excessOwner(t, store, true)
	first := make(chan SubmitResult)
	go func() {
		result, _ := o.submitRecord(t, excessRecord(1, "lodge"))
		first <- result
	}()
	<-entered
	want(t, "an earlier submission is on its way", o.writer.uncertainJobs.has(time.Now(), excessRecord(1, "lodge").ID), true)
	second := make(chan SubmitResult)
	go func() {
		result, _ := o.submitRecord(t, excessRecord(1, "lodge"))
		second <- result
	}()
	close(release)
	want(t, "first result", <-first, Stored)
	want(t, "second result", <-second, Stored)
	want(t, "nothing on its way", o.writer.uncertainJobs.has(time.Now(), excessRecord(1, "lodge").ID), false)
}

// TestExcessJobRunsWhileThereIsRoom checks that a job in excess is stored by a pool with room
// and passed to the reducer as such.
func TestExcessJobRunsWhileThereIsRoom(t *testing.T) {
	o, events, _ := excessOwner(t, newMemoryStore(), false)
	for n := range 2 {
		result, err := o.submitRecord(t, excessRecord(n, "lodge"))
		want(t, "result", result, Stored)
		wantError(t, "error", err, nil)
	}
	events.mu.Lock()
	defer events.mu.Unlock()
	var excess []bool
	for _, e := range events.events {
		excess = append(excess, e.(*pool.JobStored).Excess)
	}
	want(t, "excess", excess, []bool{false, true})
}

// TestRefusalReachesTheEntry guards against a refusal as excess that loses its time to retry
// between the owner and another entry, or that this entry passes on although a write of its own
// may have stored the job.
func TestRefusalReachesTheEntry(t *testing.T) {
	o, _, _ := excessOwner(t, newMemoryStore(), true)
	o.m.pools[o.name] = o
	submit := func(n int) (SubmitResult, error) {
		record := excessRecord(n, "lodge")
		return o.m.Submit(t.Context(), &catalog.Queue{Name: record.Queue, Pool: o.name}, record.Organisation, record.ID, &record.Spec)
	}
	result, err := submit(1)
	wantError(t, "error of a job within the rate", err, nil)
	want(t, "result of a job within the rate", result, Stored)
	result, err = submit(2)
	var excess *ExcessError
	want(t, "result", result, Excess)
	want(t, "error is an ExcessError", errors.As(err, &excess), true)

	record := excessRecord(3, "lodge")
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	reply, err := o.m.StoreJob(t.Context(), o.name, value)
	wantError(t, "error for a peer", err, nil)
	want(t, "result for a peer", reply.Result, uint8(Excess))
	want(t, "time to retry for a peer", reply.RetryAfter >= time.Second, true)

	o.m.direct.uncertainJobs.reconcile(time.Now(), record.ID, MayBeStored)
	result, _ = submit(3)
	want(t, "result of a job that this entry may have stored", result, MayBeStored)
}

// TestOwnerRevealsNoJobOfAnotherQueue guards against a caller of a public queue who reads the
// state of a job of another queue that needs a key, because both queues share a pool.
func TestOwnerRevealsNoJobOfAnotherQueue(t *testing.T) {
	for _, public := range []bool{false, true} {
		o, _, _ := excessOwner(t, newMemoryStore(), false)
		record := excessRecord(1, "lodge")
		o.m.catalog.Replace(&catalog.Catalog{
			Version: 2, Organisations: o.m.catalog.Get().Organisations,
			Queues: []catalog.Queue{{Name: record.Queue, Public: public}, {Name: "open", Public: true}},
		})
		now := time.Now()
		p := pool.New(pool.Options{Pool: o.name}, now)
		p.Reduce(now, &pool.JobStored{Record: record, Version: 1})
		go func() {
			for query := range o.queries {
				query(t.Context(), p)
			}
		}()
		read := func(caller job.Organisation) job.State {
			state, err := o.jobState(t.Context(), caller, record.ID)
			wantError(t, "error", err, nil)
			return state
		}
		want(t, "state for the organisation", read("lodge"), job.Queued)
		want(t, "state known without a key", read("") != "", public)
		close(o.queries)
	}
}

// TestUnreadableStoreRefusesNothing guards against a refusal while it is not known whether the
// job is stored.
func TestUnreadableStoreRefusesNothing(t *testing.T) {
	store := newMemoryStore()
	o, _, _ := excessOwner(t, store, true)
	o.writer.store = unreadableStore{store}
	want(t, "may be stored", o.mayBeStored(t.Context(), excessRecord(1, "lodge")), true)
}

// unreadableStore fails all reads.
type unreadableStore struct{ *memoryStore }

func (unreadableStore) Rows(context.Context, string, string, string, string) (*table.Page, error) {
	return nil, errAnswerLost
}

// TestOrganisationLabelsAreLimited guards against metrics for each of very many organisations.
func TestOrganisationLabelsAreLimited(t *testing.T) {
	var names []job.Organisation
	for n := range maxOrganisationLabels + 20 {
		names = append(names, job.Organisation(fmt.Sprintf("o%03d", n)))
	}
	d := testDirectory(t, names...)
	var l organisationLabels
	labels := map[job.Organisation]int{}
	for _, name := range names {
		labels[l.label(d, name)]++
	}
	want(t, "labels", len(labels), maxOrganisationLabels+1)
	want(t, "organisations without their own", labels[otherOrganisations], 20)
	want(t, "label of a removed organisation", l.label(testDirectory(t, "o000"), "o001"), otherOrganisations)
}

// TestOrganisationMetricsAreSet checks the numbers of jobs by organisation, and that they return
// to 0.
func TestOrganisationMetricsAreSet(t *testing.T) {
	o, _, meter := excessOwner(t, newMemoryStore(), false)
	now := time.Unix(1_000_000, 0)
	p := pool.New(pool.Options{Pool: o.name}, now)
	p.Reduce(now, &pool.QueuesChanged{Organisations: o.m.catalog.Get().Organisations},
		&pool.JobStored{Record: excessRecord(1, "lodge"), Version: 1}, &pool.JobStored{Record: excessRecord(2, ""), Version: 2},
		&pool.JobStored{Record: excessRecord(3, "gone"), Version: 3})
	o.observeOrganisations(now, p)
	want(t, "jobs", meter.jobs, map[job.Organisation][2]int{"lodge": {0, 1}, otherOrganisations: {0, 1}})
	p.Reduce(now, &pool.JobEnded{ID: excessRecord(3, "gone").ID, Outcome: job.Outcome{State: job.Cancelled, At: now}})
	o.observeOrganisations(now.Add(organisationMetricsInterval), p)
	want(t, "jobs after one has ended", meter.jobs, map[job.Organisation][2]int{"lodge": {0, 1}, otherOrganisations: {0, 0}})
	o.clearOrganisationMetrics()
	want(t, "jobs after the ownership", meter.jobs, map[job.Organisation][2]int{"lodge": {0, 0}, otherOrganisations: {0, 0}})
}
