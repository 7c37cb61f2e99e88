package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// answerPollAsIncarnation is like answerPoll for the incarnation of r1 that started at
// the Unix time born.
func (h *harness) answerPollAsIncarnation(born int64, clock time.Duration, running []RunningTask, ended ...EndedTask) []Effect {
	sent := h.now
	h.now = h.now.Add(5 * time.Millisecond)
	return h.send(&RunnerPolled{
		Runner: "r1", CallResult: Done, Sent: sent, Clock: ClockReading{Clock: RunnerClock(clock), At: h.now},
		Born: time.Unix(born, 0), Running: running, Ended: ended,
	})
}

// TestTaskListedByNewIncarnationIsNotLost covers a runner that restarts under its id
// while it is idle, and starts a task before it lists its runs for the first time.
func TestTaskListedByNewIncarnationIsNotLost(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1", "r2")
	h.answerPoll("r2", nil, nil)
	h.answerPollAsIncarnation(1, time.Hour, nil)
	h.send(&RunnersCordoned{Runners: map[RunnerID]bool{"r2": true}})
	placed := h.storeJob(jobID(1), false, singleTaskStep())
	want(t, "start", describeStarts(placed), []string{taskID(1, 0, 0).String() + " 1@r1"})
	h.confirmStarts(placed)
	h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
	h.send(&RunnersCordoned{})
	h.advance(pollRetryDelay + time.Millisecond)
	effects := h.answerPollAsIncarnation(2, 2*time.Second, []RunningTask{{Task: taskID(1, 0, 0), Run: 1}})
	effects = append(effects, h.advance(minPollInterval)...)
	want(t, "starts elsewhere", describeStarts(effects), []string(nil))
	want(t, "stops", len(effectsOf[*StopTask](effects)), 0)
}

// TestLeaseOfLongIdleRunnerHasExpired covers a persistent task on a runner whose clock
// is 2% slow and was last read a minute before. The task must not be started elsewhere
// before the lease has expired on that clock.
func TestLeaseOfLongIdleRunnerHasExpired(t *testing.T) {
	h := newHarness(t, Options{})
	clockReadAt := h.now
	h.runners("r1")
	h.answerPollAsIncarnation(1, time.Hour, nil)
	h.advance(time.Minute)
	step := singleTaskStep()
	step.Persistent = true
	effects := h.storeJob(jobID(1), false, step)
	var until RunnerClock
	for _, s := range effectsOf[*StartTask](effects) {
		until = max(until, s.Until)
	}
	for _, poll := range effectsOf[*PollRunner](effects) {
		until = max(until, poll.Until)
	}
	h.confirmStarts(effects)
	h.send(&RunnerPolled{Runner: "r1", CallResult: Unknown, Sent: h.now})
	h.runners("r1", "r2")
	h.answerPoll("r2", nil, nil)
	want(t, "start elsewhere", h.restartsWhileUnreachable(10*time.Second), []string{taskID(1, 0, 0).String() + " 2@r2"})
	expires := clockReadAt.Add(time.Duration(float64(time.Duration(until)-time.Hour) / (1 - clockDrift)))
	if early := expires.Sub(h.now); early > 0 {
		t.Errorf("the task is started elsewhere %v before the lease on r1 expires", early)
	}
}

// TestEndThatIsListedAgainIsStoredBeforeItIsAcknowledged covers a registration that
// expires while the store accepts no writes: the runner is dropped and lists its ends
// again once it is registered.
func TestEndThatIsListedAgainIsStoredBeforeItIsAcknowledged(t *testing.T) {
	cases := map[string]struct {
		spec   job.Spec
		result RunResult
	}{
		"failed":                     {job.Spec{Steps: []job.Step{singleTaskStep()}}, RunFailed},
		"done":                       {job.Spec{Steps: []job.Step{singleTaskStep(), {Count: 1, After: []int{0}}}}, RunDone},
		"last task of an occurrence": {job.Spec{Steps: []job.Step{singleTaskStep()}, Repeat: job.Repeat{Count: 2, Start: time.Unix(1_000_000, 0), Interval: time.Hour}}, RunDone},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.runners("r1")
			h.answerPoll("r1", nil, nil)
			h.confirmStarts(h.send(&JobStored{Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(1), Spec: c.spec, Accepted: h.now}, Version: 11}))
			h.send(&RunnersCordoned{Runners: map[RunnerID]bool{"r1": true}})
			end := EndedTask{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: c.result}
			h.answerPoll("r1", nil, []EndedTask{end})
			h.runners()
			h.advance(leaseBound(DefaultLease) + time.Second)
			h.runners("r1")
			effects := h.answerPoll("r1", nil, []EndedTask{end})
			effects = append(effects, h.advance(time.Second)...)
			for _, poll := range effectsOf[*PollRunner](effects) {
				want(t, "acknowledged end before anything is stored", poll.Acknowledged, int64(0))
			}
		})
	}
}

// TestRecoveredOwnerStaysRecovered covers a runner that leaves after it has answered to
// the new owner, while the list of incarnations still contains it.
func TestRecoveredOwnerStaysRecovered(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1", "r2")
	h.incarnations("r1", "r2")
	h.answerPoll("r1", nil, nil)
	h.answerPoll("r2", nil, nil)
	want(t, "recovered once all have answered", h.pool.Recovered(h.now), true)
	h.runners("r2")
	h.advance(leaseBound(DefaultLease) + time.Second)
	h.incarnations("r1", "r2")
	want(t, "recovered after a runner has left", h.pool.Recovered(h.now), true)
}

// TestRunnerThatRestartsUnderItsIDIsUsedAgain covers a crash: the runner is missing from
// the list of incarnations until it has started again.
func TestRunnerThatRestartsUnderItsIDIsUsedAgain(t *testing.T) {
	h := newUnreachableRunnerHarness(t, singleTaskStep())
	want(t, "start elsewhere", h.restartsWhileUnreachable(8*time.Second, "r2"), []string{taskID(1, 0, 0).String() + " 2@r2"})
	h.runners("r2")
	h.advance(time.Second)
	effects := h.send(&RunnersListed{Runners: []Runner{{ID: "r1", Born: h.now}, {ID: "r2"}}})
	effects = append(effects, h.incarnations("r1", "r2")...)
	polled := false
	for _, poll := range effectsOf[*PollRunner](append(effects, h.advance(time.Second)...)) {
		polled = polled || poll.Runner.ID == "r1"
	}
	want(t, "the new incarnation is polled", polled, true)
}

// TestNewOwnerWaitIsLimited covers a takeover in which nothing reports that an
// incarnation has terminated although all leases have expired. The new owner must
// start tasks within a minute.
func TestNewOwnerWaitIsLimited(t *testing.T) {
	cases := map[string]struct {
		listed       bool
		incarnations []RunnerID
	}{
		"incarnations cannot be listed":       {},
		"an incarnation that never registers": {true, []RunnerID{"r1", "r2"}},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{Epoch: 2, Loading: true})
			h.runners("r1")
			h.answerPoll("r1", nil, nil)
			h.advance(leaseBound(DefaultLease) + time.Millisecond)
			want(t, "fenced", h.pool.PreviousOwnersFenced(h.now), true)
			h.storeJob(jobID(1), true, singleTaskStep())
			effects := h.send(&JobsLoaded{Present: map[job.ID]bool{jobID(1): true}, Version: 20})
			for range 60 {
				if c.listed {
					effects = append(effects, h.incarnations(c.incarnations...)...)
				}
				effects = append(effects, h.advance(time.Second)...)
			}
			want(t, "starts", describeStarts(effects), []string{taskID(1, 0, 0).String() + " 10001@r1"})
		})
	}
}

// TestNewOwnerAwaitsRegistrationsThatItReadsLate covers a new owner that gets its first
// list of registrations late, because the store is slow. The instance of r2 is leaving,
// so that the list of incarnations lacks it.
func TestNewOwnerAwaitsRegistrationsThatItReadsLate(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2, Loading: true})
	h.incarnations("r1")
	h.advance(registrationLag + 100*time.Millisecond)
	h.runners("r1", "r2")
	h.answerPoll("r1", nil, nil)
	want(t, "fenced before r2 has answered", h.pool.PreviousOwnersFenced(h.now), false)
	h.storeJob(jobID(1), true, singleTaskStep())
	effects := h.send(&JobsLoaded{Present: map[job.ID]bool{jobID(1): true}, Version: 20})
	effects = append(effects, h.incarnations("r1")...)
	effects = append(effects, h.advance(50*time.Millisecond)...)
	want(t, "starts before r2 has answered", describeStarts(effects), []string(nil))
}

// TestRunnerThatLeftBeforeTheListIsNotAwaited covers a takeover while incarnations cannot
// be listed: a runner answers and leaves before the first list arrives.
func TestRunnerThatLeftBeforeTheListIsNotAwaited(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1", "r2")
	h.answerPoll("r1", nil, nil)
	h.answerPoll("r2", nil, nil)
	h.runners("r2")
	h.advance(leaseBound(DefaultLease) + time.Second)
	h.incarnations("r1", "r2")
	want(t, "recovered", h.pool.Recovered(h.now), true)
}

// TestEndedRunnerIsNotUsedAgain guards against an owner that takes an ended incarnation
// for a new runner because its registration has not expired yet. On the large Skywatch
// site (trouble-1), 10,040 polls in 15 s had no answer, most of them to runners that a
// move or an upkeep had ended.
func TestEndedRunnerIsNotUsedAgain(t *testing.T) {
	born := time.Unix(1, 0)
	for _, c := range []struct {
		name  string
		born  time.Time
		after time.Duration
		polls int
	}{
		{"registration has not expired", born, time.Second, 0},
		{"registration without start time", time.Time{}, time.Second, 0},
		{"new incarnation under the same id", born.Add(time.Second), time.Second, 1},
		{"still registered after the retention", born, endedRunnerRetention + time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			list := func(born time.Time) []Effect {
				return h.send(&RunnersListed{Runners: []Runner{{ID: "r1", Address: "r1", Capacity: job.Resources{CPU: 16000, Memory: 65536}, Born: born}}})
			}
			list(born)
			h.answerPoll("r1", nil, nil)
			h.send(&RunnerEnded{Runner: "r1"})
			h.advance(c.after)
			want(t, "polls", len(effectsOf[*PollRunner](list(c.born))), c.polls)
		})
	}
}
