package manager

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/table"
)

// TestSlowStoreAbsorbsBurst guards against submissions that time out when a burst meets a
// slow store, as seen on a fleet of large and small entries: 300 jobs of one queue wait,
// and a part commits one transaction in 300 ms. All jobs must be stored within
// ownerSubmitTimeout.
func TestSlowStoreAbsorbsBurst(t *testing.T) {
	const (
		jobs           = 300
		commitDuration = 300 * time.Millisecond
	)
	store := newMemoryStore()
	w := newWriter(store, discardSink{}, slog.New(slog.DiscardHandler))
	var mu sync.Mutex
	perPart := map[string]int{}
	release := make(chan struct{})
	store.onCommit = func(tx *table.Tx) {
		<-release // hold the first transactions until all jobs are queued
		mu.Lock()
		defer mu.Unlock()
		perPart[tx.Part]++
	}
	ctx := t.Context()
	var callers sync.WaitGroup
	for n := range jobs {
		record, value := testRecord()
		record.ID = job.ID(fmt.Sprintf("%016x", n))
		callers.Go(func() {
			if result, err := w.storeNewJob(ctx, record, value); result != Stored {
				t.Errorf("job %s: result %v, error %v", record.ID, result, err)
			}
		})
	}
	for len(w.incoming) < jobs {
		time.Sleep(time.Millisecond)
	}
	go w.run(ctx)
	for len(w.incoming) > 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	callers.Wait()
	maxPerPart := 0
	for _, n := range perPart {
		maxPerPart = max(maxPerPart, n)
	}
	if took := time.Duration(maxPerPart) * commitDuration; took > ownerSubmitTimeout {
		t.Errorf("a part needs %d transactions, which take %v, want at most %v", maxPerPart, took, ownerSubmitTimeout)
	}
}

func TestProgressIsWrittenAfterJobsAndOutcomes(t *testing.T) {
	record, _ := testRecord()
	progress := &write{id: "1", queue: "seats"}
	outcome := &write{id: "2", queue: "seats", finished: true}
	newJob := &write{id: "3", queue: "seats", newJob: record}
	batch, rest := splitBatch([]*write{progress, outcome, newJob})
	var got []job.ID
	for _, w := range append(batch, rest...) {
		got = append(got, w.id)
	}
	want(t, "order", got, []job.ID{"2", "3", "1"})
}

func TestBatchFitsIntoTransaction(t *testing.T) {
	var writes []*write
	for n := range 100 {
		writes = append(writes, &write{id: job.ID(fmt.Sprint(n)), queue: "seats", finished: true, progressVersion: 3})
	}
	for stored := 0; len(writes) > 0; stored++ {
		batch, rest := splitBatch(writes)
		var tx table.Tx
		for _, w := range batch {
			w.addTo(&tx)
		}
		if tx.Entries() > table.MaxTxEntries || len(batch) == 0 {
			t.Fatalf("transaction %d has %d entries of %d writes", stored, tx.Entries(), len(batch))
		}
		writes = rest
	}
}

func TestRowsOfJobSharePart(t *testing.T) {
	parts := map[string]bool{}
	for n := range 1000 {
		id := job.ID(fmt.Sprintf("%016x", n))
		want(t, "part", jobKey(outcomeTable, "seats", id).Part, jobKey(jobTable, "seats", id).Part)
		parts[jobPart("seats", id)] = true
	}
	want(t, "parts", len(parts), jobParts)
}
