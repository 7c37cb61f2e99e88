package manager

import (
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/catalog"
	"bronzestair/core/job"
)

// wantError reports an error if err is not the expected one.
func wantError(t *testing.T, what string, err, expected error) {
	t.Helper()
	if diff := cmp.Diff(expected, err, cmpopts.EquateErrors()); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// TestJobsOfOtherOrganisations guards against jobs that are shown to, cancelled by or taken for
// those of another organisation, while they are stored and after they have ended.
func TestJobsOfOtherOrganisations(t *testing.T) {
	cases := []struct {
		name              string
		submitter, caller job.Organisation
		expected          error
	}{
		{"own job", "lodge", "lodge", nil},
		{"another organisation's job", "lodge", "ferry", ErrForbidden},
		{"job without an organisation", "", "ferry", nil},
		{"caller of a public queue", "lodge", "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
			go m.direct.run(t.Context())
			q := &catalog.Queue{Name: "seats", Pool: "booking"}
			spec := &job.Spec{Steps: []job.Step{{Count: 1}}}
			result, err := m.Submit(t.Context(), q, c.submitter, testID, spec)
			want(t, "result of the first submission", result, Stored)
			wantError(t, "error of the first submission", err, nil)
			for _, state := range []job.State{job.Queued, job.Cancelled} {
				got, err := m.State(t.Context(), q, c.caller, testID)
				wantError(t, "reading the state "+string(state), err, c.expected)
				if c.expected == nil {
					want(t, "state", got, state)
				} else {
					want(t, "state", got, job.State(""))
				}
				result, err = m.Submit(t.Context(), q, c.caller, testID, spec)
				wantError(t, "submitting the same id while "+string(state), err, c.expected)
				want(t, "forbidden", result == Forbidden, c.expected != nil)
				wantError(t, "cancelling while "+string(state), m.Cancel(t.Context(), q, c.caller, testID), c.expected)
				wantError(t, "cancelling with the own key", m.Cancel(t.Context(), q, c.submitter, testID), nil)
			}
		})
	}
}

// TestGuardOfAnotherOrganisationDoesNotCancel guards against an organisation that cancels ids
// which another one is going to use. The guard still holds for its own late jobs.
func TestGuardOfAnotherOrganisationDoesNotCancel(t *testing.T) {
	m := New(Options{Name: "entry-1"}, newMemoryStore(), nil, nil, nil)
	go m.direct.run(t.Context())
	q := &catalog.Queue{Name: "seats", Pool: "booking"}
	spec := &job.Spec{Steps: []job.Step{{Count: 1}}}
	submit := func(caller job.Organisation, expected SubmitResult) {
		t.Helper()
		result, _ := m.Submit(t.Context(), q, caller, testID, spec)
		want(t, "result for "+string(caller), result, expected)
	}
	wantError(t, "cancelling an unknown id", m.Cancel(t.Context(), q, "ferry", testID), ErrUnknownJob)
	submit("lodge", Stored)
	state, err := m.State(t.Context(), q, "lodge", testID)
	wantError(t, "state", err, nil)
	want(t, "state", state, job.Queued)
	submit("ferry", Forbidden)

	// An id that both have cancelled is cancelled for both.
	const other job.ID = "00000000000000bb"
	for _, caller := range []job.Organisation{"ferry", "lodge", "ferry"} {
		wantError(t, "cancelling an unknown id", m.Cancel(t.Context(), q, caller, other), ErrUnknownJob)
	}
	result, _ := m.Submit(t.Context(), q, "lodge", other, spec)
	want(t, "result of a job that was cancelled before", result, Stored)
	state, err = m.State(t.Context(), q, "lodge", other)
	wantError(t, "state", err, nil)
	want(t, "state", state, job.Cancelled)
}
