package pool

import (
	"strings"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
	"bronzestair/core/quota"
)

const testOrganisation job.Organisation = "weaver"

// newCappedHarness returns a harness whose pool has all floors, which are half of the cap.
func newCappedHarness(t *testing.T, o Options, limit job.Resources) *harness {
	t.Helper()
	h := newHarness(t, o)
	h.setCap(limit)
	return h
}

func (h *harness) setCap(limit job.Resources) {
	h.t.Helper()
	directory, err := organisation.NewDirectory([]organisation.Credentials{
		{Organisation: organisation.Organisation{Name: testOrganisation, Weight: 1, Cap: limit}},
		{Organisation: organisation.Organisation{Name: "other", Weight: 1}},
	})
	if err != nil {
		h.t.Fatal(err)
	}
	h.send(&QueuesChanged{
		Queues:        map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 3, Stretch: 2, LatencyTarget: time.Second}},
		Organisations: directory, Floor: quota.FloorShare{Fraction: 1},
	})
}

// storeJobOf passes a stored job of an organisation to the pool.
func (h *harness) storeJobOf(name job.Organisation, n int, steps ...job.Step) []Effect {
	return h.send(&JobStored{
		Record:  &job.Record{Pool: testPool, Queue: testQueue, Organisation: name, ID: jobID(n), Spec: job.Spec{Steps: steps}, Accepted: h.now},
		Version: 11,
	})
}

// lend passes a lease of CPU to the pool.
func (h *harness) lend(cpu job.MilliCPU, wholeTask bool) []Effect {
	return h.send(&OrganisationsSynced{Leases: map[job.Organisation]OrganisationLease{
		testOrganisation: {Lent: job.Resources{CPU: cpu}, Until: h.now.Add(quota.LeaseTime), WholeTask: wholeTask},
	}})
}

func (h *harness) load() OrganisationLoad {
	for _, load := range h.pool.Report(h.now).Organisations {
		if load.Organisation == testOrganisation {
			return load
		}
	}
	return OrganisationLoad{}
}

func tasksOf(count int, cpu job.MilliCPU) job.Step {
	return job.Step{Count: count, Resources: job.Resources{CPU: cpu}, EstimatedRuntime: time.Second}
}

// TestStartsStayWithinFloorAndLease guards against starts beyond what the pool may use, also after
// a lease has expired, and against waiting demand that the lender does not learn of.
func TestStartsStayWithinFloorAndLease(t *testing.T) {
	h := newCappedHarness(t, Options{}, job.Resources{CPU: 4000})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	started := len(effectsOf[*StartTask](h.storeJobOf(testOrganisation, 1, tasksOf(8, 1000))))
	want(t, "starts under the floor", started, 2)
	want(t, "load", h.load(), OrganisationLoad{
		Organisation: testOrganisation, Used: job.Resources{CPU: 2000}, Waiting: job.Resources{CPU: 6000},
	})
	want(t, "starts under the lease", len(effectsOf[*StartTask](h.lend(1999, false))), 1)
	want(t, "lease in the report", h.load().Lent, job.Resources{CPU: 1999})
	h.lend(0, false)
	want(t, "use after the lease was lowered", h.load().Used, job.Resources{CPU: 3000})
	h.lend(2000, false)
	h.now = h.now.Add(quota.LeaseTime)
	h.answerPoll("r1", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}})
	want(t, "use after a task has ended under an expired lease", h.load().Used, job.Resources{CPU: 3000})
	want(t, "expired lease in the report", h.load().Lent, job.Resources{})
}

// TestJobBehindItsCapDoesNotHoldUpOthers guards against a dispatch that ends at the first step
// that waits for its cap.
func TestJobBehindItsCapDoesNotHoldUpOthers(t *testing.T) {
	h := newCappedHarness(t, Options{}, job.Resources{CPU: 1000})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	want(t, "starts of the capped job", len(effectsOf[*StartTask](h.storeJobOf(testOrganisation, 1, tasksOf(1, 1000)))), 0)
	want(t, "starts of another organisation", len(effectsOf[*StartTask](h.storeJobOf("other", 2, tasksOf(4, 1000)))), 4)
	want(t, "starts without an organisation", len(effectsOf[*StartTask](h.storeJobOf("", 3, tasksOf(4, 1000)))), 4)
}

// TestUnitsOfCaps guards against best-effort tasks that count without their CPU, a gang that starts
// in part, a second task beyond the lease, and a task larger than the cap that never runs.
func TestUnitsOfCaps(t *testing.T) {
	bestEffort, gang := tasksOf(3, 1000), tasksOf(3, 1000)
	bestEffort.BestEffort, gang.Gang = true, true
	for _, c := range []struct {
		name      string
		step      job.Step
		lent      job.MilliCPU
		wholeTask bool
		starts    int
	}{
		{"best effort", bestEffort, 0, false, 2},
		{"part of a gang", gang, 999, false, 0},
		{"whole gang", gang, 1000, false, 3},
		{"one task beyond the lease", tasksOf(8, 1500), 0, true, 2},
		{"a task beyond the cap", tasksOf(2, 9000), 0, true, 1},
		{"a task beyond the cap without permission", tasksOf(2, 9000), 2000, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newCappedHarness(t, Options{}, job.Resources{CPU: 4000})
			h.runners("r1", "r2")
			h.answerPoll("r1", nil, nil)
			h.answerPoll("r2", nil, nil)
			h.lend(c.lent, c.wholeTask)
			want(t, "starts", len(effectsOf[*StartTask](h.storeJobOf(testOrganisation, 1, c.step))), c.starts)
		})
	}
}

// TestGangBehindItsCapHoldsNoRoom guards against a reservation that is kept for a gang that waits
// for its cap.
func TestGangBehindItsCapHoldsNoRoom(t *testing.T) {
	h := newCappedHarness(t, Options{}, job.Resources{CPU: 64000})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	h.confirmStarts(h.storeJobOf("other", 1, tasksOf(1, 8000)))
	gang := tasksOf(2, 8000)
	gang.Gang = true
	h.storeJobOf(testOrganisation, 2, gang)
	want(t, "reservations before the cap is lowered", len(h.pool.reservations), 1)
	h.setCap(job.Resources{CPU: 10000})
	h.advance(time.Millisecond)
	want(t, "reservations while the gang waits for the cap", len(h.pool.reservations), 0)
}

// TestNewOwnerCountsUnresolvedRunners covers the failures "owner of a pool lost" and "briefly two
// owners": what a previous owner may have running counts until each runner has answered.
func TestNewOwnerCountsUnresolvedRunners(t *testing.T) {
	h := newCappedHarness(t, Options{Epoch: 2}, job.Resources{CPU: 40000, Memory: 400000})
	want(t, "use before the runners are listed", h.load().Used, quota.Unknown)
	h.runners("r1", "r2")
	h.incarnations("r1", "r2", "r3")
	capacity := job.Resources{CPU: 16000, Memory: 65536}
	want(t, "use with one runner unregistered", h.load().Used, times(capacity, 3))
	h.incarnations("r1", "r2")
	h.answerPoll("r1", nil, nil)
	want(t, "use with one runner unresolved", h.load().Used, capacity)
	want(t, "starts with one runner unresolved", len(effectsOf[*StartTask](h.storeJobOf(testOrganisation, 1, tasksOf(8, 1000)))), 4)
	effects := h.answerPoll("r2", nil, nil)
	want(t, "starts once all runners have answered", len(effectsOf[*StartTask](effects)), 4)
	want(t, "use once all runners have answered", h.load().Used, job.Resources{CPU: 8000})
}

// TestUnknownRunsCountAsWholeRunner guards against runs that are being stopped and are not counted.
func TestUnknownRunsCountAsWholeRunner(t *testing.T) {
	h := newCappedHarness(t, Options{}, job.Resources{CPU: 16000})
	h.runners("r1")
	h.answerPoll("r1", []RunningTask{{Task: taskID(9, 0, 0), Run: 1}}, nil)
	want(t, "use", h.load().Used, job.Resources{CPU: 16000, Memory: 65536})
	h.advance(minPollInterval)
	h.answerPoll("r1", nil, nil)
	want(t, "use after the stop", h.load().Used, job.Resources{})
}

// TestLateStartCounts covers the failure "delegate late": a start counts from its decision until its
// refusal or end is known, also while it is being stopped.
func TestLateStartCounts(t *testing.T) {
	h := newCappedHarness(t, Options{}, job.Resources{CPU: 4000})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	h.storeJobOf(testOrganisation, 1, tasksOf(2, 1000))
	used := func(label string, n job.MilliCPU) {
		t.Helper()
		want(t, label, h.load().Used, job.Resources{CPU: n})
	}
	used("use before any answer", 2000)
	h.send(&TaskStarted{Runner: "r1", Task: taskID(1, 0, 0), Run: 1, CallResult: RefusedInvalid, Sent: h.now})
	used("use after a refusal", 1000)
	late := taskID(1, 0, 1)
	for range maxStartOrders {
		h.send(&TaskStarted{Runner: "r1", Task: late, Run: 1, CallResult: Unknown, Sent: h.now})
		used("use after a start without an answer", 1000)
	}
	want(t, "state of the task", h.pool.jobs[jobID(1)].task(late).state, stopping)
	h.send(&JobEnded{ID: jobID(1), Outcome: job.Outcome{State: job.Cancelled}})
	used("use after the job was cancelled", 1000)
	h.now = h.now.Add(stopRetryDelay)
	h.send(&TaskStopped{Runner: "r1", Task: late, Run: 1, CallResult: Done, Sent: h.now})
	used("use after the stop, before a list shows that the run is not there", 1000)
	h.now = h.now.Add(minPollInterval)
	h.answerPoll("r1", nil, nil)
	used("use once the runner lists it no longer", 0)
}

// TestLoweredCapStopsNothing covers the failure "cap lowered below current usage".
func TestLoweredCapStopsNothing(t *testing.T) {
	h := newCappedHarness(t, Options{}, job.Resources{CPU: 8000})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	h.confirmStarts(h.storeJobOf(testOrganisation, 1, tasksOf(6, 1000)))
	want(t, "use under the first cap", h.load().Used, job.Resources{CPU: 4000})
	h.setCap(job.Resources{CPU: 2000})
	want(t, "stops", len(effectsOf[*StopTask](h.advance(time.Millisecond))), 0)
	h.answerPoll("r1", []RunningTask{{Task: taskID(1, 0, 3), Run: 1}}, []EndedTask{
		{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone},
		{Number: 2, Task: taskID(1, 0, 1), Run: 1, Result: RunDone},
		{Number: 3, Task: taskID(1, 0, 2), Run: 1, Result: RunDone},
	})
	want(t, "use under the new floor", h.load().Used, job.Resources{CPU: 1000})
}

// TestCapWaitIsLogged guards against a job that waits for its cap without a log line, and against
// a line for each of many jobs.
func TestCapWaitIsLogged(t *testing.T) {
	h := newCappedHarness(t, Options{}, job.Resources{CPU: 1000})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	lines := func() (out []string) {
		for _, effect := range h.pool.effects {
			if e, ok := effect.(*LogDecision); ok && e.Decision == "capReached" {
				out = append(out, string(e.Job)+" "+e.Reason)
			}
		}
		return out
	}
	h.storeJobOf(testOrganisation, 1, tasksOf(1, 1000))
	if got := lines(); len(got) != 1 || !strings.Contains(got[0], "organisation weaver: needs 1000/0/0") {
		t.Errorf("log lines = %q, want one of the first job", got)
	}
	for n := range 10 {
		h.storeJobOf(testOrganisation, 2+n, tasksOf(1, 1000))
		want(t, "lines of a further job", len(lines()), 0)
	}
	h.now = h.now.Add(capLogInterval)
	h.storeJobOf(testOrganisation, 20, tasksOf(1, 1000))
	if got := lines(); len(got) != 1 || !strings.Contains(got[0], "10 further jobs") {
		t.Errorf("log lines = %q, want one that counts the jobs before", got)
	}
}

// TestNoReportWithoutOrganisations guards against work and messages of a configuration that names
// no organisations.
func TestNoReportWithoutOrganisations(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	h.storeJob(jobID(1), false, singleTaskStep())
	want(t, "loads", h.pool.Report(h.now).Organisations, []OrganisationLoad(nil))
}
