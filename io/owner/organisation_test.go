package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/job"
)

// organisationHandler has one job, of the organisation "lodge", and refuses all submissions.
type organisationHandler struct{ Handler }

func (organisationHandler) JobState(_ context.Context, _ job.PoolName, caller job.Organisation, _ job.ID) (job.State, error) {
	if !job.Organisation("lodge").Permits(caller) {
		return "", ErrForbidden
	}
	return job.Running, nil
}

func (organisationHandler) StoreJob(context.Context, job.PoolName, []byte) (SubmitReply, error) {
	return SubmitReply{Result: 3, RetryAfter: 1500 * time.Millisecond}, nil
}

// TestOrganisationCrossesTheWire guards against an owner that does not learn the organisation
// of a caller, and against a refusal whose kind or time to retry is lost on the way.
func TestOrganisationCrossesTheWire(t *testing.T) {
	p, address := servePeers(t, organisationHandler{})
	state, err := p.State(t.Context(), address, "booking", "lodge", "1")
	if err != nil || state != job.Running {
		t.Errorf("State for the job's organisation = %q, %v, want running", state, err)
	}
	if state, err := p.State(t.Context(), address, "booking", "ferry", "1"); !errors.Is(err, ErrForbidden) || state != "" {
		t.Errorf("State for another organisation = %q, %v, want ErrForbidden", state, err)
	}
	reply, err := p.Submit(t.Context(), address, "booking", nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(SubmitReply{Result: 3, RetryAfter: 1500 * time.Millisecond}, reply); diff != "" {
		t.Errorf("Submit (-want +got):\n%s", diff)
	}
}
