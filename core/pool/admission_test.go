package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"bronzestair/core/job"
)

// submitEvenly submits n jobs of an organisation over a period and returns how many are in
// excess and how many are to be refused.
func submitEvenly(a *Admission, from time.Time, period time.Duration, n int, name job.Organisation) (excess, refused int) {
	for i := range n {
		e, r := a.Submit(from.Add(time.Duration(i)*period/time.Duration(n)), name)
		if e {
			excess++
		}
		if r {
			refused++
		}
	}
	return excess, refused
}

// TestExcessBeginsBeyondTheWeight guards against jobs within the rate of their organisation that
// count as excess, and against a rate that each pool grants in full.
func TestExcessBeginsBeyondTheWeight(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const weight, seconds = 20, 10
	for _, c := range []struct {
		name                 string
		organisation         job.Organisation
		perSecond            int
		elsewhere            float64
		elsewhereAge         time.Duration
		minExcess, maxExcess int
	}{
		{"at the weight", "o0", weight, 0, 0, 0, 0},
		{"three times the weight", "o0", 3 * weight, 0, 0, (3*seconds-seconds-1)*weight - 1, (3*seconds - seconds) * weight},
		{"without an organisation", "", 3 * weight, 0, 0, 0, 0},
		{"organisation that is not configured", "gone", 3 * weight, 0, 0, 0, 0},
		{"half of the weight beside half", "o0", weight / 2, weight / 2, 0, 0, 0},
		{"the weight beside the weight", "o0", weight, weight, 0, seconds*weight/2 - 2*weight, seconds * weight / 2},
		{"the weight beside a rate that is too old", "o0", weight, weight, 2 * time.Second, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a Admission
			d := directory(t, weight, 1)
			excess := 0
			for s := range seconds {
				from := now.Add(time.Duration(s) * time.Second)
				// The rates elsewhere are renewed each second, before they are too old.
				for half := range 2 {
					at := from.Add(time.Duration(half) * time.Second / 2)
					a.Update(AdmissionState{
						Organisations: d, ElsewhereAt: at.Add(-c.elsewhereAge),
						Elsewhere: map[job.Organisation]OrganisationLease{"o0": {Elsewhere: c.elsewhere}},
					})
					e, refused := submitEvenly(&a, at, time.Second/2, c.perSecond/2, c.organisation)
					excess += e
					want(t, "refused by a pool with room", refused, 0)
				}
			}
			if excess < c.minExcess || excess > c.maxExcess {
				t.Errorf("%d of %d jobs are in excess, want %d to %d", excess, c.perSecond*seconds, c.minExcess, c.maxExcess)
			}
		})
	}
}

// TestRefusedCallersReturnAtTheWeight guards against refused callers that return all at once, or
// sooner the more they are.
func TestRefusedCallersReturnAtTheWeight(t *testing.T) {
	const weight, callers = 20, 400
	now := time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	var a Admission
	a.Update(AdmissionState{Full: true, Organisations: directory(t, weight)})
	perSecond := map[time.Duration]int{}
	admitted := 0
	for i := range callers {
		excess, refused := a.Submit(now, "o0")
		want(t, "refused by a full pool", refused, excess)
		if !refused {
			admitted++
			continue
		}
		r := a.Refuse(now, "o0", random.Float64())
		perSecond[r.RetryAfter/time.Second]++
		if i == callers-1 && r.RetryAfter < callers/weight/2*time.Second {
			t.Errorf("the last of %d callers may return after %v already", callers, r.RetryAfter)
		}
	}
	want(t, "jobs within the burst", admitted, weight)
	for second, n := range perSecond {
		if n > 2*weight {
			t.Errorf("%d callers return in second %d, the weight is %d", n, second, weight)
		}
	}
	want(t, "callers of the first second", perSecond[0], 0)
	want(t, "rates", a.Rates(now), map[job.Organisation]float64{"o0": callers})
	want(t, "rates after two seconds", a.Rates(now.Add(2*time.Second)), map[job.Organisation]float64{})
}

// TestPoolIsFullWhileGuaranteedWorkWaits guards against refusals while the pool has room, or for
// work that has no claim to room: excess jobs, persistent tasks, tasks that fit on no runner.
func TestPoolIsFullWhileGuaranteedWorkWaits(t *testing.T) {
	whole := func() job.Step {
		step := singleTaskStep()
		step.CPU = 16_000
		return step
	}
	for _, c := range []struct {
		name   string
		change func(*job.Step)
		excess bool
		full   bool
	}{
		{"waiting job", func(*job.Step) {}, false, true},
		{"excess job", func(*job.Step) {}, true, false},
		{"persistent task", func(s *job.Step) { s.Persistent = true }, false, false},
		{"task larger than a runner", func(s *job.Step) { s.CPU = 17_000 }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.send(&QueuesChanged{Queues: h.pool.queues, Organisations: directory(t, 1, 1)})
			h.runners("r1")
			h.answerPoll("r1", nil, nil)
			h.confirmStarts(h.storeJob(jobID(1), false, whole()))
			step := whole()
			c.change(&step)
			h.send(&JobStored{Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(2), Spec: job.Spec{Steps: []job.Step{step}}, Accepted: h.now}, Version: 12, Excess: c.excess})
			published := func(d time.Duration) bool {
				t.Helper()
				var last *PublishAdmission
				for end := h.now.Add(d); h.now.Before(end); {
					for _, p := range effectsOf[*PublishAdmission](h.advance(10 * time.Millisecond)) {
						last = p
					}
				}
				if last == nil {
					t.Fatal("no state is published")
				}
				return last.State.Full
			}
			want(t, "full at once", published(10*time.Millisecond), false)
			want(t, "full after a while", published(2*fullAfter), c.full)
			h.answerPoll("r1", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}})
			want(t, "full after the room has come free", published(10*time.Millisecond), c.full)
			want(t, "full a while later", published(2*roomAfter), false)
		})
	}
}

// TestNothingIsPublishedWithoutOrganisations guards against work on each tick for a
// configuration that names no organisations.
func TestNothingIsPublishedWithoutOrganisations(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	want(t, "published", len(effectsOf[*PublishAdmission](h.advance(time.Second))), 0)
	want(t, "loads", h.pool.Report(h.now).Organisations, []OrganisationLoad(nil))
}

// TestReportOfOrganisations checks what a report says of each organisation. Tasks that wait for
// room and not for a cap are not part of it, as a larger lease would not let them start.
func TestReportOfOrganisations(t *testing.T) {
	h := newHarness(t, Options{})
	h.send(&QueuesChanged{Queues: h.pool.queues, Organisations: directory(t, 1, 1, 1)})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	for n, name := range []job.Organisation{"o1", "o0", ""} {
		step := singleTaskStep()
		step.Count, step.CPU = 2, 7000
		h.send(&JobStored{Record: &job.Record{
			Pool: testPool, Queue: testQueue, Organisation: name, ID: jobID(n + 1), Spec: job.Spec{Steps: []job.Step{step}}, Accepted: h.now,
		}, Version: RowVersion(n + 1)})
	}
	h.send(&SubmissionsCounted{PerSecond: map[job.Organisation]float64{"o1": 3, "o2": 5}})
	want(t, "loads", h.pool.Report(h.now).Organisations, []OrganisationLoad{
		{Organisation: "o1", Used: job.Resources{CPU: 14_000, Memory: 200}, Arriving: 3},
		{Organisation: "o2", Arriving: 5},
	})
	want(t, "counts", h.pool.CountJobs(), map[job.Organisation]JobCounts{"o1": {Waiting: 1}, "o0": {Waiting: 1}, "": {Waiting: 1}})
}
