package manager

import (
	"log/slog"
	"testing"

	"bronzestair/core/job"
	"bronzestair/core/pool"
)

// TestOwnLostSaveIsNotOwnerChange guards against an owner that takes its own progress for
// that of another owner. This came about when the answer to a save was lost, the store
// refused the retries, and the next save met the progress of the first.
func TestOwnLostSaveIsNotOwnerChange(t *testing.T) {
	store := newMemoryStore()
	events := &eventRecorder{}
	w := newWriter(store, events, slog.New(slog.DiscardHandler))
	record, value := testRecord()
	go w.run(t.Context())
	if result, err := w.storeNewJob(t.Context(), record, value); result != Stored {
		t.Fatalf("storeNewJob = %v, %v, want stored", result, err)
	}
	const commits = 1 + 1 + maxRefusedRetries // the lost answer, a refusal and its retries
	store.mu.Lock()
	store.commits = 0
	store.fault = func(n int) (error, bool) {
		switch {
		case n == 1:
			return errAnswerLost, true
		case n <= commits:
			return errRefused, false
		}
		return nil, false
	}
	store.mu.Unlock()
	for seq, done := range [][]byte{{1}, {3}} {
		pending, err := newWrite(&pool.SaveProgress{
			Queue: "seats", ID: testID, Version: 1, Seq: uint64(seq),
			Progress: &job.Progress{Done: map[string][]byte{"0.0": done}},
		})
		if err != nil {
			t.Fatal(err)
		}
		w.commit(t.Context(), []*write{pending})
	}
	events.mu.Lock()
	defer events.mu.Unlock()
	changed := 0
	for _, e := range events.events {
		if _, ok := e.(*pool.OwnerChanged); ok {
			changed++
		}
	}
	want(t, "owner changes reported", changed, 0)
}
