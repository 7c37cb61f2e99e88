package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval between two registrations of a runner.
	heartbeat = 1500 * time.Millisecond
	// maxLease is the longest lease that a runner grants, hold_max_ms.
	maxLease = 10 * time.Second
	// stopTime is how long a stop takes.
	stopTime = 150 * time.Millisecond
	// startUp is the time from the start of a work unit that lasts until it is at work.
	startUp = 300 * time.Millisecond
	// maxEnds is the most ends in one list.
	maxEnds = 500
)

// run is a run of a work unit on a runner.
type run struct {
	unit      string
	number    int
	step      *step
	began     time.Time
	stoppedAt time.Time
	// fails is how long after its start the run ends failed, 0 for never.
	fails time.Duration
}

// end is an end that is listed until it is acknowledged.
type end struct {
	number int64
	run    *run
	how    string
}

// runner stands in for one life of a runner.
type runner struct {
	world                *world
	id, machine, service string
	zone, rack, address  string
	born                 time.Time
	cpu, memory          int

	mu      sync.Mutex
	gone    bool // the machine was taken down
	fence   uint64
	until   time.Duration // on the runner's clock
	running map[string]*run
	ended   []end
	nextEnd int64
	lastRun map[string]int
	changed chan struct{}
}

// start serves the runner on a free port and registers it.
func (r *runner) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.born = time.Now()
	r.running, r.lastRun, r.changed, r.nextEnd = map[string]*run{}, map[string]int{}, make(chan struct{}), 1
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.call((*runner).runStart))
	mux.HandleFunc("POST /run-stop", r.call((*runner).runStop))
	mux.HandleFunc("POST /hold", r.call((*runner).hold))
	mux.HandleFunc("POST /pace", r.call(func(*runner, *http.Request, *order) (int, map[string]any) {
		return http.StatusOK, map[string]any{}
	}))
	go func() { _ = http.Serve(l, mux) }()
	go r.report()
	go r.work()
	return nil
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// report registers the runner in the store at each heartbeat.
func (r *runner) report() {
	for {
		r.mu.Lock()
		gone := r.gone
		r.mu.Unlock()
		if gone {
			r.world.store.write("servers", r.id, nil)
			return
		}
		r.world.store.write("servers", r.id, map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.memory, "gpu": 0},
			"labels": []string{"a", r.rack}, "seq": r.clock().Milliseconds(), "born": r.born.UnixMilli(),
		})
		time.Sleep(heartbeat)
	}
}

// work ends the runs that are due.
func (r *runner) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			return
		}
		for _, u := range r.running {
			worked := time.Since(u.began)
			switch {
			case r.clock() >= r.until:
				r.finish(u, "lapsed")
			case !u.stoppedAt.IsZero():
				if time.Since(u.stoppedAt) > stopTime {
					r.finish(u, "stopped")
				}
			case u.fails > 0 && worked >= u.fails:
				r.finish(u, "failed")
			case !u.step.Persistent && worked >= u.step.takes:
				r.finish(u, "done")
			}
		}
		r.mu.Unlock()
	}
}

// finish ends a run. The caller holds the lock.
func (r *runner) finish(u *run, how string) {
	delete(r.running, u.unit)
	r.lastRun[u.unit] = max(r.lastRun[u.unit], u.number)
	r.ended = append(r.ended, end{r.nextEnd, u, how})
	r.nextEnd++
	r.world.record.ended(r, u, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// order is the body of a call to a runner.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	UntilMS   int64  `json:"until_ms"`
	Fence     uint64 `json:"fence"`
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
}

// call returns the handler of an order.
func (r *runner) call(execute func(*runner, *http.Request, *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var o order
		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			respond(w, http.StatusBadRequest, map[string]string{"reason": "malformed"})
			return
		}
		if id := request.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
			respond(w, http.StatusMisdirectedRequest, map[string]string{})
			return
		}
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= r.fence {
			r.fence = o.Fence
			status, body = execute(r, request, &o)
		}
		body["clock_ms"] = r.clock().Milliseconds()
		r.mu.Unlock()
		respond(w, status, body)
	}
}

// takeDown ends the runner and all that runs on it.
func (r *runner) takeDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	for _, u := range r.running {
		r.world.record.ended(r, u, "lost with its machine")
	}
	r.running = nil
}

// extend extends the lease of all that runs here. The caller holds the lock, also below.
func (r *runner) extend(untilMS int64) {
	r.until = max(r.until, min(time.Duration(untilMS)*time.Millisecond, r.clock()+maxLease))
}

// used returns what the runs take of the capacity, those that are being stopped included.
func (r *runner) used() (cpu, memory int) {
	for _, u := range r.running {
		cpu += u.step.CPU
		memory += u.step.MemMB
	}
	return cpu, memory
}

func (r *runner) runStart(_ *http.Request, o *order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		r.world.record.note("runner %s refuses %s run %d: %s", r.id, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if u := r.running[o.Task]; u != nil && u.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if time.Duration(o.UntilMS)*time.Millisecond <= r.clock() {
		return refuse("late")
	}
	r.extend(o.UntilMS)
	if o.Run <= r.lastRun[o.Task] || r.running[o.Task] != nil {
		return refuse("old")
	}
	s := r.world.step(o.Task)
	if s == nil {
		r.world.record.note("runner %s: %s is no work unit of a submission", r.id, o.Task)
		return http.StatusBadRequest, map[string]any{}
	}
	if cpu, memory := r.used(); cpu+s.CPU > r.cpu || memory+s.MemMB > r.memory {
		return refuse("room")
	}
	u := &run{unit: o.Task, number: o.Run, step: s, began: time.Now()}
	if s.fails != nil {
		u.fails = s.fails(o.Task, r.world.record.runs(o.Task)+1)
	}
	r.running[o.Task] = u
	r.world.record.started(r, u)
	return http.StatusOK, map[string]any{}
}

func (r *runner) runStop(_ *http.Request, o *order) (int, map[string]any) {
	if u := r.running[o.Task]; u != nil && u.number <= o.Run && u.stoppedAt.IsZero() {
		u.stoppedAt = time.Now()
	}
	r.lastRun[o.Task] = max(r.lastRun[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

func (r *runner) hold(request *http.Request, o *order) (int, map[string]any) {
	r.ended = slices.DeleteFunc(r.ended, func(e end) bool { return e.number <= o.AckCursor })
	if o.UntilMS > 0 {
		r.extend(o.UntilMS)
	}
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(r.ended) == 0 && !r.gone; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-request.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, u := range r.running {
		running = append(running, []any{u.unit, u.number, "", u.percent(), u.step.CPU})
	}
	for _, e := range r.ended[:min(len(r.ended), maxEnds)] {
		ended = append(ended, []any{e.number, e.run.unit, e.run.number, e.how, ""})
	}
	return http.StatusOK, map[string]any{"born": r.born.UnixMilli(), "running": running, "ended": ended}
}

// percent returns the progress of a run.
func (u *run) percent() int {
	worked := time.Since(u.began)
	switch {
	case !u.step.Persistent:
		return int(min(99, 100*worked/max(1, u.step.takes)))
	case worked < startUp:
		return 0
	}
	return 100
}

// splitUnit returns the submission and the step of a work unit named ID.K.STEP.INDEX.
func splitUnit(unit string) (id string, stepIndex int) {
	parts := strings.Split(unit, ".")
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &stepIndex)
	}
	return parts[0], stepIndex
}
