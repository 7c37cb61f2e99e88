package manager

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
	"bronzestair/core/verdict"
)

func want(t *testing.T, what string, got, expected any) {
	t.Helper()
	if diff := cmp.Diff(expected, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// memoryStore implements jobStore. Commit calls onCommit and then fault, if they are set.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[table.Key]table.Row
	version table.Version
	commits int
	// fault returns the error of the n-th transaction, and whether the transaction
	// takes effect nevertheless.
	fault       func(n int) (err error, applied bool)
	unavailable atomic.Bool
	// onCommit is called with each transaction before it takes effect.
	onCommit func(*table.Tx)
}

func newMemoryStore() *memoryStore { return &memoryStore{rows: map[table.Key]table.Row{}} }

func (m *memoryStore) LastResponse() time.Time { return time.Now() }

func (m *memoryStore) Unavailable() bool { return m.unavailable.Load() }

func (m *memoryStore) Commit(_ context.Context, tx *table.Tx) (table.Version, error) {
	if m.onCommit != nil {
		m.onCommit(tx)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	if m.fault != nil {
		if err, applied := m.fault(m.commits); err != nil {
			if applied {
				m.apply(tx)
			}
			return 0, err
		}
	}
	return m.apply(tx)
}

func (m *memoryStore) apply(tx *table.Tx) (table.Version, error) {
	conflict := &table.Conflict{}
	holds := true
	for _, e := range tx.Expects {
		row := m.rows[e.Key]
		if row.Version > 0 {
			conflict.Rows = append(conflict.Rows, row)
		}
		holds = holds && row.Version == e.Version
	}
	if !holds {
		return 0, conflict
	}
	m.version++
	for _, p := range tx.Puts {
		m.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: m.version}
	}
	for _, k := range tx.Removes {
		delete(m.rows, k)
	}
	return m.version, nil
}

func (m *memoryStore) Rows(_ context.Context, name, part, from, to string) (*table.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := &table.Page{Version: m.version}
	for key, row := range m.rows {
		if key.Table == name && key.Part == part && key.Name >= from && (to == "" || key.Name < to) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

func (m *memoryStore) Parts(context.Context, string) ([]string, error) { return nil, nil }

func (m *memoryStore) Feed(context.Context, string, table.Version, time.Duration) (*table.Page, error) {
	return &table.Page{}, nil
}

// eventRecorder keeps the events that a writer submits.
type eventRecorder struct {
	mu     sync.Mutex
	events []pool.Event
}

func (r *eventRecorder) submit(e pool.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

const testID job.ID = "00000000000000aa"

func testRecord() (*job.Record, []byte) {
	record := &job.Record{
		Pool: "booking", Queue: "seats", ID: testID,
		Spec: job.Spec{Steps: []job.Step{{Count: 1}}}, Accepted: time.Unix(1, 0).UTC(),
	}
	value, err := record.Encode()
	if err != nil {
		panic(err) // the record is fixed
	}
	return record, value
}

var (
	errAnswerLost = &table.Failure{Verdict: verdict.MayHaveRun, Reason: "no answer"}
	errRefused    = &table.Failure{Verdict: verdict.NotRun, Reason: "status 503"}
)

func TestSubmitResultMatchesStore(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(n int) (error, bool)
		result SubmitResult
		stored bool
	}{
		{"stored", nil, Stored, true},
		{"answer lost", func(n int) (error, bool) {
			if n == 1 {
				return errAnswerLost, true
			}
			return nil, false
		}, Stored, true},
		{"request lost", func(n int) (error, bool) {
			if n == 1 {
				return errAnswerLost, false
			}
			return nil, false
		}, Stored, true},
		{"refused", func(int) (error, bool) { return errRefused, false }, NotStored, false},
		{"answer lost, then refused", func(n int) (error, bool) {
			if n == 1 {
				return errAnswerLost, true
			}
			return errRefused, false
		}, MayBeStored, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			store.fault = c.fault
			w := newWriter(store, &eventRecorder{}, slog.New(slog.DiscardHandler))
			go w.run(t.Context())
			record, value := testRecord()
			result, _ := w.storeNewJob(t.Context(), record, value)
			want(t, "result", result, c.result)
			want(t, "stored", len(store.rows) == 1, c.stored)
		})
	}
}

func TestRepeatedSubmitIsStoredOnce(t *testing.T) {
	store := newMemoryStore()
	w := newWriter(store, &eventRecorder{}, slog.New(slog.DiscardHandler))
	go w.run(t.Context())
	record, value := testRecord()
	for range 2 {
		result, err := w.storeNewJob(t.Context(), record, value)
		if err != nil || result != Stored {
			t.Fatalf("storeNewJob = %v, %v, want stored", result, err)
		}
	}
	want(t, "version of the store", store.version, table.Version(1))
}

// idInSamePart returns the n-th job id that shares a part with testID.
func idInSamePart(t *testing.T, n int) job.ID {
	t.Helper()
	for i := range 1000 {
		id := job.ID(fmt.Sprintf("%016x", i))
		if id == testID || jobPart("seats", id) != jobPart("seats", testID) {
			continue
		}
		if n--; n == 0 {
			return id
		}
	}
	t.Fatal("no id shares the part")
	return ""
}

// TestWithdrawnJobIsNotWritten guards against writing a job that was reported as not
// stored: the store does not answer for longer than the caller waits.
func TestWithdrawnJobIsNotWritten(t *testing.T) {
	store := newMemoryStore()
	entered, release := make(chan struct{}), make(chan struct{})
	store.fault = func(n int) (error, bool) {
		if n == 1 {
			close(entered)
			<-release
		}
		return nil, false
	}
	w := newWriter(store, &eventRecorder{}, slog.New(slog.DiscardHandler))
	go w.run(t.Context())
	record, value := testRecord()
	first, third := *record, *record
	first.ID, third.ID = idInSamePart(t, 1), idInSamePart(t, 2)
	go w.storeNewJob(t.Context(), &first, value)
	<-entered
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	result, _ := w.storeNewJob(cancelledCtx, record, value)
	want(t, "result", result, NotStored)
	close(release)
	if result, err := w.storeNewJob(t.Context(), &third, value); result != Stored {
		t.Fatalf("storeNewJob = %v, %v, want stored", result, err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if _, ok := store.rows[jobKey(jobTable, record.Queue, third.ID)]; !ok {
		t.Error("the job after the withdrawn job is not stored")
	}
	if _, ok := store.rows[jobKey(jobTable, record.Queue, testID)]; ok {
		t.Error("the withdrawn job is stored")
	}
}

func TestSaveWithLostAnswerIsRecognized(t *testing.T) {
	store := newMemoryStore()
	events := &eventRecorder{}
	w := newWriter(store, events, slog.New(slog.DiscardHandler))
	record, value := testRecord()
	go w.run(t.Context())
	if result, err := w.storeNewJob(t.Context(), record, value); result != Stored {
		t.Fatalf("storeNewJob = %v, %v, want stored", result, err)
	}
	store.mu.Lock()
	store.commits = 0
	store.fault = func(n int) (error, bool) {
		if n == 1 {
			return errAnswerLost, true
		}
		return nil, false
	}
	store.mu.Unlock()
	pending, err := newWrite(&pool.SaveProgress{
		Queue: "seats", ID: testID, Version: 1, Seq: 5,
		Progress: &job.Progress{Done: map[string][]byte{"0.0": {1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.commit(t.Context(), []*write{pending})
	events.mu.Lock()
	defer events.mu.Unlock()
	want(t, "last event", events.events[len(events.events)-1], pool.Event(&pool.JobSaved{ID: testID, Seq: 5, Version: 2}))
}

// TestLostAnswersDoNotCountAsRefusals guards against a new job that is reported as not
// stored after one refusal, because lost answers before it used up the retries.
func TestLostAnswersDoNotCountAsRefusals(t *testing.T) {
	store := newMemoryStore()
	store.fault = func(n int) (error, bool) {
		switch {
		case n <= maxRefusedRetries+1:
			return &table.Failure{Verdict: verdict.MayHaveRun}, false
		case n == maxRefusedRetries+2:
			return &table.Failure{Verdict: verdict.NotRun}, false
		}
		return nil, false
	}
	w := newWriter(store, &eventRecorder{}, slog.New(slog.DiscardHandler))
	reply := make(chan submitReply, 1)
	w.commit(t.Context(), []*write{{id: testID, queue: "seats", value: []byte("{}"), newJob: &job.Record{ID: testID, Queue: "seats"}, reply: reply}})
	want(t, "result", (<-reply).result, Stored)
}
