package manager

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/ownership"
	"bronzestair/core/pool"
)

// unresponsiveRunners takes callDuration for each call and does not answer, unless answers
// is set.
type unresponsiveRunners struct {
	Runners
	answers bool
}

var errNoReply = errors.New("no answer")

const callDuration = 500 * time.Millisecond

func (r *unresponsiveRunners) result() (pool.CallResult, error) {
	time.Sleep(callDuration)
	if r.answers {
		return pool.Done, nil
	}
	return pool.Unknown, errNoReply
}

func (r *unresponsiveRunners) Start(_ context.Context, e *pool.StartTask) (*pool.TaskStarted, error) {
	call, err := r.result()
	return &pool.TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: call}, err
}

func (r *unresponsiveRunners) Stop(_ context.Context, e *pool.StopTask) (*pool.TaskStopped, error) {
	call, err := r.result()
	return &pool.TaskStopped{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: call}, err
}

func (r *unresponsiveRunners) Poll(_ context.Context, e *pool.PollRunner) (*pool.RunnerPolled, error) {
	call, err := r.result()
	return &pool.RunnerPolled{Runner: e.Runner.ID, CallResult: call}, err
}

// recordedCall is a call to a runner as recorded by a meterRecorder.
type recordedCall struct {
	Kind CallKind
	Call pool.CallResult
	Took time.Duration
}

// meterRecorder keeps the recorded metrics.
type meterRecorder struct {
	nopMeter
	mu         sync.Mutex
	calls      []recordedCall
	duplicates []job.PoolName
	silent     [][2]int
}

func (m *meterRecorder) RunnerCalled(kind CallKind, call pool.CallResult, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, recordedCall{kind, call, took})
}

func (m *meterRecorder) DuplicateCompletion(name job.PoolName) {
	m.duplicates = append(m.duplicates, name)
}

func (m *meterRecorder) SilentRunners(_ job.PoolName, runners, tasks int) {
	m.silent = append(m.silent, [2]int{runners, tasks})
}

// newLoggedOwner returns an owner of a pool and the buffer of its log.
func newLoggedOwner(t *testing.T, runners Runners, meter Meter) (*poolOwner, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	m := New(Options{Name: "entry-1", Logger: slog.New(slog.NewJSONHandler(&log, nil)), Meter: meter}, newMemoryStore(), runners, nil, nil)
	const name job.PoolName = "booking"
	for range 100 {
		m.tracker.Observe(time.Now(), nil)
		for _, w := range m.tracker.Plan(time.Now(), []ownership.Shard{poolShard(name)}) {
			if tenure, ok := m.tracker.Committed(time.Now(), w, 41); ok {
				return newPoolOwner(m, name, tenure, func() {}), &log
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("pool was not taken over")
	return nil, nil
}

// logLines decodes the lines of a log and removes their time.
func logLines(t *testing.T, log *bytes.Buffer) []map[string]any {
	t.Helper()
	var out []map[string]any
	for decoder := json.NewDecoder(log); decoder.More(); {
		var line map[string]any
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		delete(line, "time")
		out = append(out, line)
	}
	return out
}

var observedTask = job.TaskID{Job: testID, Step: 1, Index: 2}

func TestUnansweredCallsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter := &meterRecorder{}
		o, log := newLoggedOwner(t, &unresponsiveRunners{}, meter)
		r := pool.Runner{ID: "r1"}
		o.start(t.Context(), &pool.StartTask{Runner: r, Task: observedTask, Run: 2, Until: pool.RunnerClock(time.Minute)})
		o.stop(t.Context(), &pool.StopTask{Runner: r, Task: observedTask, Run: 2})
		o.poll(t.Context(), &pool.PollRunner{Runner: r, Until: pool.RunnerClock(time.Hour), Acknowledged: 57})
		task, took := observedTask.String(), float64(callDuration)
		want(t, "lines", logLines(t, log), []map[string]any{
			{
				"level": "WARN", "msg": "start has no answer", "pool": "booking", "job": string(testID), "task": task, "run": 2.0,
				"runner": "r1", "call": "unknown", "took": took, "until": float64(time.Minute), "error": errNoReply.Error(),
			},
			{
				"level": "WARN", "msg": "stop has no answer", "pool": "booking", "job": string(testID), "task": task, "run": 2.0,
				"runner": "r1", "call": "unknown", "took": took, "error": errNoReply.Error(),
			},
			{
				"level": "WARN", "msg": "hold has no answer", "pool": "booking", "runner": "r1", "call": "unknown",
				"took": took, "until": float64(time.Hour), "acknowledged": 57.0, "unanswered": 1.0, "error": errNoReply.Error(),
			},
		})
		want(t, "calls", meter.calls, []recordedCall{
			{CallStart, pool.Unknown, callDuration}, {CallStop, pool.Unknown, callDuration}, {CallPoll, pool.Unknown, callDuration},
		})
	})
}

// TestSeriesOfUnansweredPollsIsLoggedSparsely guards against owners that exceed their limit
// of log lines with the polls of runners that do not answer, so that decisions are missing
// from the log.
func TestSeriesOfUnansweredPollsIsLoggedSparsely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log := newLoggedOwner(t, &unresponsiveRunners{}, &meterRecorder{})
		for _, failed := range []int{0, 2, 3} {
			o.poll(t.Context(), &pool.PollRunner{Runner: pool.Runner{ID: "r1"}, FailedCalls: failed})
		}
		var unanswered []any
		for _, line := range logLines(t, log) {
			unanswered = append(unanswered, line["unanswered"])
		}
		want(t, "logged polls", unanswered, []any{1.0, 4.0})
	})
}

// TestAnsweredPollsAreNotLogged guards against a log of excessive size: an owner makes up
// to 2000 polls per second.
func TestAnsweredPollsAreNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter := &meterRecorder{}
		o, log := newLoggedOwner(t, &unresponsiveRunners{answers: true}, meter)
		var polls sync.WaitGroup // concurrent, so that the ownership stays valid
		for range 20 {
			polls.Go(func() { o.poll(t.Context(), &pool.PollRunner{Runner: pool.Runner{ID: "r1"}}) })
		}
		polls.Wait()
		want(t, "lines", len(logLines(t, log)), 0)
		want(t, "calls", len(meter.calls), 20)
	})
}

func TestDuplicateCompletionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter := &meterRecorder{}
		o, log := newLoggedOwner(t, nil, meter)
		o.perform(t.Context(), &pool.DuplicateCompletion{
			Task: observedTask, Ended: pool.RunRef{Run: 2, Runner: "r1"}, Other: pool.RunRef{Run: 3, Runner: "r2"},
			OtherDone: true, MaxEndAge: 9 * time.Second,
		})
		want(t, "lines", logLines(t, log), []map[string]any{{
			"level": "WARN", "msg": "task was done twice", "pool": "booking", "job": string(testID), "task": observedTask.String(),
			"run": 2.0, "runner": "r1", "otherRun": 3.0, "otherRunner": "r2", "otherDone": true, "endAgeMax": float64(9 * time.Second),
		}})
		want(t, "duplicates", meter.duplicates, []job.PoolName{"booking"})
	})
}

func TestRecoveryIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter := &meterRecorder{}
		o, log := newLoggedOwner(t, nil, meter)
		p := pool.New(pool.Options{Pool: o.name, Fence: 41, Epoch: 2}, time.Now())
		p.Reduce(time.Now(), &pool.RunnersListed{Runners: []pool.Runner{{ID: "r1"}, {ID: "r2"}}})
		p.Reduce(time.Now(), &pool.IncarnationsListed{Alive: map[pool.RunnerID]bool{"r1": true, "r2": true}, RequestedAt: time.Now()})
		answer := func(id pool.RunnerID) {
			p.Reduce(time.Now(), &pool.RunnerPolled{Runner: id, CallResult: pool.Done, Sent: time.Now()})
			time.Sleep(tickInterval)
			o.observe(p)
		}
		p.Reduce(time.Now(), &pool.IncarnationsListed{Alive: map[pool.RunnerID]bool{"r1": true, "r2": true}, RequestedAt: time.Now()})
		answer("r1")
		want(t, "lines before the last runner answers", len(logLines(t, log)), 0)
		answer("r2")
		answer("r2")
		want(t, "lines", logLines(t, log), []map[string]any{{
			"level": "INFO", "msg": "owner recovered", "pool": "booking", "epoch": float64(o.tenure.Epoch), "after": float64(2 * tickInterval),
			"awaited": "r2", "unresolved": 0.0, "unresolvedRunners": "",
		}})
		p.Reduce(time.Now(), &pool.RunnerPolled{Runner: "r1", CallResult: pool.Unknown, Sent: time.Now()})
		o.observe(p)
		want(t, "silent runners", meter.silent, [][2]int{{0, 0}, {0, 0}, {0, 0}, {1, 0}})
	})
}

func TestRegistrationChangesAreLogged(t *testing.T) {
	var log bytes.Buffer
	m := New(Options{Logger: slog.New(slog.NewJSONHandler(&log, nil))}, newMemoryStore(), nil, nil, nil)
	m.logRegistrationChanges(map[string]bool{"r1": false}, map[string]bool{"r1": false})
	m.logRegistrationChanges(map[string]bool{"r1": false, "r2": false, "r3": true}, map[string]bool{"r2": true, "r3": false, "r4": false})
	got := logLines(t, &log)
	want(t, "lines", len(got), 1)
	want(t, "added", got[0]["added"], any("r3 r4"))
	want(t, "lapsed", got[0]["lapsed"], any("r2"))
	want(t, "removed", got[0]["removed"], any("r1"))
}
