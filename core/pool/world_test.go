package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bronzestair/core/job"
	"bronzestair/core/process"
)

// world runs a Pool in virtual time against model runners and a model store. It
// keeps its own record of what ran, and fails the test if a promise is broken.
type world struct {
	t      testing.TB
	random *rand.Rand
	now    time.Time
	agenda agenda
	pool   *Pool
	epoch  int
	// former is the owner before, which goes on until formerUntil.
	former      *Pool
	formerUntil time.Time
	runners     []*modelRunner
	stored      map[job.ID]*storedJob
	version     RowVersion
	faults      faults
	cores       job.Milli

	ran      map[job.TaskID]int // runs that ended done
	acked    map[job.TaskID]bool
	finished map[job.ID]time.Time
	handedIn map[job.ID]time.Time
	failed   string
	// reducing is the real time that the reducer took for its events; benchmarks
	// report it.
	reducing time.Duration
	events   int
	// holds counts the calls that ask runners for ends.
	holds  int
	uplink modelLink
}

// faults are the shares of calls that go wrong.
type faults struct {
	lostBefore, lostAfter, late, storeRefused float64
}

type storedJob struct {
	record          *job.Record
	version         RowVersion
	progress        *job.Progress
	progressVersion RowVersion
}

type entry struct {
	at time.Time
	n  int
	do func()
}

type agenda struct {
	entries []entry
	n       int
}

func (a *agenda) Len() int { return len(a.entries) }
func (a *agenda) Less(i, j int) bool {
	if !a.entries[i].at.Equal(a.entries[j].at) {
		return a.entries[i].at.Before(a.entries[j].at)
	}
	return a.entries[i].n < a.entries[j].n
}
func (a *agenda) Swap(i, j int) { a.entries[i], a.entries[j] = a.entries[j], a.entries[i] }
func (a *agenda) Push(x any)    { a.entries = append(a.entries, x.(entry)) }
func (a *agenda) Pop() any {
	last := a.entries[len(a.entries)-1]
	a.entries = a.entries[:len(a.entries)-1]
	return last
}

func newWorld(t testing.TB, seed uint64, runners int, f faults) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), faults: f, cores: 8000,
		stored: map[job.ID]*storedJob{}, ran: map[job.TaskID]int{}, acked: map[job.TaskID]bool{},
		finished: map[job.ID]time.Time{}, handedIn: map[job.ID]time.Time{},
	}
	for i := range runners {
		w.runners = append(w.runners, w.newRunner(i))
	}
	w.takeOver()
	w.tick()
	return w
}

func (w *world) newRunner(n int) *modelRunner {
	return &modelRunner{
		world: w, id: RunnerID(fmt.Sprintf("r%d", n)), born: w.now,
		running: map[job.TaskID]*modelRun{}, barred: map[job.TaskID]int{},
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.agenda.n++
	heap.Push(&w.agenda, entry{at: w.now.Add(d), n: w.agenda.n, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.agenda.Len() > 0 && !w.agenda.entries[0].at.After(end) && w.failed == "" {
		next := heap.Pop(&w.agenda).(entry)
		w.now = next.at
		for _, r := range w.runners {
			r.advance()
		}
		next.do()
	}
	w.now = end
	if w.failed != "" {
		w.t.Fatal(w.failed)
	}
}

func (w *world) tick() {
	w.send(w.pool, Ticked{})
	if w.former != nil {
		w.send(w.former, Ticked{})
	}
	w.after(50*time.Millisecond, w.tick)
}

// takeOver replaces the owner by one that knows only what is stored. The former
// owner goes on for a while, as one that does not know yet.
func (w *world) takeOver() {
	w.epoch++
	w.former, w.formerUntil = w.pool, w.now.Add(800*time.Millisecond)
	w.pool = New(Options{Pool: testPool, Fence: Fence(w.epoch), Epoch: w.epoch, Loading: true}, w.now)
	w.send(w.pool, &QueuesChanged{Queues: map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}}})
	w.listRunners()
	w.load(w.pool)
}

// load hands the stored jobs over once no former owner can acknowledge ends.
func (w *world) load(p *Pool) {
	if p != w.pool {
		return
	}
	if !p.Fenced(w.now) {
		w.after(10*time.Millisecond, func() { w.load(p) })
		return
	}
	present := map[job.ID]bool{}
	for id := range w.stored {
		present[id] = true
	}
	for _, id := range sortedIDs(present) {
		s := w.stored[id]
		w.send(w.pool, &JobStored{Record: s.record, Version: s.version, Progress: s.progress, ProgressVersion: s.progressVersion, Inherited: true})
	}
	w.send(w.pool, &JobsLoaded{Present: present, Version: w.version})
}

func sortedIDs(set map[job.ID]bool) []job.ID {
	var out []job.ID
	for n := range 10_000 {
		if set[id(n)] {
			out = append(out, id(n))
		}
	}
	return out
}

func (w *world) listRunners() {
	event := &RunnersListed{}
	for _, r := range w.runners {
		if !r.dead {
			event.Runners = append(event.Runners, Runner{
				ID: r.id, Capacity: job.Resources{CPU: w.cores, Memory: 65536}, Labels: []string{"a", "rack"},
			})
		}
	}
	w.send(w.pool, event)
}

// submit stores a job and hands it to the owner.
func (w *world) submit(n int, spec job.Spec) {
	w.version++
	s := &storedJob{record: &job.Record{Pool: testPool, Queue: testQueue, ID: id(n), Spec: spec, Accepted: w.now}, version: w.version}
	w.stored[id(n)] = s
	w.handedIn[id(n)] = w.now
	w.send(w.pool, &JobStored{Record: s.record, Version: s.version})
}

func (w *world) send(p *Pool, e Event) {
	if p != w.pool && (p != w.former || w.now.After(w.formerUntil)) {
		return // a former owner's process is gone
	}
	began := time.Now()
	effects := append([]Effect(nil), p.Reduce(w.now, e)...)
	w.reducing += time.Since(began)
	w.events++
	for _, effect := range effects {
		w.perform(p, effect)
	}
}

// deliver carries a call to a runner and its answer back, or loses either.
func (w *world) deliver(r *modelRunner, size process.Bytes, do func() func(), lost func()) {
	const timeout = 500 * time.Millisecond
	oneWay := 2*time.Millisecond + w.uplink.pass(w.now, size)
	if oneWay > timeout {
		w.uplink.late++
		w.after(oneWay, func() { do() })
		w.after(timeout, lost)
		return
	}
	chance := w.random.Float64()
	f := w.faults
	switch {
	case chance < f.lostBefore || r == nil:
		w.after(500*time.Millisecond, lost)
	case chance < f.lostBefore+f.lostAfter:
		w.after(oneWay, func() { do() })
		w.after(500*time.Millisecond, lost)
	case chance < f.lostBefore+f.lostAfter+f.late:
		w.after(time.Duration(2+10*w.random.Float64())*time.Second, func() { do() })
		w.after(500*time.Millisecond, lost)
	default:
		w.after(oneWay, func() {
			if r.dead {
				w.after(500*time.Millisecond, lost)
				return
			}
			answer := do()
			w.after(oneWay, answer)
		})
	}
}

func (w *world) runner(id RunnerID) *modelRunner {
	for _, r := range w.runners {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (w *world) perform(p *Pool, effect Effect) {
	switch e := effect.(type) {
	case *StartTask:
		r := w.runner(e.Runner.ID)
		sent := w.now
		w.deliver(r, startBytes, func() func() {
			call := r.start(e)
			return func() {
				w.send(p, &TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, Call: call, Clock: r.reading(), Took: w.now.Sub(sent)})
			}
		}, func() {
			w.send(p, &TaskStarted{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, Took: w.now.Sub(sent)})
		})
	case *StopTask:
		r := w.runner(e.Runner.ID)
		w.deliver(r, stopBytes, func() func() {
			call := r.stop(e)
			return func() {
				w.send(p, &TaskStopped{Runner: e.Runner.ID, Task: e.Task, Run: e.Run, Call: call, Clock: r.reading()})
			}
		}, func() { w.send(p, &TaskStopped{Runner: e.Runner.ID, Task: e.Task, Run: e.Run}) })
	case *HoldRunner:
		w.holds++
		r := w.runner(e.Runner.ID)
		sent := w.now
		w.deliver(r, holdBytes, func() func() {
			held := r.hold(e)
			held.Sent = sent
			return func() { w.send(p, held) }
		}, func() { w.send(p, &RunnerHeld{Runner: e.Runner.ID, Sent: sent}) })
	case *StepDown:
		if p == w.pool {
			w.after(300*time.Millisecond, w.takeOver)
		}
	case *SaveJob:
		w.save(p, e.ID, e.Version, e.ProgressVersion, e.Seq, func(s *storedJob) { s.progress, s.progressVersion = e.Progress, w.version })
	case *FinishJob:
		w.save(p, e.ID, e.Version, e.ProgressVersion, e.Seq, nil)
		if e.Outcome.State != job.Completed {
			w.failed = fmt.Sprintf("job %s ends as %s", e.ID, e.Outcome.State)
		}
	}
}

// save stores progress, or an outcome if apply is nil.
func (w *world) save(p *Pool, id job.ID, version, progressVersion RowVersion, seq uint64, apply func(*storedJob)) {
	w.after(5*time.Millisecond, func() {
		s := w.stored[id]
		switch {
		case w.random.Float64() < w.faults.storeRefused:
			w.send(p, &JobSaved{ID: id, Seq: seq, Failed: true})
			return
		case s == nil:
			w.send(p, &JobEnded{ID: id, Outcome: job.Outcome{State: job.Completed, At: w.now}})
			return
		case s.version != version || s.progressVersion != progressVersion:
			w.send(p, &OwnerChanged{ID: id})
			return
		}
		w.version++
		if apply == nil {
			delete(w.stored, id)
			w.finished[id] = w.now
		} else {
			apply(s)
		}
		w.send(p, &JobSaved{ID: id, Seq: seq, Version: w.version, Finished: apply == nil})
	})
}

func (w *world) step(task job.TaskID) job.Step {
	s := w.stored[task.Job]
	if s == nil {
		w.failed = fmt.Sprintf("task %v of a finished job is started", task)
		return job.Step{}
	}
	return s.record.Spec.Steps[task.Step]
}

// checkStart holds a start against the record of the world.
func (w *world) checkStart(e *StartTask, r *modelRunner, step job.Step) {
	used := step.Demand()
	for _, run := range r.running {
		used = used.Add(run.step.Demand())
	}
	if used.CPU > w.cores {
		w.failed = fmt.Sprintf("%s gets %d of %d", r.id, used.CPU, w.cores)
	}
	if w.acked[e.Task] {
		w.failed = fmt.Sprintf("%v is started after its end was acknowledged", e.Task)
	}
	for _, other := range w.runners {
		if !other.dead && other != r && other.running[e.Task] != nil {
			w.failed = fmt.Sprintf("%v runs on %s and is started on %s", e.Task, other.id, r.id)
		}
	}
	for _, before := range step.After {
		spec := w.stored[e.Task.Job].record.Spec.Steps[before]
		for i := range spec.Count {
			if w.ran[job.TaskID{Job: e.Task.Job, Step: before, Index: i}] == 0 {
				w.failed = fmt.Sprintf("%v is started before step %d is done", e.Task, before)
			}
		}
	}
}
