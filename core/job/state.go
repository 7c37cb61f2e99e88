package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/bits"
	"time"
)

// State is the state of a job as reported to callers.
type State string

// The states of a job. Completed, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state cannot change its state any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome is the stored result of a job that has ended.
type Outcome struct {
	State State `json:"state"`
	// At is when the job ended, taken when the outcome is sent to the store. A
	// repeated write takes a new time.
	At time.Time `json:"at"`
	// Guard is true if the outcome only guards against a late write of a job: its caller
	// cancelled an id under which no job was stored. It is not the outcome of a job.
	Guard bool `json:"guard,omitempty"`
	// Organisation is that of the job, or of the caller who has set a guard. It is empty in
	// rows of versions that did not store it.
	Organisation Organisation `json:"organisation,omitempty"`
}

// Encode returns the JSON encoding for the value of an outcome row.
func (o *Outcome) Encode() ([]byte, error) { return json.Marshal(o) }

// DecodeOutcome decodes the value of an outcome row.
func DecodeOutcome(value []byte) (Outcome, error) {
	var o Outcome
	if err := json.Unmarshal(value, &o); err != nil {
		return Outcome{}, fmt.Errorf("outcome row: %w", err)
	}
	if !o.State.Final() {
		return Outcome{}, fmt.Errorf("outcome row has state %q, which is not final", o.State)
	}
	return o, nil
}

// FailedRuns holds the run numbers of the failed runs of one task. A run is one
// attempt to execute a task. The runs of a task are numbered upwards: from 1 by the
// pool's first owner, and from a higher number that depends on its epoch by each
// later owner, so that no two owners use the same number.
type FailedRuns []int

// Progress is the stored progress of a job. The keys of Done have the form
// "occurrence.step", those of Failed "occurrence.step.index". Unlike
// TaskID.StepKey and TaskID.String they do not contain the job's ID.
type Progress struct {
	// Done holds a Bitmap of the done tasks for each step that has any, lowest bit
	// first. It has no steps of the occurrences counted in FinishedOccurrences.
	Done map[string][]byte `json:"done,omitempty"`
	// Failed holds the failed runs of each task that has failed at least once and is
	// not done. It has no tasks of the occurrences counted in FinishedOccurrences.
	Failed map[string]FailedRuns `json:"failed,omitempty"`
	// FinishedOccurrences is the number of consecutive occurrences, counted from the
	// first, whose tasks are all done.
	FinishedOccurrences int `json:"finished,omitempty"`
}

// Encode returns the plain form of the value of a progress row, which is JSON.
func (p *Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodeProgress decodes the value of a progress row, in the plain or the compact form.
func DecodeProgress(value []byte) (*Progress, error) {
	if bytes.HasPrefix(value, gzipMagic) {
		p, err := decodeCompact(value)
		if err != nil {
			return nil, fmt.Errorf("progress row: %w", err)
		}
		return p, nil
	}
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("progress row: %w", err)
	}
	return &p, nil
}

// Bitmap is a set of task indexes of a step.
type Bitmap []byte

// Set adds a task and grows the bitmap as needed.
func (b *Bitmap) Set(index int) {
	for len(*b) <= index/8 {
		*b = append(*b, 0)
	}
	(*b)[index/8] |= 1 << (index % 8)
}

// Count returns the number of tasks in the set.
func (b Bitmap) Count() int {
	n := 0
	for _, eight := range b {
		n += bits.OnesCount8(eight)
	}
	return n
}

// Has reports whether a task is in the set.
func (b Bitmap) Has(index int) bool { return index/8 < len(b) && b[index/8]&(1<<(index%8)) != 0 }
