package manager

import (
	"context"
	"errors"
	"testing"

	"bronzestair/core/delegation"
	"bronzestair/core/membership"
	"bronzestair/core/pool"
	"bronzestair/io/owner"
)

// namedRunners appends its name to the calls and returns a result with an error.
type namedRunners struct {
	Runners
	name  string
	calls *[]string
	call  pool.CallResult
	err   error
}

func (r namedRunners) Start(context.Context, *pool.StartTask) (*pool.TaskStarted, error) {
	*r.calls = append(*r.calls, r.name)
	return &pool.TaskStarted{CallResult: r.call}, r.err
}

// TestOrderIsPassedOnOnce checks that an order goes to the next delegate, and last directly
// to the runner, only as long as it was certainly not passed on: an order that may have
// been carried out is not sent twice.
func TestOrderIsPassedOnOnce(t *testing.T) {
	errLost := errors.New("no result")
	for _, c := range []struct {
		name          string
		first, second error
		expired       bool // the claim on the pool, during the first attempt
		calls         int
		result        pool.CallResult
	}{
		{"accepted", nil, nil, false, 1, pool.Done},
		{"result lost", errLost, nil, false, 1, pool.Unknown},
		{"first is not available", owner.ErrDelegateUnavailable, nil, false, 2, pool.Done},
		{"result of the second lost", owner.ErrDelegateUnavailable, errLost, false, 2, pool.Unknown},
		{"none is available", owner.ErrDelegateUnavailable, owner.ErrDelegateUnavailable, false, 3, pool.Done},
		{"claim expired meanwhile", owner.ErrDelegateUnavailable, nil, true, 1, pool.Withheld},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls []string
			results := []error{c.first, c.second}
			d := &delegatedRunners{Runners: namedRunners{name: "direct", calls: &calls, call: pool.Done}, valid: func() bool { return !c.expired }}
			d.delegate = func(address string) owner.Runners {
				r := namedRunners{name: address, calls: &calls, call: pool.Done, err: results[len(calls)]}
				if r.err != nil {
					r.call = pool.Unknown
				}
				return r
			}
			d.setPlan(delegation.New("booking", []membership.Member{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}, delegation.MinRunners))
			started, _ := d.Start(t.Context(), &pool.StartTask{Runner: pool.Runner{ID: "r1"}})
			want(t, "calls", len(calls), c.calls)
			want(t, "result", started.CallResult, c.result)
		})
	}
}
