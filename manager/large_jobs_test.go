package manager

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// strictStore refuses transactions beyond the limits of the store.
type strictStore struct {
	*memoryStore
	// maxValueBytes is the size of the largest value, 0 for table.DefaultMaxValueBytes.
	maxValueBytes int
}

func (s strictStore) Commit(ctx context.Context, tx *table.Tx) (table.Version, error) {
	tooLarge := tx.Size() > table.MaxTxBytes || tx.Entries() > table.MaxTxEntries
	for _, put := range tx.Puts {
		tooLarge = tooLarge || len(put.Value) > cmp.Or(s.maxValueBytes, table.DefaultMaxValueBytes)
	}
	if tooLarge {
		return 0, errRefused
	}
	return s.memoryStore.Commit(ctx, tx)
}

// TestLargeJobsBesideOthers guards against jobs that are refused because those that are written in
// the same transaction are too large for a row or, together, for the transaction.
func TestLargeJobsBesideOthers(t *testing.T) {
	w := newWriter(strictStore{memoryStore: newMemoryStore()}, &eventRecorder{}, slog.New(slog.DiscardHandler))
	sizes := map[job.ID]int{}
	var jobs []*job.Record
	for n := 1; n <= 40; n++ {
		record, _ := testRecord()
		record.ID = idInSamePart(t, n)
		sizes[record.ID] = []int{10, 50_000, 60_000, 200_000}[n%4]
		record.Spec.Steps[0].Image = strings.Repeat("i", sizes[record.ID])
		jobs = append(jobs, record)
	}
	var answered sync.WaitGroup
	for _, record := range jobs {
		value, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		answered.Go(func() {
			result, err := w.storeNewJob(t.Context(), record, value)
			expected := Stored
			if sizes[record.ID] > table.DefaultMaxValueBytes {
				expected = NotStored
			}
			if result != expected {
				t.Errorf("job of %d bytes: %v, want %v, error %v", sizes[record.ID], result, expected, err)
			}
		})
	}
	for len(w.incoming) < len(jobs) { // so that they are written together
		time.Sleep(time.Millisecond)
	}
	go w.run(t.Context())
	answered.Wait()
}

// TestTooLargeJobIsRefusedAtOnce guards against a job that is sent to the store although no row can
// hold it, and is then refused with a status that asks the caller to return.
func TestTooLargeJobIsRefusedAtOnce(t *testing.T) {
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
	m.catalog.Replace(&catalog.Catalog{Version: 1})
	spec := &job.Spec{Steps: []job.Step{{Count: 1, Image: strings.Repeat("i", table.DefaultMaxValueBytes)}}}
	result, err := m.Submit(t.Context(), &catalog.Queue{Name: "seats", Pool: "booking"}, "", testID, spec)
	if result != TooLarge || err == nil {
		t.Errorf("result %v, error %v", result, err)
	}
}

// TestLargeWritesSpareThePart guards against a part that counts as unavailable, so that new jobs are
// refused, because the store refuses writes that no row can hold.
func TestLargeWritesSpareThePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriter(strictStore{memoryStore: newMemoryStore()}, &eventRecorder{}, slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go w.run(ctx)
		store := func(n, size int) SubmitResult {
			record, _ := testRecord()
			record.ID = idInSamePart(t, n)
			record.Spec.Steps[0].Image = strings.Repeat("i", size)
			value, err := record.Encode()
			if err != nil {
				t.Fatal(err)
			}
			result, _ := w.storeNewJob(ctx, record, value) // the result says it all
			return result
		}
		for n := 1; n <= 5; n++ {
			want(t, "large job", store(n, 2*table.DefaultMaxValueBytes), NotStored)
		}
		want(t, "small job", store(6, 10), Stored)
	})
}

// TestLargeProgressIsStored guards against a job whose progress outgrows a row (LOST): it was
// refused for ever, so that the ends of all other jobs stayed unacknowledged behind those of the job.
func TestLargeProgressIsStored(t *testing.T) {
	const tasks = 9000
	spec := &job.Spec{Steps: []job.Step{{Count: tasks}}}
	var lastDone job.Bitmap
	lastDone.Set(tasks - 1)
	progress := &job.Progress{Done: map[string][]byte{"0.0": lastDone}, Failed: map[string]job.FailedRuns{}}
	for i := range tasks - 1 {
		progress.Failed[fmt.Sprintf("0.0.%d", i)] = job.FailedRuns{1}
	}
	plain, err := progress.Encode()
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		mayCompact    bool
		maxValueBytes int
		failed        bool
	}{
		"read by all entries":               {mayCompact: true, maxValueBytes: table.DefaultMaxValueBytes},
		"an entry of an earlier version":    {maxValueBytes: table.DefaultMaxValueBytes, failed: true},
		"a store that takes larger values":  {mayCompact: true, maxValueBytes: len(plain)},
		"a store that takes smaller values": {mayCompact: true, maxValueBytes: 4096},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			store, events := newMemoryStore(), &eventRecorder{}
			w := newWriter(strictStore{store, c.maxValueBytes}, events, slog.New(slog.DiscardHandler))
			w.maxValueBytes, w.mayCompact = c.maxValueBytes, func() bool { return c.mayCompact }
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go w.run(ctx)
			record, value := testRecord()
			if result, err := w.storeNewJob(ctx, record, value); result != Stored {
				t.Fatalf("storeNewJob = %v, %v, want stored", result, err)
			}
			w.enqueue(ctx, &pool.SaveProgress{Queue: record.Queue, ID: record.ID, Version: 1, Seq: 1, Progress: progress, Spec: spec})
			saved := awaitSaved(t, events)
			want(t, "failed", saved.Failed, c.failed)
			if saved.Failed {
				return
			}
			row, found, err := readRow(ctx, store, jobKey(progressTable, record.Queue, record.ID))
			if err != nil || !found {
				t.Fatalf("the row is not found: %v", err)
			}
			decoded, err := job.DecodeProgress(row.Value)
			if err != nil {
				t.Fatal(err)
			}
			want(t, "progress", decoded, progress)
			want(t, "plain form", bytes.Equal(row.Value, plain), len(plain) <= c.maxValueBytes)
		})
	}
}

// TestTooLargeProgressSparesThePart guards against new jobs that wait while progress that no row can
// hold is sent again and again in the same part.
func TestTooLargeProgressSparesThePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriter(strictStore{memoryStore: newMemoryStore()}, discardSink{}, slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go w.run(ctx)
		record, value := testRecord()
		record.ID = idInSamePart(t, 1)
		progress := &job.Progress{Done: map[string][]byte{"0.0": make([]byte, 2*table.DefaultMaxValueBytes)}}
		w.enqueue(ctx, &pool.SaveProgress{Queue: record.Queue, ID: idInSamePart(t, 2), Version: 1, Seq: 1, Progress: progress})
		synctest.Wait()
		sent := time.Now()
		if result, err := w.storeNewJob(ctx, record, value); result != Stored {
			t.Fatalf("storeNewJob = %v, %v, want stored", result, err)
		}
		want(t, "wait of a new job", time.Since(sent), time.Duration(0))
	})
}

// awaitSaved returns the answer to a write that was sent after the others.
func awaitSaved(t *testing.T, r *eventRecorder) *pool.JobSaved {
	t.Helper()
	for range 1000 {
		r.mu.Lock()
		if n := len(r.events); n > 0 {
			if saved, ok := r.events[n-1].(*pool.JobSaved); ok {
				r.mu.Unlock()
				return saved
			}
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the write is not answered")
	return nil
}
