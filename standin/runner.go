package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bronzestair/core/runner"
)

// Runner is a fake backend server (runner), which counts the executions of requests
// per idempotency key. Use NewRunner.
type Runner struct {
	id runner.ID

	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	executions  atomic.Int64
	failing     atomic.Bool

	mu              sync.Mutex
	executionsByKey map[string]int
	delay           time.Duration
	response        []byte
}

// NewRunner returns a runner whose requests take the given delay.
func NewRunner(id runner.ID, delay time.Duration) *Runner {
	return &Runner{
		id:              id,
		executionsByKey: map[string]int{},
		delay:           delay,
		response:        []byte("done by " + string(id) + "\n"),
	}
}

// SetFailing sets whether the runner responds to all requests, including health checks,
// with status 500. Requests other than health checks are still executed and counted.
func (r *Runner) SetFailing(failing bool) { r.failing.Store(failing) }

// Executions returns the number of requests that were executed, including those that
// then got an error response.
func (r *Runner) Executions() int { return int(r.executions.Load()) }

// MaxInFlight returns the highest number of requests in flight at once.
func (r *Runner) MaxInFlight() int { return int(r.maxInFlight.Load()) }

// ExecutionsByKey returns the number of executions of each idempotency key.
func (r *Runner) ExecutionsByKey() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.executionsByKey))
	for k, n := range r.executionsByKey {
		out[k] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" && req.Header.Get("Bronzestair-Probe") != "" {
		r.serveHealth(w)
		return
	}
	r.run(req)
	if r.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(r.response))}
	_, _ = w.Write(r.response)
}

// run executes a request. It returns before the response is sent, so that a request
// sent after that response is not counted as concurrent with this one.
func (r *Runner) run(req *http.Request) {
	r.beginRequest()
	defer r.inFlight.Add(-1)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	r.executions.Add(1)
	r.countExecution(req.Header.Get("Idempotency-Key"))
	if r.delay > 0 {
		time.Sleep(r.delay)
	}
}

func (r *Runner) serveHealth(w http.ResponseWriter) {
	if r.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) beginRequest() {
	n := r.inFlight.Add(1)
	for {
		highest := r.maxInFlight.Load()
		if n <= highest || r.maxInFlight.CompareAndSwap(highest, n) {
			return
		}
	}
}

func (r *Runner) countExecution(key string) {
	if key == "" {
		return
	}
	r.mu.Lock()
	r.executionsByKey[key]++
	r.mu.Unlock()
}
