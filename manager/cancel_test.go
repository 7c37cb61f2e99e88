package manager

import (
	"errors"
	"testing"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
)

// TestCancelledIDWithoutJobIsNotShown guards against a job that nobody submitted and that is
// shown as cancelled (review case 5). A job that arrives after its cancellation is stored as
// cancelled and never runs.
func TestCancelledIDWithoutJobIsNotShown(t *testing.T) {
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
	go m.direct.run(t.Context())
	q := &catalog.Queue{Name: "seats", Pool: "booking"}
	unknown := func(what string, err error) {
		t.Helper()
		want(t, what, errors.Is(err, ErrUnknownJob), true)
	}
	unknown("cancelling", m.Cancel(t.Context(), q, "", testID))
	unknown("cancelling again", m.Cancel(t.Context(), q, "", testID))
	_, err := m.State(t.Context(), q, "", testID)
	unknown("state", err)

	spec := &job.Spec{Steps: []job.Step{{Count: 1}}}
	for range 2 {
		result, err := m.Submit(t.Context(), q, "", testID, spec)
		want(t, "result of a submission that arrives later", result, Stored)
		want(t, "error", err, error(nil))
	}
	state, err := m.State(t.Context(), q, "", testID)
	want(t, "state", state, job.Cancelled)
	want(t, "error", err, error(nil))
	want(t, "cancelling a job that has been cancelled", m.Cancel(t.Context(), q, "", testID), error(nil))
	_, found, err := readRow(t.Context(), m.store, jobKey(jobTable, q.Name, testID))
	want(t, "job row", found, false)
	want(t, "error", err, error(nil))
}
