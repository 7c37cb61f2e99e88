package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// startRecord is a run of a task as its runner has seen it.
type startRecord struct {
	// kind is the kind of the runner's life.
	kind      string
	runner    *runnerLife
	entry     string
	run       int
	fence     uint64
	at, ended time.Time
	how       string
	// acknowledged is true if the run ended done and its end was acknowledged although no
	// lease expired on the runner between the two.
	acknowledged bool
	lapsed       bool
}

func (s *startRecord) String() string {
	end := "runs"
	if !s.ended.IsZero() {
		end = fmt.Sprintf("ended %s at %s", s.how, s.ended.Format(clockFormat))
	}
	return fmt.Sprintf("run %d on %s by %s, fence %d, started at %s, %s", s.run, s.runner.name(), s.entry, s.fence, s.at.Format(clockFormat), end)
}

const clockFormat = "15:04:05.000"

// record holds what callers, runners and the platform have seen, and finds violations.
// Use newRecord.
type record struct {
	file *os.File

	mu         sync.Mutex
	starts     map[string][]*startRecord
	fences     map[string]uint64
	violations []string
	jobs       map[string]*jobRecord
	orders     int
	// lastHolder sent the last order for a machine.
	lastHolder string
	// onStart, if set, is called with each start. The lock is held.
	onStart func(task string, s *startRecord)
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, starts: map[string][]*startRecord{}, fences: map[string]uint64{}, jobs: map[string]*jobRecord{}}, nil
}

func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line. The caller holds the lock.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%s %s\n", time.Now().Format(clockFormat), fmt.Sprintf(format, args...))
}

// violate records a violation. The caller holds the lock.
func (r *record) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.write("VIOLATION %s", text)
}

// started records a start and checks the earlier runs of the task.
func (r *record) started(task string, s *startRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s starts: %v", task, s)
	for _, earlier := range r.starts[task] {
		switch {
		case earlier.ended.IsZero():
			r.violate("TWICE %s: %v, while %v", task, s, earlier)
		case earlier.acknowledged:
			r.violate("TWICE %s: %v, although done and acknowledged: %v", task, s, earlier)
		}
	}
	r.starts[task] = append(r.starts[task], s)
	if r.onStart != nil {
		r.onStart(task, s)
	}
	if j := r.jobs[jobOf(task)]; j == nil {
		r.violate("UNASKED %s: %v", task, s)
	} else {
		j.started = true
	}
}

func (r *record) ended(task string, s *startRecord, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.ended, s.how = time.Now(), how
	r.write("%s ends: %v", task, s)
}

// acknowledge records the acknowledgment of an end and checks for starts since.
func (r *record) acknowledge(task string, s *startRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.how != "done" || s.lapsed {
		return
	}
	s.acknowledged = true
	for _, other := range r.starts[task] {
		if other.at.After(s.ended) {
			r.violate("TWICE %s: %v, after the end, now acknowledged, of %v", task, other, s)
		}
	}
}

// failures counts the runs of a task that have ended failed.
func (r *record) failures(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.starts[task] {
		if s.how == "failed" {
			n++
		}
	}
	return n
}

// ordered records an order for an instance and checks that fencing tokens rise.
func (r *record) ordered(what, instance, holder string, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders++
	r.lastHolder = holder
	r.write("%s of %s by %s, fence %d", what, instance, holder, fence)
	if fence < r.fences[instance] {
		r.violate("ONE %s of %s by %s with fence %d after fence %d", what, instance, holder, fence, r.fences[instance])
	}
	r.fences[instance] = max(r.fences[instance], fence)
}

// jobRecord is a job as its caller sees it.
type jobRecord struct {
	id                string
	queue             *queue
	accepted, started bool
	steps             []stepBody
	// repeat is how often the job runs, 0 for once, interval the time between two times.
	repeat   int
	hopeless bool
	interval time.Duration
	work     work
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (r *record) job(id string) *jobRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}
