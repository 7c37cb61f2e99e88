package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepBody is a step in the body of a submission.
type stepBody struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"mem_mb"`
	EstRuntime int64  `json:"est_runtime_ms"`
	After      []int  `json:"after,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
	Persistent bool   `json:"persistent,omitempty"`
	MayMiss    int    `json:"may_miss,omitempty"`
	PerRunner  int    `json:"max_per_server,omitempty"`
	Needs      string `json:"needs,omitempty"`
}

func (s *stepBody) takes() time.Duration { return time.Duration(s.EstRuntime) * time.Millisecond }

// step returns the step of a task whose job was submitted.
func (f *fleet) step(task string) (stepBody, bool) {
	j := f.record.job(jobOf(task))
	parts := strings.Split(task, ".")
	if j == nil || len(parts) != 4 {
		return stepBody{}, false
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.steps) {
		return stepBody{}, false
	}
	return j.steps[n], true
}

// gang is a run of a step whose tasks work together.
type gang struct {
	present      map[string]bool
	began        time.Time
	done, broken bool
}

func (f *fleet) joinGang(r *run) {
	f.gangMu.Lock()
	defer f.gangMu.Unlock()
	g := f.gangs[r.gang]
	if g == nil {
		g = &gang{present: map[string]bool{}}
		f.gangs[r.gang] = g
	}
	g.present[r.task] = true
	if len(g.present) == r.step.Count && g.began.IsZero() {
		g.began = time.Now()
	}
}

// leaveGang removes a member that has ended. The others end as well.
func (f *fleet) leaveGang(r *run, done bool) {
	if r.gang == "" {
		return
	}
	f.gangMu.Lock()
	defer f.gangMu.Unlock()
	g := f.gangs[r.gang]
	delete(g.present, r.task)
	g.done = g.done || done
	g.broken = !g.done
}

// advance lets a run work and returns how it ends now, or "".
func (f *fleet) advance(r *run) string {
	if r.step.Persistent {
		life := time.Second + time.Duration(hash(fmt.Sprint(r.task, r.run))%8000)*time.Millisecond
		if f.record.job(jobOf(r.task)).work.crashes && time.Since(r.at) > life {
			return "failed"
		}
		return ""
	}
	began := r.at
	if r.gang != "" {
		f.gangMu.Lock()
		g := *f.gangs[r.gang]
		f.gangMu.Unlock()
		switch {
		case g.done:
			return "done"
		case g.broken:
			return "broken"
		case g.began.IsZero() && time.Since(r.at) > gangTimeout:
			return "alone"
		case g.began.IsZero():
			return ""
		}
		began = g.began
	}
	r.worked = time.Since(began)
	switch j := f.record.job(jobOf(r.task)); {
	case r.gang == "" && r.worked > r.step.takes()/2 && f.record.failures(r.task) < j.work.fails:
		return "failed"
	case r.worked >= r.step.takes():
		return "done"
	}
	return ""
}

// caller submits jobs and asks for their states over connections that it keeps open.
type caller struct {
	fleet  *fleet
	random *rand.Rand
	client *http.Client
	// lastStatus is the status of the last answer, 0 if there was none.
	lastStatus int
}

func newCaller(f *fleet, seed uint64) *caller {
	return &caller{fleet: f, random: rand.New(rand.NewPCG(seed, 4)), client: &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// draw returns a new job: mostly of one or two steps, sometimes a gang.
func (c *caller) draw() *jobRecord {
	j := &jobRecord{id: fmt.Sprintf("%016x", c.random.Uint64()), queue: c.fleet.queues[c.random.IntN(len(c.fleet.queues))]}
	if c.random.IntN(8) == 0 {
		j.work.fails = 1
	}
	switch c.random.IntN(6) {
	case 0:
		j.steps = []stepBody{{Count: 3, CPU: 1500, MemMB: 256, EstRuntime: 700, Gang: true}}
	case 1, 2:
		j.steps = []stepBody{{Count: 5, CPU: 1200, MemMB: 256, EstRuntime: 500}, {Count: 3, CPU: 900, MemMB: 256, EstRuntime: 300, After: []int{0}}}
	default:
		j.steps = []stepBody{{Count: 4, CPU: 900, MemMB: 256, EstRuntime: 300 + c.random.Int64N(600)}}
	}
	return j
}

// submit hands a job in, at several entries if need be, and reports whether it was accepted.
func (c *caller) submit(j *jobRecord) bool {
	rec := c.fleet.record
	rec.mu.Lock()
	rec.jobs[j.id] = j
	rec.mu.Unlock()
	submission := map[string]any{"spec": "work", "steps": j.steps}
	if j.repeat > 0 {
		submission["repeat_count"], submission["start_at_ms"], submission["interval_ms"] = j.repeat, time.Now().UnixMilli(), j.interval.Milliseconds()
	}
	body, _ := json.Marshal(submission)
	for range 4 {
		status, answer := c.call(http.MethodPost, j, body)
		rec.notef("job %s in %s: %d %s", j.id, j.queue.name, status, answer)
		c.lastStatus = status
		if status == http.StatusOK {
			rec.mu.Lock()
			j.accepted = true
			rec.mu.Unlock()
			return true
		}
		time.Sleep(time.Duration(100+c.random.IntN(400)) * time.Millisecond)
	}
	return false
}

// state returns the status of a request for a job's state, and the state.
func (c *caller) state(j *jobRecord) (int, string) {
	status, body := c.call(http.MethodGet, j, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &answer) // a refusal has no state
	return status, answer.State
}

func (c *caller) call(method string, j *jobRecord, body []byte) (int, []byte) {
	e := c.fleet.entries[c.random.IntN(entryCount)]
	request, err := http.NewRequest(method, "http://"+e.front+j.queue.prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = j.queue.host
	request.Header.Set("X-Deadline-Ms", "3000")
	resp, err := c.client.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// load submits jobs until the deadline and waits for its requests.
func (f *fleet) load(seed uint64, until time.Time, interval time.Duration) {
	var callers sync.WaitGroup
	const concurrency = 6
	for n := range uint64(concurrency) {
		callers.Go(func() {
			c := newCaller(f, seed*concurrency+n)
			for time.Now().Before(until) {
				if j := c.draw(); c.submit(j) {
					status, state := c.state(j)
					f.record.notef("job %s is accepted, state %d %s", j.id, status, state)
				}
				time.Sleep(interval*concurrency/2 + time.Duration(c.random.Int64N(int64(interval*concurrency))))
			}
		})
	}
	callers.Wait()
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
