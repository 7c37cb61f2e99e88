package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// statusInterval is the time between two status reports of a runner.
	statusInterval = 1500 * time.Millisecond
	// maxLease is the longest lease that a runner grants.
	maxLease = 10 * time.Second
	// startUp is how long work that lasts needs until it is at work.
	startUp = 300 * time.Millisecond
	// runnerCPU and runnerMemory are the capacity of a runner, in thousandths of a core
	// and in MB.
	runnerCPU, runnerMemory = 16000, 65536
	// firstClock is the reading of a runner's clock when the case begins.
	firstClock = 480 * time.Second
)

// work states what the work units of a submission do. The stand-in reads it from the
// submission's spec, a text such as "ms=300 fail=2 cpu=1000".
type work struct {
	// takes is how long a run takes. Work that lasts runs until it is stopped.
	takes time.Duration
	lasts bool
	// fails is the number of the first runs that end failed.
	fails int
	cpu   int
}

func parseWork(spec string) work {
	var w work
	for field := range strings.FieldsSeq(spec) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "ms":
			w.takes = time.Duration(n) * time.Millisecond
		case "lasts":
			w.lasts = true
		case "fail":
			w.fails = n
		case "cpu":
			w.cpu = n
		}
	}
	return w
}

// run is a run of a work unit.
type run struct {
	task    string
	number  int
	work    work
	started time.Time
}

// end is the end of a run.
type end struct {
	n    int64
	task string
	run  int
	how  string
}

// runner is a stand-in for a runner. Use newRunner.
type runner struct {
	id, service, address, zone string
	labels                     []string
	store                      *store
	ledger                     *ledger
	// lossy decides whether the answer to a call is lost after the call was executed.
	lossy func(path string) bool

	mu     sync.Mutex
	server *http.Server
	// life counts the starts of the runner. It is 0 while the runner is down.
	life, lives int
	born        time.Time
	crashedAt   time.Time
	clockBase   time.Duration
	fence       uint64
	until       time.Duration
	running     map[string]*run
	ended       []end
	nextEnd     int64
	// lastRun is the highest run of each work unit that was stopped or has ended.
	lastRun map[string]int
	seq     int
	changed chan struct{}
}

func newRunner(id, service, zone, rack string, s *store, l *ledger) *runner {
	return &runner{id: id, service: service, zone: zone, labels: []string{"a", rack}, store: s, ledger: l, clockBase: firstClock}
}

// start begins a life of the runner, at the address that it had.
func (r *runner) start() error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = listener.Addr().String()
	r.lives++
	r.life = r.lives
	r.born = time.Now()
	r.fence, r.until, r.nextEnd, r.seq = 0, 0, 1, 0
	r.running, r.ended, r.lastRun = map[string]*run{}, nil, map[string]int{}
	r.changed = make(chan struct{})
	r.server = &http.Server{Handler: r.handler()}
	server, life := r.server, r.life
	r.mu.Unlock()
	r.ledger.note("runner %s begins life %d at %s", r.id, life, r.address)
	go func() { _ = server.Serve(listener) }()
	go r.report(life)
	go r.expire(life)
	return nil
}

// crash ends the life of the runner. Its connections are closed and all its work ends.
func (r *runner) crash() {
	r.mu.Lock()
	server := r.server
	for _, run := range r.running {
		r.ledger.ended(r, run, "crash")
	}
	r.life, r.running, r.ended = 0, nil, nil
	r.clockBase, r.crashedAt = 0, time.Now()
	r.mu.Unlock()
	_ = server.Close()
	r.ledger.note("runner %s crashes", r.id)
}

// silentFor returns how long the runner has been down, 0 if it is up.
func (r *runner) silentFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != 0 {
		return 0
	}
	return time.Since(r.crashedAt)
}

// clock returns the reading of the runner's clock. The caller holds the lock.
func (r *runner) clock() time.Duration { return r.clockBase + time.Since(r.born) }

// report writes the runner's status report until its life ends.
func (r *runner) report(life int) {
	for {
		r.mu.Lock()
		if r.life != life {
			r.mu.Unlock()
			return
		}
		r.seq++
		entry := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": runnerCPU, "mem_mb": runnerMemory, "gpu": 0},
			"labels": r.labels, "clock_ms": r.clock().Milliseconds(), "seq": r.seq, "born": r.born.UnixMilli(),
		}
		r.mu.Unlock()
		r.store.put("servers", r.id, entry)
		time.Sleep(statusInterval)
	}
}

// expire kills everything that runs when the lease has expired.
func (r *runner) expire(life int) {
	for ; ; time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		if r.life != life {
			r.mu.Unlock()
			return
		}
		if r.clock() >= r.until {
			for _, run := range r.running {
				r.end(run, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (r *runner) end(run *run, how string) {
	if r.running[run.task] != run {
		return
	}
	delete(r.running, run.task)
	r.lastRun[run.task] = max(r.lastRun[run.task], run.number)
	r.ended = append(r.ended, end{r.nextEnd, run.task, run.number, how})
	r.ledger.ended(r, run, fmt.Sprintf("%s, end %d", how, r.nextEnd))
	r.nextEnd++
	close(r.changed)
	r.changed = make(chan struct{})
}

// order is the body of a call to a runner.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until_ms"`
	Fence     uint64 `json:"fence"`
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
}

func (r *runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.call(r.runStart))
	mux.HandleFunc("POST /run-stop", r.call(r.runStop))
	mux.HandleFunc("POST /hold", r.call(r.hold))
	mux.HandleFunc("POST /pace", r.call(func(*http.Request, order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	return mux
}

// call decodes a call, checks the incarnation and the fence number, executes the call
// with the lock held, and sends the answer unless it is lost.
func (r *runner) call(execute func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var o order
		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			answerJSON(w, http.StatusBadRequest, map[string]string{"reason": err.Error()})
			return
		}
		r.mu.Lock()
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if expected := request.Header.Get("X-Expect-Instance"); expected == "" || expected == r.id {
			if o.Fence < r.fence {
				status, body = http.StatusConflict, map[string]any{"reason": "fence"}
			} else {
				r.fence = o.Fence
				status, body = execute(request, o)
			}
		}
		body["clock_ms"], body["born"] = r.clock().Milliseconds(), r.born.UnixMilli()
		r.mu.Unlock()
		if r.lossy != nil && r.lossy(request.URL.Path) {
			r.ledger.note("runner %s: the answer to %s (ack_cursor %d) is lost", r.id, request.URL.Path, o.AckCursor)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		answerJSON(w, status, body)
	}
}

// extend extends the lease. The caller holds the lock.
func (r *runner) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, r.clock()+maxLease)
	r.until = max(r.until, until)
}

func (r *runner) runStart(_ *http.Request, o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		r.ledger.note("runner %s refuses start of %s run %d: %s", r.id, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if current := r.running[o.Task]; current != nil && current.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if time.Duration(o.UntilMS)*time.Millisecond <= r.clock() {
		return refuse("late")
	}
	r.extend(o.UntilMS)
	if o.Run <= r.lastRun[o.Task] || r.running[o.Task] != nil {
		return refuse("old")
	}
	w := parseWork(o.Spec)
	used := w.cpu
	for _, other := range r.running {
		used += other.work.cpu
	}
	if used > runnerCPU {
		return refuse("room")
	}
	begun := &run{task: o.Task, number: o.Run, work: w, started: time.Now()}
	r.running[o.Task] = begun
	r.ledger.started(r, begun, o.Fence)
	if !w.lasts {
		life := r.life
		time.AfterFunc(w.takes, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.life != life {
				return
			}
			how := "done"
			if r.ledger.attempts(o.Task) < w.fails {
				how = "failed"
			}
			r.end(begun, how)
		})
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) runStop(_ *http.Request, o order) (int, map[string]any) {
	if current := r.running[o.Task]; current != nil && current.number <= o.Run {
		r.end(current, "stopped")
	}
	r.lastRun[o.Task] = max(r.lastRun[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

func (r *runner) hold(request *http.Request, o order) (int, map[string]any) {
	lapsed := r.clock() >= r.until
	for _, e := range r.ended {
		if e.n <= o.AckCursor {
			r.ledger.acknowledged(r, e, o.AckCursor, lapsed)
		}
	}
	r.ended = slices.DeleteFunc(r.ended, func(e end) bool { return e.n <= o.AckCursor })
	if o.UntilMS > 0 {
		r.extend(o.UntilMS)
	}
	life, timeout := r.life, time.After(time.Duration(o.WaitMS)*time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(r.ended) == 0 && r.life == life; {
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
	for _, run := range r.running {
		running = append(running, []any{run.task, run.number, "", run.percent(), run.work.cpu})
	}
	for _, e := range r.ended[:min(len(r.ended), maxRows)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

func (r *run) percent() int {
	age := time.Since(r.started)
	switch {
	case r.work.lasts && age < startUp:
		return 0
	case r.work.lasts:
		return 100
	}
	return min(99, int(100*age/max(1, r.work.takes)))
}

// idle reports whether nothing runs on the runner and all its ends are acknowledged.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running) == 0 && len(r.ended) == 0
}
