package pool

import (
	"fmt"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/organisation"
	"bronzestair/core/quota"
)

// cappedPool is a pool that gets leases from a lender.
type cappedPool struct {
	pool    *Pool
	holder  quota.Holder
	runners []RunnerID
	running map[job.TaskID]cappedRun
	ended   map[RunnerID][]EndedTask
	number  map[RunnerID]int64
}

// cappedRun is a run on a runner of a cappedPool.
type cappedRun struct {
	runner RunnerID
	run    int
	need   job.Resources
	endsAt time.Time
}

const cappedRuntime = 800 * time.Millisecond

func newCappedPool(now time.Time, name job.PoolName, directory *organisation.Directory, floor quota.FloorShare) *cappedPool {
	c := &cappedPool{pool: New(Options{Pool: name, Fence: 1, Epoch: 1}, now), running: map[job.TaskID]cappedRun{}, ended: map[RunnerID][]EndedTask{}, number: map[RunnerID]int64{}}
	var list []Runner
	for n := range 4 {
		id := RunnerID(fmt.Sprint(name, "-", n))
		c.runners = append(c.runners, id)
		list = append(list, Runner{ID: id, Address: string(id), Capacity: job.Resources{CPU: 64000, Memory: 65536}})
	}
	queues := map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 3, Stretch: 2, LatencyTarget: time.Minute}}
	c.carryOut(now, c.pool.Reduce(now, &QueuesChanged{Queues: queues, Organisations: directory, Floor: floor}, &RunnersListed{Runners: list}))
	return c
}

// carryOut answers the calls among the effects at once.
func (c *cappedPool) carryOut(now time.Time, effects []Effect) {
	var answers []Event
	for _, effect := range effects {
		switch e := effect.(type) {
		case *StartTask:
			c.running[e.Task] = cappedRun{runner: e.Runner.ID, run: e.Run, need: c.pool.jobs[e.Task.Job].record.Spec.Steps[0].Resources, endsAt: now.Add(cappedRuntime)}
			answers = append(answers, &TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, CallResult: Done, Sent: now})
		case *PollRunner:
			answer := &RunnerPolled{Runner: e.Runner.ID, CallResult: Done, Sent: now, Clock: ClockReading{Clock: RunnerClock(time.Hour), At: now}, Born: time.Unix(1, 0), Ended: c.ended[e.Runner.ID]}
			for id, run := range c.running {
				if run.runner == e.Runner.ID {
					answer.Running = append(answer.Running, RunningTask{Task: id, Run: run.run})
				}
			}
			answers = append(answers, answer)
		case *FinishJob:
			answers = append(answers, &JobSaved{ID: e.ID, Seq: e.Seq, Version: 12, Finished: true})
		case *SaveProgress:
			answers = append(answers, &JobSaved{ID: e.ID, Seq: e.Seq, Version: 12})
		}
	}
	if len(answers) > 0 {
		c.carryOut(now, c.pool.Reduce(now, answers...))
	}
}

// tick ends the runs that are due.
func (c *cappedPool) tick(now time.Time) {
	for id, run := range c.running {
		if !now.Before(run.endsAt) {
			delete(c.running, id)
			c.number[run.runner]++
			c.ended[run.runner] = append(c.ended[run.runner], EndedTask{Number: c.number[run.runner], Task: id, Run: run.run, Result: RunDone})
		}
	}
	c.carryOut(now, c.pool.Reduce(now, Ticked{}))
}

func (c *cappedPool) cpu() job.MilliCPU {
	sum := job.MilliCPU(0)
	for _, run := range c.running {
		sum += run.need.CPU
	}
	return sum
}

// sync exchanges leases and a report with the lender.
func (c *cappedPool) sync(now time.Time, lender *quota.Lender, name job.PoolName, request quota.Request) {
	c.holder.Apply(now, request)
	event := &OrganisationsSynced{Leases: map[job.Organisation]OrganisationLease{}}
	for organisation, lease := range c.holder.Leases() {
		event.Leases[organisation] = OrganisationLease{Lent: lease.Lent, Until: lease.Until, WholeTask: lease.WholeTask}
	}
	c.carryOut(now, c.pool.Reduce(now, event))
	report := quota.Report{Fence: 1, Recovered: true, Capacity: 4 * 64000, Loads: map[job.Organisation]quota.Load{}}
	for _, load := range c.pool.Report(now).Organisations {
		report.Loads[load.Organisation] = quota.Load{Used: load.Used, Waiting: load.Waiting, Lent: load.Lent}
	}
	c.holder.Answered(now, request.Call)
	lender.Reported(now, name, request.Number, report)
}

// TestCapFollowsRotatingDemand plays peaks that rotate over four pools. It guards against an
// organisation that exceeds its cap by more than a task, and against leases that follow its demand
// so slowly that it uses little of its cap.
func TestCapFollowsRotatingDemand(t *testing.T) {
	const (
		limit    job.MilliCPU = 100_000
		taskCPU  job.MilliCPU = 6200
		peak                  = 4500 * time.Millisecond
		interval              = 250 * time.Millisecond
		step                  = 50 * time.Millisecond
		settling              = 6 * time.Second
		// reachable is what the busy pool may use: the floors of the three others stay theirs.
		reachable = 1 - 3*0.125
		minUsed   = 0.95 * reachable
	)
	directory, err := organisation.NewDirectory([]organisation.Credentials{{Organisation: organisation.Organisation{Name: testOrganisation, Weight: 1, Cap: job.Resources{CPU: limit}}}})
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Unix(1_000_000, 0)
	lender := quota.NewLender(1, begin)
	names := []job.PoolName{"a", "b", "c", "d"}
	var floors quota.Floors
	floors.Configure(begin, names)
	pools := map[job.PoolName]*cappedPool{}
	var lent []quota.Pool
	for _, name := range names {
		pools[name] = newCappedPool(begin, name, directory, floors.Share(begin, name))
		lent = append(lent, quota.Pool{Name: name, Floor: floors.Largest(begin, name)})
	}
	jobs, samples, used, most := 0, 0, 0.0, job.MilliCPU(0)
	for now := begin; now.Sub(begin) < settling+8*peak; now = now.Add(step) {
		if now.Sub(begin)%interval == 0 {
			lender.Configure(now, lent, []quota.Organisation{{Name: testOrganisation, Cap: job.Resources{CPU: limit}}})
			for name, request := range lender.Plan(now) {
				pools[name].sync(now, lender, name, request)
			}
		}
		busy := names[int(now.Sub(begin)/peak)%len(names)]
		for _, name := range names {
			c := pools[name]
			for name == busy && c.pool.Report(now).ReadyCPU < 2*limit {
				jobs++
				c.carryOut(now, c.pool.Reduce(now, &JobStored{Version: 11, Record: &job.Record{
					Pool: name, Queue: testQueue, Organisation: testOrganisation, ID: jobID(jobs), Accepted: now,
					Spec: job.Spec{Steps: []job.Step{tasksOf(8, taskCPU)}},
				}}))
			}
			c.tick(now)
		}
		sum := job.MilliCPU(0)
		for _, c := range pools {
			sum += c.cpu()
		}
		most = max(most, sum)
		if now.Sub(begin) > settling {
			used += float64(sum) / float64(limit)
			samples++
		}
	}
	if most > limit+taskCPU {
		t.Errorf("%d was running at most, the cap is %d and a task takes %d", most, limit, taskCPU)
	}
	mean := used / float64(samples)
	t.Logf("%d jobs; %d running at most, %.3f of the cap in use on average", jobs, most, mean)
	if mean < minUsed {
		t.Errorf("%.3f of the cap is in use, want %.3f", mean, minUsed)
	}
}
