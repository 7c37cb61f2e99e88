package manager

import (
	"log/slog"
	"testing"

	"bronzestair/core/job"
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// TestSaveConflictWithStoredProgress checks how a writer handles a conflict on the
// progress row after a save without an answer: progress that it wrote itself is no change
// of owner, any other progress is.
func TestSaveConflictWithStoredProgress(t *testing.T) {
	encode := func(done byte) []byte {
		p := &job.Progress{Done: map[string][]byte{"0.0": {done}}}
		value, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	own, others := encode(1), encode(2)
	cases := []struct {
		name    string
		stored  []byte
		pending *write
		events  []pool.Event
	}{
		{"own progress, then more", own, &write{value: encode(3)}, []pool.Event{&pool.JobSaved{ID: testID, Version: 3}}},
		{"own progress, then the outcome", own, &write{finished: true}, []pool.Event{&pool.JobSaved{ID: testID, Version: 3, Finished: true}}},
		{"another owner's, then more", others, &write{value: encode(3)}, []pool.Event{&pool.OwnerChanged{ID: testID}}},
		{"another owner's, then the outcome", others, &write{finished: true}, []pool.Event{&pool.OwnerChanged{ID: testID}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			for version, name := range []string{jobTable, progressTable} {
				key := jobKey(name, "seats", testID)
				store.version = table.Version(version + 1)
				store.rows[key] = table.Row{Key: key, Value: c.stored, Version: store.version}
			}
			events := &eventRecorder{}
			w := newWriter(store, events, slog.New(slog.DiscardHandler))
			w.reportFailed([]*write{{id: testID, queue: "seats", value: own, maybeStored: true}}, errAnswerLost)
			events.events = nil
			c.pending.id, c.pending.queue, c.pending.version = testID, "seats", 1
			w.commit(t.Context(), []*write{c.pending})
			want(t, "events", events.events, c.events)
			_, kept := store.rows[jobKey(progressTable, "seats", testID)]
			want(t, "progress row kept", kept, !(c.pending.finished && string(c.stored) == string(own)))
		})
	}
}

// TestVanishedJobIsReportedOnce guards against a save that is retried without end because
// the store has neither the job's row nor its outcome.
func TestVanishedJobIsReportedOnce(t *testing.T) {
	store, events := newMemoryStore(), &eventRecorder{}
	w := newWriter(store, events, slog.New(slog.DiscardHandler))
	w.commit(t.Context(), []*write{{id: testID, queue: "seats", version: 1, value: []byte("{}")}})
	want(t, "events", events.events, []pool.Event{&pool.JobVanished{ID: testID}})
}
