package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
)

// memoryStep returns a step of one task with little CPU.
func memoryStep(memory job.MiB, runtime time.Duration) job.Step {
	return job.Step{Count: 1, Resources: job.Resources{CPU: 100, Memory: memory}, EstimatedRuntime: runtime}
}

// persistentStep returns a step of persistent tasks, at most one on an instance.
func persistentStep(count int, memory job.MiB) job.Step {
	step := memoryStep(memory, time.Second)
	step.Count, step.Persistent, step.MaxPerInstance = count, true, 1
	return step
}

// idleRunners registers runners of 65536 MiB that run nothing.
func (h *harness) idleRunners(ids ...RunnerID) {
	h.runners(ids...)
	for _, id := range ids {
		h.answerPoll(id, nil, nil)
	}
}

// fill stores a job with a task of the given memory and runtime for each runner.
func (h *harness) fill(n int, memory job.MiB, runtime time.Duration) {
	step := memoryStep(memory, runtime)
	step.Count, step.MaxPerInstance = len(h.pool.runnerOrder), 1
	h.confirmStarts(h.storeJob(jobID(n), false, step))
}

// TestInfeasibleTasksHoldNoRunner guards against review case 6 (LOST): persistent tasks that
// fit beside no other persistent one excluded all runners from placements, so that batch tasks
// never started.
func TestInfeasibleTasksHoldNoRunner(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1", "r2", "r3")
	h.confirmStarts(h.storeJob(jobID(1), false, persistentStep(3, 8192)))
	for n := 2; n <= 4; n++ {
		want(t, "starts of a task that fits nowhere", describeStarts(h.storeJob(jobID(n), false, persistentStep(1, 60000))), []string(nil))
	}
	want(t, "starts of a batch task", len(effectsOf[*StartTask](h.storeJob(jobID(5), false, singleTaskStep()))), 1)
}

// TestReservationsAreLimited guards against waiting persistent tasks that reserve every runner
// of a pool: three quarters of the runners stay open to batch tasks that outlast the wait.
func TestReservationsAreLimited(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
	h.fill(1, 16000, 5*time.Second)
	for n := 2; n <= 9; n++ {
		h.storeJob(jobID(n), false, persistentStep(1, 60000))
	}
	step := memoryStep(16000, time.Minute)
	step.Count, step.MaxPerInstance = 8, 1
	want(t, "runners open to batch tasks", len(effectsOf[*StartTask](h.storeJob(jobID(10), false, step))), 6)
}

// TestReservationIsBackfilled checks which batch tasks may use the room that a reservation
// keeps: those that end before it is needed, and those that fit beside it.
func TestReservationIsBackfilled(t *testing.T) {
	for name, c := range map[string]struct {
		step job.Step
		want int
	}{
		"ends before":   {memoryStep(16000, time.Second), 1},
		"fits beside":   {memoryStep(5000, time.Hour), 1},
		"would delay":   {memoryStep(16000, time.Hour), 0},
		"beside, stays": {persistentStep(1, 5000), 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.idleRunners("r1")
			h.fill(1, 16000, 10*time.Second)
			h.storeJob(jobID(2), false, persistentStep(1, 60000))
			want(t, "starts", len(effectsOf[*StartTask](h.storeJob(jobID(3), false, c.step))), c.want)
		})
	}
}

// TestReservationKeepsPersistentTasksOff guards against a persistent task that takes the room
// kept for another one although it has a place elsewhere.
func TestReservationKeepsPersistentTasksOff(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1", "r2")
	h.fill(1, 16000, 10*time.Second)
	h.storeJob(jobID(2), false, persistentStep(1, 60000))
	starts := describeStarts(h.storeJob(jobID(3), false, persistentStep(1, 16000)))
	want(t, "starts", starts, []string{taskID(3, 0, 0).String() + " 1@r2"})
	h.answerPoll("r2", []RunningTask{{Task: taskID(3, 0, 0), Run: 1}}, []EndedTask{{Number: 1, Task: taskID(1, 0, 1), Run: 1, Result: RunDone}})
	effects := h.answerPoll("r1", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}})
	want(t, "starts once the room is free", describeStarts(effects), []string{taskID(2, 0, 0).String() + " 1@r1"})
}

// TestOverdueReservationIsGivenUp guards against a runner that is kept without end for a
// persistent task because a batch task there runs far longer than estimated.
func TestOverdueReservationIsGivenUp(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1")
	h.fill(1, 16000, 2*time.Second)
	h.storeJob(jobID(2), false, persistentStep(1, 60000))
	long := h.storeJob(jobID(3), false, memoryStep(16000, time.Hour))
	want(t, "starts while the runner is reserved", describeStarts(long), []string(nil))
	var starts []string
	for range 70 { // up to 7 s, in which the task of 2 s makes slow progress
		progress := int(h.now.UnixMilli() / 100 % 100)
		effects := h.answerPoll("r1", []RunningTask{{Task: taskID(1, 0, 0), Run: 1, ProgressPercent: progress}}, nil)
		starts = append(starts, describeStarts(append(effects, h.advance(100*time.Millisecond)...))...)
	}
	want(t, "starts after the expected wait has passed twice", starts, []string{taskID(3, 0, 0).String() + " 1@r1"})
}

// TestReservationYieldsTheOnlyPlace guards against a persistent task that waits for the
// reservation of another one although no other runner may ever run it: its siblings hold the
// rest. A limit on the number of reservations does not prevent this.
func TestReservationYieldsTheOnlyPlace(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1", "r2")
	h.fill(1, 10000, 10*time.Second)
	h.storeJob(jobID(2), false, persistentStep(1, 56000))
	starts := effectsOf[*StartTask](h.storeJob(jobID(3), false, persistentStep(2, 30000)))
	runners := map[RunnerID]bool{}
	for _, s := range starts {
		runners[s.Runner.ID] = true
	}
	want(t, "runners of the spread tasks", runners, map[RunnerID]bool{"r1": true, "r2": true})
}

// TestReservationRequiresATicket guards against a runner that is kept for a task which may not
// run there: room is not what the task lacks.
func TestReservationRequiresATicket(t *testing.T) {
	h := newHarness(t, Options{})
	h.send(&QueuesChanged{Queues: map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 3}, "advised": {MaxAttempts: 3, RequiresTickets: true}}})
	h.idleRunners("r1", "r2")
	h.fill(1, 10000, 10*time.Second)
	effects := h.send(&JobStored{Version: 11, Record: &job.Record{
		Pool: testPool, Queue: "advised", ID: jobID(2), Accepted: h.now, Spec: job.Spec{Steps: []job.Step{persistentStep(1, 60000)}},
	}})
	request := effectsOf[*RequestTickets](effects)[0]
	h.send(&TicketsReceived{Step: request.Step, Tickets: map[RunnerID]string{"r2": "ticket"}, ValidFor: time.Minute})
	starts := describeStarts(h.storeJob(jobID(3), false, memoryStep(16000, time.Hour)))
	want(t, "starts of a long task", starts, []string{taskID(3, 0, 0).String() + " 1@r1"})
}

// TestGangIsNotStarved guards against short tasks that fill each gap of a busy pool, so that a
// gang never finds room for all its members at once.
func TestGangIsNotStarved(t *testing.T) {
	sim := newSimulation(t, 5, 4, faults{})
	short := job.Spec{Steps: []job.Step{{Count: 4, Resources: job.Resources{CPU: 4000, Memory: 64}, EstimatedRuntime: time.Second}}}
	for n := range 120 {
		sim.after(time.Duration(n)*250*time.Millisecond, func() { sim.submit(n, short) })
	}
	gang := job.Spec{Steps: []job.Step{{Count: 4, Gang: true, Resources: job.Resources{CPU: 8000, Memory: 64}, EstimatedRuntime: time.Second}}}
	const gangJob = 1000
	sim.after(2*time.Second, func() { sim.submit(gangJob, gang) })
	sim.run(30 * time.Second)
	finished, ok := sim.finishedAt[jobID(gangJob)]
	if !ok {
		t.Fatalf("the gang has not run after 28 s beside short tasks, %d jobs are finished", len(sim.finishedAt))
	}
	t.Log(fmt.Sprint("the gang was done after ", finished.Sub(sim.submittedAt[jobID(gangJob)])))
}
