package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// reportInterval is the time between two registrations of a runner, and
	// registrationLifetime how long one lasts.
	reportInterval       = 1500 * time.Millisecond
	registrationLifetime = 3 * reportInterval
	// discoveryLag is how long after its restart a runner is registered again, lag_ms of the
	// site's discovery.
	discoveryLag = 800 * time.Millisecond
	maxLease     = 10 * time.Second
	gangTimeout  = 3 * time.Second
	// startUp is the time until a persistent task is at work.
	startUp    = 300 * time.Millisecond
	lifeStep   = 5 * time.Millisecond
	capacity   = 16000 // millicores of a runner
	stopLength = 150 * time.Millisecond
)

// work is what the tasks of a job do.
type work struct {
	// fails is the number of the first runs of a task that end failed.
	fails int
	// crashes is true if every run of a persistent task ends failed, 1 to 9 s after its start.
	crashes bool
}

// run is a run of a task on a runner.
type run struct {
	*startRecord
	task      string
	step      stepBody
	gang      string
	worked    time.Duration
	stoppedAt time.Time
}

type endRecord struct {
	number int64
	run    *run
	how    string
}

// runner plays a runner under its id, in one or several lives.
type runner struct {
	fleet              *fleet
	id, instance, pool string
	zone               int
	rack               string
	// paths holds the paths from each entry, addresses where they begin.
	paths     map[string]*path
	addresses map[string]string
	servers   []*http.Server
	// gate is closed while the runner's machine is cut off.
	gate gate

	mu       sync.Mutex
	life     *runnerLife
	gone     bool
	draining bool
	// kind is the first label of the current life.
	kind string
}

// listen serves the runner to all entries, to each at an address of its own.
func (r *runner) listen() error {
	for _, e := range r.fleet.entries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{Handler: r.handler(e.name)}
		p := &path{address: "127.0.0.1:0", target: listener.Addr().String(), gates: []*gate{&e.gate, &r.gate}}
		if err := p.listen(); err != nil {
			return err
		}
		r.paths[e.name], r.addresses[e.name] = p, p.address
		r.servers = append(r.servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}

// begin starts a life whose clock reads base, unless one goes on.
func (r *runner) begin(base time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone || r.life != nil && r.current(r.life) {
		return
	}
	number := 1
	if r.life != nil {
		number = r.life.number + 1
	}
	r.life = &runnerLife{
		runner: r, number: number, born: time.Now(), clockBase: base, running: map[string]*run{}, nextEnd: 1,
		lastRun: map[string]int{}, changed: make(chan struct{}),
	}
	r.fleet.record.notef("runner %s begins, pool %s, zone %d", r.life.name(), r.pool, r.zone)
	go r.report(r.life)
	go r.live(r.life)
}

// crash ends the current life and all that runs in it.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil || r.life.born.IsZero() {
		return
	}
	for _, run := range r.life.running {
		r.fleet.record.ended(run.task, run.startRecord, "crash")
		r.fleet.leaveGang(run, false)
	}
	r.fleet.record.notef("runner %s ends", r.life.name())
	r.life.running, r.life.ended, r.life.born = nil, nil, time.Time{}
}

// remove ends the runner for good.
func (r *runner) remove() {
	r.crash()
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	r.fleet.store.write("servers", r.id, nil)
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, p := range r.paths {
		p.stop()
	}
}

func (r *runner) state() string {
	if r.draining {
		return "draining"
	}
	return "ready"
}

// current reports whether a life goes on. The caller holds the lock.
func (r *runner) current(l *runnerLife) bool { return r.life == l && !l.born.IsZero() }

// report registers the runner until its life ends.
func (r *runner) report(l *runnerLife) {
	if l.number > 1 {
		time.Sleep(discoveryLag)
	}
	lastReport := time.Now()
	registered := false
	for {
		r.mu.Lock()
		live := r.current(l)
		entry := map[string]any{
			"service": r.pool, "address": r.id, "zone": zones[r.zone], "version": "v1", "slots": 8, "state": r.state(), "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": capacity, "mem_mb": 65536, "gpu": 0}, "labels": []string{r.kind, r.rack},
			"seq": time.Since(l.born).Milliseconds(), "born": l.born.UnixMilli(),
		}
		r.mu.Unlock()
		cut, _ := r.gate.state()
		reaches := !cut
		switch {
		case live && reaches:
			r.fleet.store.write("servers", r.id, entry)
			registered, lastReport = true, time.Now()
		case time.Since(lastReport) > registrationLifetime && registered:
			r.fleet.store.write("servers", r.id, nil)
			registered = false
		}
		if !live && !registered || r.lifeReplaced(l) {
			return
		}
		time.Sleep(reportInterval)
	}
}

func (r *runner) lifeReplaced(l *runnerLife) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life != l || r.gone
}

// live lets the runs of a life work and ends them.
func (r *runner) live(l *runnerLife) {
	for ; ; time.Sleep(lifeStep) {
		r.mu.Lock()
		if !r.current(l) {
			r.mu.Unlock()
			return
		}
		if l.until > 0 && l.clock() >= l.until {
			l.lapse()
		}
		for _, task := range slices.Sorted(mapKeys(l.running)) {
			run := l.running[task]
			if run == nil {
				continue
			}
			switch how := r.fleet.advance(run); {
			case l.clock() >= l.until:
				l.end(run, "lapsed")
			case !run.stoppedAt.IsZero() && time.Since(run.stoppedAt) > stopLength:
				l.end(run, "stopped")
			case run.stoppedAt.IsZero() && how != "":
				l.end(run, how)
			}
		}
		r.mu.Unlock()
	}
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// order is the body of a call to a runner.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	UntilMS   int64  `json:"until_ms"`
	Fence     uint64 `json:"fence"`
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`

	entry string
}

// handler serves one entry.
func (r *runner) handler(entry string) http.Handler {
	calls := map[string]func(*runnerLife, *http.Request, order) (int, map[string]any){
		"/run-start": (*runnerLife).start, "/run-stop": (*runnerLife).stop, "/hold": (*runnerLife).poll,
		"/pace": func(*runnerLife, *http.Request, order) (int, map[string]any) { return http.StatusOK, map[string]any{} },
	}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		execute, known := calls[request.URL.Path]
		var o order
		if !known || json.NewDecoder(request.Body).Decode(&o) != nil {
			answerJSON(w, http.StatusBadRequest, map[string]string{"reason": "malformed"})
			return
		}
		o.entry = entry
		if request.Header.Get("X-Expect-Instance") != r.id {
			answerJSON(w, http.StatusMisdirectedRequest, map[string]string{})
			return
		}
		status, body := r.call(execute, request, o)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		answerJSON(w, status, body)
	})
}

// call executes a call in the current life. The status is 0 if there is none.
func (r *runner) call(execute func(*runnerLife, *http.Request, order) (int, map[string]any), request *http.Request, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil || !r.current(l) {
		return 0, nil
	}
	status, body := http.StatusConflict, map[string]any{"reason": "fence"}
	if o.Fence >= l.fence {
		l.fence = o.Fence
		status, body = execute(l, request, o)
	}
	if !r.current(l) {
		return 0, nil
	}
	body["clock_ms"] = l.clock().Milliseconds()
	return status, body
}
