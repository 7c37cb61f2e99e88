package manager

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bronzestair/io/owner"
)

// TestBreaker replays an entry that is cut off from the owner of a pool. On scale-2 of the
// large Skywatch site, where a third of the entries is cut off for 12 s, each job that
// such an entry received waited for the owner for 1.5 s before it was stored.
func TestBreaker(t *testing.T) {
	now := time.Unix(1_000, 0)
	unanswered := status.Error(codes.DeadlineExceeded, "no answer")
	for _, c := range []struct {
		name string
		errs []error
		at   time.Duration
		open bool
	}{
		{"never called", nil, 0, false},
		{"answered", []error{nil}, 0, false},
		{"not answered", []error{unanswered}, breakerDelay - 1, true},
		{"not reached", []error{status.Error(codes.Unavailable, "refused")}, breakerDelay - 1, true},
		{"not answered some time ago", []error{unanswered}, breakerDelay, false},
		{"answered again", []error{unanswered, nil}, 0, false},
		{"no longer the owner", []error{unanswered, owner.ErrNotOwner}, 0, false},
		{"other failure", []error{errors.New("broken")}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b breakers
			for _, err := range c.errs {
				b.record(now, "peer", err)
			}
			want(t, "open", b.open(now.Add(c.at), "peer"), c.open)
			want(t, "open for another peer", b.open(now.Add(c.at), "other"), false)
		})
	}
}
