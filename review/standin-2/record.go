package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps the runs of each work unit.
type record struct {
	began time.Time

	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	units map[string]*unitRecord
}

// unitRecord is what is known of a work unit.
type unitRecord struct {
	runs, active int
	// lastEnd is when the last run ended, zero if none has.
	lastEnd time.Time
	done    bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file), units: map[string]*unitRecord{}}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *record) noteLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// unit returns the record of a work unit. The caller holds the lock.
func (r *record) unit(name string) *unitRecord {
	if r.units[name] == nil {
		r.units[name] = &unitRecord{}
	}
	return r.units[name]
}

func (r *record) started(on *runner, u *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unit := r.unit(u.unit)
	unit.runs++
	unit.active++
	r.noteLocked("%s starts %s run %d", on.id, u.unit, u.number)
}

func (r *record) ended(on *runner, u *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unit := r.unit(u.unit)
	unit.active--
	unit.lastEnd = time.Now()
	unit.done = unit.done || how == "done"
	r.noteLocked("%s ends %s run %d: %s", on.id, u.unit, u.number, how)
}

// runs returns how many runs of a work unit have begun.
func (r *record) runs(unit string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unit(unit).runs
}

// of returns a copy of the record of a work unit.
func (r *record) of(unit string) unitRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.unit(unit)
}
