package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/job"
)

// harness drives a Pool with single events in virtual time.
type harness struct {
	t    *testing.T
	now  time.Time
	pool *Pool
}

const (
	testQueue job.QueueName = "seats"
	testPool  job.PoolName  = "booking"
)

func newHarness(t *testing.T, o Options) *harness {
	t.Helper()
	o.Pool = testPool
	if o.Fence == 0 {
		o.Fence = 7
	}
	if o.Epoch == 0 {
		o.Epoch = 1
	}
	h := &harness{t: t, now: time.Unix(1_000_000, 0)}
	h.pool = New(o, h.now)
	h.send(&QueuesChanged{Queues: map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 3, Stretch: 2, LatencyTarget: time.Second}}})
	return h
}

// send applies an event and returns its effects without the logged decisions.
func (h *harness) send(e Event) []Effect {
	var out []Effect
	for _, effect := range h.pool.Reduce(h.now, e) {
		if _, ok := effect.(*LogDecision); !ok {
			out = append(out, effect)
		}
	}
	return out
}

// advance moves the time forward and returns the effects of a tick.
func (h *harness) advance(d time.Duration) []Effect {
	h.now = h.now.Add(d)
	return h.send(Ticked{})
}

// runners passes a list of registered runners to the pool.
func (h *harness) runners(ids ...RunnerID) []Effect {
	var list []Runner
	for _, id := range ids {
		list = append(list, Runner{ID: id, Address: string(id), Capacity: job.Resources{CPU: 16000, Memory: 65536}, Labels: []string{"a", "rack-1"}})
	}
	return h.send(&RunnersListed{Runners: list})
}

// incarnations passes a list of live incarnations to the pool.
func (h *harness) incarnations(ids ...RunnerID) []Effect {
	alive := map[RunnerID]bool{}
	for _, id := range ids {
		alive[id] = true
	}
	return h.send(&IncarnationsListed{Alive: alive, RequestedAt: h.now})
}

// answerPoll passes the answer of a runner to a poll to the pool, 5 ms after the poll
// was sent.
func (h *harness) answerPoll(id RunnerID, running []RunningTask, ended []EndedTask) []Effect {
	sent := h.now
	h.now = h.now.Add(5 * time.Millisecond)
	return h.send(&RunnerPolled{
		Runner: id, CallResult: Done, Sent: sent, Clock: ClockReading{Clock: RunnerClock(time.Hour), At: h.now},
		Born: time.Unix(1, 0), Running: running, Ended: ended,
	})
}

// storeJob passes a stored job to the pool.
func (h *harness) storeJob(id job.ID, inherited bool, steps ...job.Step) []Effect {
	return h.send(&JobStored{
		Record:  &job.Record{Pool: testPool, Queue: testQueue, ID: id, Spec: job.Spec{Steps: steps}, Accepted: h.now},
		Version: 11, Inherited: inherited,
	})
}

// confirmStarts reports all starts among the effects as carried out.
func (h *harness) confirmStarts(effects []Effect) []Effect {
	var out []Effect
	for _, s := range effectsOf[*StartTask](effects) {
		out = append(out, h.send(&TaskStarted{Runner: s.Runner.ID, Task: s.Task, Run: s.Run, CallResult: Done, Sent: h.now})...)
	}
	return out
}

// effectsOf returns the effects of type T.
func effectsOf[T Effect](effects []Effect) []T {
	var out []T
	for _, e := range effects {
		if typed, ok := e.(T); ok {
			out = append(out, typed)
		}
	}
	return out
}

// describeStarts formats the starts among the effects as "task run@runner".
func describeStarts(effects []Effect) []string {
	var out []string
	for _, s := range effectsOf[*StartTask](effects) {
		out = append(out, fmt.Sprintf("%v %d@%s", s.Task, s.Run, s.Runner.ID))
	}
	return out
}

func jobID(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

func taskID(n, step, index int) job.TaskID {
	return job.TaskID{Job: jobID(n), Step: step, Index: index}
}

// want reports an error if got differs from expected.
func want(t *testing.T, label string, got, expected any) {
	t.Helper()
	if diff := cmp.Diff(expected, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", label, diff)
	}
}

func singleTaskStep() job.Step {
	return job.Step{Count: 1, Resources: job.Resources{CPU: 1000, Memory: 100}, EstimatedRuntime: time.Second}
}

func TestStepsRunInOrderAndJobCompletes(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	second := singleTaskStep()
	second.After = []int{0}
	effects := h.storeJob(jobID(1), false, singleTaskStep(), second)
	want(t, "starts of the first step", describeStarts(effects), []string{taskID(1, 0, 0).String() + " 1@r1"})
	h.confirmStarts(effects)
	effects = h.answerPoll("r1", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}})
	want(t, "starts of the second step", describeStarts(effects), []string{taskID(1, 1, 0).String() + " 1@r1"})
	h.confirmStarts(effects)
	effects = h.answerPoll("r1", nil, []EndedTask{{Number: 2, Task: taskID(1, 1, 0), Run: 1, Result: RunDone}})
	finishes := effectsOf[*FinishJob](effects)
	if len(finishes) != 1 || finishes[0].Outcome.State != job.Completed {
		t.Fatalf("outcomes to store = %v, want one completed job", finishes)
	}
	state, _ := h.pool.State(jobID(1))
	want(t, "state before the outcome is stored", state, job.Running)
	h.send(&JobSaved{ID: jobID(1), Seq: finishes[0].Seq, Version: 12, Finished: true})
	state, _ = h.pool.State(jobID(1))
	want(t, "state after the outcome is stored", state, job.Completed)
}

func TestEndIsAcknowledgedOnlyOnceStored(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	twoTasks := singleTaskStep()
	twoTasks.Count = 2
	h.confirmStarts(h.storeJob(jobID(1), false, twoTasks))
	h.answerPoll("r1", []RunningTask{{Task: taskID(1, 0, 1), Run: 1}}, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}})
	effects := h.advance(minPollInterval)
	polls := effectsOf[*PollRunner](effects)
	if len(polls) != 1 || polls[0].Acknowledged != 0 {
		t.Fatalf("polls = %+v, want one that acknowledges nothing", polls)
	}
	effects = h.advance(saveInterval)
	saves := effectsOf[*SaveProgress](effects)
	if len(saves) != 1 {
		t.Fatalf("saves = %v, want one", saves)
	}
	h.send(&JobSaved{ID: jobID(1), Seq: saves[0].Seq, Version: 12})
	h.answerPoll("r1", []RunningTask{{Task: taskID(1, 0, 1), Run: 1}}, nil)
	polls = effectsOf[*PollRunner](h.advance(minPollInterval))
	if len(polls) != 1 || polls[0].Acknowledged != 1 {
		t.Fatalf("polls = %+v, want one that acknowledges end 1", polls)
	}
}

func TestNewOwnerAdoptsRunningTasks(t *testing.T) {
	h := newHarness(t, Options{Epoch: 3, Loading: true})
	h.runners("r1", "r2")
	step := singleTaskStep()
	step.Persistent = true
	h.storeJob(jobID(1), true, step)
	h.send(&JobsLoaded{Present: map[job.ID]bool{jobID(1): true}, Version: 20})
	effects := h.answerPoll("r1", []RunningTask{{Task: taskID(1, 0, 0), Run: 4, ProgressPercent: 100}}, nil)
	want(t, "stops", len(effectsOf[*StopTask](effects)), 0)
	effects = append(effects, h.answerPoll("r2", nil, nil)...)
	effects = append(effects, h.advance(time.Second)...)
	want(t, "starts", describeStarts(effects), []string(nil))
	h.incarnations("r1", "r2")
	effects = h.answerPoll("r1", nil, []EndedTask{{Number: 9, Task: taskID(1, 0, 0), Run: 4, Result: RunFailed}})
	want(t, "starts after the failure", describeStarts(effects), []string{taskID(1, 0, 0).String() + " 20001@r2"})
}

func TestNewOwnerWaitsForEndsOfJobsNotLoaded(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2, Loading: true})
	h.runners("r1", "r2")
	h.answerPoll("r2", nil, nil)
	ended := []EndedTask{{Number: 5, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}}
	h.answerPoll("r1", nil, ended)
	h.storeJob(jobID(1), true, singleTaskStep())
	effects := h.send(&JobsLoaded{Present: map[job.ID]bool{jobID(1): true}, Version: 20})
	want(t, "starts before the end is listed again", describeStarts(effects), []string(nil))
	effects = h.answerPoll("r1", nil, ended)
	want(t, "starts after the end is listed again", describeStarts(effects), []string(nil))
	if got := effectsOf[*FinishJob](effects); len(got) != 1 {
		t.Errorf("outcomes to store = %v, want one", got)
	}
}

// TestJobEndsWithTheSecondRunOfItsLastTask covers a task that is done while another run
// of it is still on a runner. The job ends once that run has ended.
func TestJobEndsWithTheSecondRunOfItsLastTask(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2})
	h.runners("r1", "r2")
	h.storeJob(jobID(1), true, singleTaskStep())
	h.answerPoll("r2", []RunningTask{{Task: taskID(1, 0, 0), Run: 2}}, nil)
	h.answerPoll("r1", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}})
	effects := h.answerPoll("r2", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 2, Result: RunStopped}})
	want(t, "outcomes to store", len(effectsOf[*FinishJob](effects)), 1)
}

func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	h := newHarness(t, Options{Epoch: 2, Loading: true})
	h.runners("r1", "r2")
	h.storeJob(jobID(1), true, singleTaskStep())
	h.send(&JobsLoaded{Present: map[job.ID]bool{jobID(1): true}, Version: 20})
	effects := h.answerPoll("r1", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 2, Result: RunFailed}})
	effects = append(effects, h.answerPoll("r2", nil, []EndedTask{
		{Number: 4, Task: taskID(1, 0, 0), Run: 1, Result: RunFailed},
		{Number: 5, Task: taskID(1, 0, 0), Run: 3, Result: RunFailed},
	})...)
	want(t, "starts", describeStarts(effects), []string(nil))
	if got := effectsOf[*FinishJob](effects); len(got) != 1 || got[0].Outcome.State != job.Failed {
		t.Errorf("outcomes to store = %v, want one failed job", got)
	}
}

// TestDrainCountsUnreachableTasks covers a runner that is drained while a rack is
// unreachable: the unreachable task of the same step counts against the disruption budget.
func TestDrainCountsUnreachableTasks(t *testing.T) {
	h := newHarness(t, Options{})
	step := singleTaskStep()
	step.Persistent, step.Count, step.DisruptionBudget, step.MaxPerInstance = true, 2, 1, 1
	h.runners("r1", "r2", "r3")
	for _, runner := range []RunnerID{"r1", "r2", "r3"} {
		h.answerPoll(runner, nil, nil)
	}
	placed := map[RunnerID]job.TaskID{}
	effects := h.storeJob(jobID(1), false, step)
	for _, s := range effectsOf[*StartTask](effects) {
		placed[s.Runner.ID] = s.Task
	}
	h.confirmStarts(effects)
	want(t, "polls that extend the leases", len(effectsOf[*PollRunner](h.advance(2*minPollInterval))), 2)
	var unreachable, reachable RunnerID
	for runner, task := range placed {
		h.answerPoll(runner, []RunningTask{{Task: task, Run: 1, ProgressPercent: 100}}, nil)
		unreachable, reachable = reachable, runner
	}
	for range 25 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.answerPoll(reachable, []RunningTask{{Task: placed[reachable], Run: 1, ProgressPercent: 100}}, nil)
	}
	effects = append(h.send(&RunnersCordoned{Runners: map[RunnerID]bool{reachable: true}}), h.advance(time.Millisecond)...)
	want(t, "stops while "+string(unreachable)+" is unreachable", len(effectsOf[*StopTask](effects)), 0)
}

// TestNewOwnerResolvesTerminatedRunner covers a takeover while an instance is under
// maintenance and its runner is still registered.
func TestNewOwnerResolvesTerminatedRunner(t *testing.T) {
	cases := map[string]struct {
		alive map[RunnerID]bool
		want  []string
	}{
		"terminated":   {map[RunnerID]bool{"r1": true}, []string{taskID(1, 0, 0).String() + " 10001@r1"}},
		"alive":        {map[RunnerID]bool{"r1": true, "r2": true}, nil},
		"unregistered": {map[RunnerID]bool{"r1": true, "r3": true}, nil},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{Epoch: 2, Loading: true})
			h.runners("r1", "r2")
			h.storeJob(jobID(1), true, singleTaskStep())
			h.send(&JobsLoaded{Present: map[job.ID]bool{jobID(1): true}, Version: 20})
			h.answerPoll("r1", nil, nil)
			h.send(&RunnerPolled{Runner: "r2", CallResult: Unknown, Sent: h.now})
			h.now = h.now.Add(time.Second)
			want(t, "starts", describeStarts(h.send(&IncarnationsListed{Alive: c.alive, RequestedAt: h.now})), c.want)
		})
	}
}

// TestStalledTaskRunsElsewhere covers a runner on which tasks make no progress.
func TestStalledTaskRunsElsewhere(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1", "r2")
	h.answerPoll("r1", nil, nil)
	h.answerPoll("r2", nil, nil)
	effects := h.storeJob(jobID(1), false, singleTaskStep())
	stalledRunner := effectsOf[*StartTask](effects)[0].Runner.ID
	h.confirmStarts(effects)
	var stops []*StopTask
	for range 40 {
		effects := h.answerPoll(stalledRunner, []RunningTask{{Task: taskID(1, 0, 0), Run: 1, ProgressPercent: 3}}, nil)
		stops = append(stops, effectsOf[*StopTask](append(effects, h.advance(100*time.Millisecond)...))...)
		if len(stops) > 0 {
			break
		}
	}
	if len(stops) != 1 {
		t.Fatalf("stops = %v, want one of the stalled task", stops)
	}
	h.send(&TaskStopped{Runner: stalledRunner, Task: taskID(1, 0, 0), Run: 1, CallResult: Done})
	effects = h.answerPoll(stalledRunner, nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunStopped}})
	restarts := effectsOf[*StartTask](effects)
	if len(restarts) != 1 || restarts[0].Runner.ID == stalledRunner {
		t.Errorf("starts = %v, want one on the other runner", describeStarts(effects))
	}
}

// TestRemovedRowIsLookedUp covers an outcome that a previous owner stored after its
// successor had read the job.
func TestRemovedRowIsLookedUp(t *testing.T) {
	for _, outcome := range []job.State{job.Completed, job.Cancelled} {
		h := newHarness(t, Options{Epoch: 2})
		h.storeJob(jobID(1), true, singleTaskStep())
		effects := h.send(&JobRemoved{ID: jobID(1)})
		if got := effectsOf[*LookUpOutcome](effects); len(got) != 1 {
			t.Fatalf("look-ups = %v, want one", got)
		}
		state, _ := h.pool.State(jobID(1))
		want(t, "state before the look-up", state, job.Queued)
		h.send(&JobEnded{ID: jobID(1), Outcome: job.Outcome{State: outcome, At: h.now}})
		state, _ = h.pool.State(jobID(1))
		want(t, "state after the look-up", state, outcome)
	}
}

// TestUnsentStartIsRetriedAtOnce covers a start on an instance that is down. The order
// certainly had no effect, so that the task can start elsewhere without delay.
func TestUnsentStartIsRetriedAtOnce(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1", "r2")
	h.answerPoll("r1", nil, nil)
	h.answerPoll("r2", nil, nil)
	first := effectsOf[*StartTask](h.storeJob(jobID(1), false, singleTaskStep()))[0]
	restarts := effectsOf[*StartTask](h.send(&TaskStarted{Runner: first.Runner.ID, Task: first.Task, Run: first.Run, CallResult: NotSent}))
	if len(restarts) != 1 || restarts[0].Runner.ID == first.Runner.ID {
		t.Errorf("starts = %v, want one on the other runner", restarts)
	}
}
