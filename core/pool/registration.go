package pool

import "time"

// A registration describes one incarnation of a runner. The next one under the same id may be of
// another kind, and its registration may come late, or never during an outage of the store. Rack, zone
// and capacity are those of the instance, which stays the same, so that they hold on: most tasks
// can start as soon as the new incarnation has answered. Its other labels do not.

// registered reports whether the registration is that of the current incarnation, as far as is known.
func (r *runnerState) registered() bool {
	switch {
	case r.born.IsZero():
		return true
	case r.Runner.Born.IsZero():
		return r.incarnationSince.IsZero()
	}
	return r.Runner.Born.Equal(r.born)
}

// confirms reports whether the current incarnation has a label of the registration.
func (r *runnerState) confirms(label string) bool {
	return label == "" || label == r.Rack() || r.registered()
}

// mayRepeatStart reports whether a start without an answer may be sent again: the runner may have
// restarted as another kind since.
func (r *runnerState) mayRepeatStart(t *task, sent time.Time) bool {
	label := t.step.spec.RequiredLabel
	return label == "" || label == r.Rack() || r.registered() && r.lastAnswer.After(sent)
}

// identified reports whether a task with a required label may be sent to the runner: an idle runner
// is not polled, so that a restart since its last answer may have gone unnoticed.
func (r *runnerState) identified(now time.Time, label string) bool {
	return label == "" || label == r.Rack() || now.Sub(r.lastAnswer) <= incarnationProofAge
}

// identifyRunners polls the runners with a required label that are not identified at present.
func (p *Pool) identifyRunners(now time.Time, label string, runners []*runnerState) {
	for _, r := range runners {
		if r.hasLabel(label) && !r.identified(now, label) {
			r.identityWanted = true
			r.nextPoll = now
		}
	}
}
