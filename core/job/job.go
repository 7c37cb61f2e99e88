// Package job describes the work that callers submit: jobs, their steps, and the
// tasks of the steps.
//
// # Usage
//
//	spec := job.Spec{Payload: "reindex", Steps: []job.Step{{Count: 4, Resources: job.Resources{CPU: 500}}}}
//	if err := spec.Validate(); err != nil {
//		return err
//	}
//	record := job.Record{Pool: "booking", Queue: "seats", ID: id, Spec: spec, Accepted: time.Now()}
//	row, err := record.Encode()
package job

import (
	"cmp"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Limits of a job. They prevent one caller from exhausting an entry's memory.
const (
	// MaxPayload is the maximum length of the payload in bytes.
	MaxPayload = 4000
	// MaxSteps is the maximum number of steps.
	MaxSteps = 256
	// MaxTasks is the maximum number of tasks in all steps of one occurrence.
	MaxTasks = 10_000
	// MaxOccurrences is the maximum repeat count.
	MaxOccurrences = 100_000
	// MaxRuntime is the maximum estimated runtime of a task. The sum over the steps of a job
	// stays within the range of a duration.
	MaxRuntime = 365 * 24 * time.Hour
	// MaxSpan is the maximum time from the first to the last occurrence.
	MaxSpan = 100 * MaxRuntime
	// maxAmount limits each resource, so that sums over a fleet stay within their types.
	maxAmount = 1_000_000_000
)

// ID identifies a job within its queue. It consists of 16 hexadecimal digits chosen by
// the caller.
type ID string

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Valid reports whether the ID consists of 16 hexadecimal digits.
func (id ID) Valid() bool { return idPattern.MatchString(string(id)) }

// QueueName is the name of a queue of jobs.
type QueueName string

// PoolName is the name of a pool of instances.
type PoolName string

// Organisation is the name of an organisation on whose behalf jobs are submitted. It is
// empty for jobs of public queues.
type Organisation string

// Permits reports whether a caller of the given organisation may access a job of o. A job
// without an organisation is open to all callers, and a caller without one, which is a caller
// of a public queue, may access every job of that queue.
func (o Organisation) Permits(caller Organisation) bool {
	return o == "" || caller == "" || o == caller
}

// MilliCPU is an amount of CPU in thousandths of a core.
type MilliCPU int

// MiB is an amount of memory in mebibytes.
type MiB int

// TaskID identifies one task of a job.
type TaskID struct {
	Job ID
	// Occurrence is 0 for a job that does not repeat.
	Occurrence int
	Step       int
	Index      int
}

// String returns the fields joined by dots, as in "0123456789abcdef.0.1.2".
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(
		cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index),
	)
}

// StepKey returns the job, occurrence and step of the task joined by dots.
func (t TaskID) StepKey() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the format of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q does not have four parts", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is not a number", text, part)
		}
		numbers[i] = n
	}
	return TaskID{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Resources are the resources that a task requires or an instance provides.
type Resources struct {
	CPU    MilliCPU `json:"cpu,omitempty"`
	Memory MiB      `json:"memory,omitempty"`
	GPU    int      `json:"gpu,omitempty"`
}

// Validate checks that the amounts are neither negative nor so large that sums overflow.
func (r Resources) Validate() error {
	for _, n := range []int64{int64(r.CPU), int64(r.Memory), int64(r.GPU)} {
		if n < 0 {
			return fmt.Errorf("a negative amount")
		}
		if n > maxAmount {
			return fmt.Errorf("amount %d is more than %d", n, maxAmount)
		}
	}
	return nil
}

func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// HasRoomFor reports whether o is at most r in every resource.
func (r Resources) HasRoomFor(o Resources) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPU <= r.GPU
}

// Step is a set of identical tasks.
type Step struct {
	Count int `json:"count"`
	Resources
	// EstimatedRuntime is the caller's rough estimate of the runtime of one task.
	EstimatedRuntime time.Duration `json:"estimatedRuntime,omitempty"`
	// After lists the indexes of earlier steps that must be done before this one.
	After []int `json:"after,omitempty"`
	// Checkpointing marks tasks that save their progress while they run.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang marks tasks that make progress only while all tasks of the step are running.
	Gang bool `json:"gang,omitempty"`
	// SameRack marks tasks that run longer if they are spread over several racks.
	SameRack bool `json:"sameRack,omitempty"`
	// RequiredLabel is a label that the instance must have, if it is not empty.
	RequiredLabel string `json:"needs,omitempty"`
	// DataRack is the rack that holds the data. Tasks run longer on other racks.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerInstance limits the step's tasks on one instance, if it is not 0.
	MaxPerInstance int `json:"maxPerInstance,omitempty"`
	// Speculative marks tasks of which several copies may run at once.
	Speculative bool `json:"speculative,omitempty"`
	// Persistent marks tasks that run until the job is cancelled.
	Persistent bool `json:"persistent,omitempty"`
	// Image is the name of the image that the tasks run. Tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the upper bound for the tail of a persistent task's response times.
	LatencyTarget time.Duration `json:"latencyTarget,omitempty"`
	// BestEffort marks tasks that use the CPU time left over by others and reserve none.
	BestEffort bool `json:"fills,omitempty"`
	// DisruptionBudget is how many persistent tasks of the step planned maintenance may
	// interrupt at a time; 0 means any number.
	DisruptionBudget int `json:"mayMiss,omitempty"`
}

// Demand returns the resources that one task reserves on its instance.
func (s *Step) Demand() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Work estimates the work of one task in millicore-seconds. It is 0 for persistent and
// best-effort tasks.
func (s *Step) Work() float64 {
	if s.Persistent || s.BestEffort {
		return 0
	}
	return float64(s.CPU) * s.EstimatedRuntime.Seconds()
}

// Repeat is the schedule of a repeating job. A zero Count means that the job runs
// once, immediately.
type Repeat struct {
	Count    int           `json:"count,omitempty"`
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Spec is the specification of a job as submitted by a caller.
type Spec struct {
	// Payload is passed unchanged to every task.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	Repeat  Repeat `json:"repeat,omitzero"`
}

// Occurrences returns how often the job runs.
func (s *Spec) Occurrences() int { return max(1, s.Repeat.Count) }

// Due returns the earliest start of an occurrence. The zero time means immediately.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat.Count == 0 {
		return time.Time{}
	}
	return s.Repeat.Start.Add(time.Duration(occurrence) * s.Repeat.Interval)
}

// Persistent reports whether the job has a persistent step and so runs until it is
// cancelled.
func (s *Spec) Persistent() bool {
	for i := range s.Steps {
		if s.Steps[i].Persistent {
			return true
		}
	}
	return false
}

// Tasks returns the number of tasks of one occurrence.
func (s *Spec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Validate returns an error if the spec is invalid or exceeds the limits of a job.
func (s *Spec) Validate() error {
	switch {
	case len(s.Payload) > MaxPayload:
		return fmt.Errorf("payload has %d bytes, more than %d", len(s.Payload), MaxPayload)
	case len(s.Steps) == 0:
		return fmt.Errorf("a job needs at least one step")
	case len(s.Steps) > MaxSteps:
		return fmt.Errorf("job has %d steps, more than %d", len(s.Steps), MaxSteps)
	case s.Repeat.Count < 0 || s.Repeat.Count > MaxOccurrences || s.Repeat.Interval < 0 ||
		s.Repeat.Interval > MaxSpan/time.Duration(max(1, s.Repeat.Count)):
		return fmt.Errorf("repeat count %d or interval %v is out of range", s.Repeat.Count, s.Repeat.Interval)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
		if tasks > MaxTasks {
			return fmt.Errorf("job has more than %d tasks", MaxTasks)
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("count %d is not between 1 and %d", s.Count, MaxTasks)
	}
	if err := s.Resources.Validate(); err != nil {
		return err
	}
	if s.MaxPerInstance < 0 || s.DisruptionBudget < 0 || s.EstimatedRuntime < 0 || s.LatencyTarget < 0 {
		return fmt.Errorf("a negative amount")
	}
	if s.EstimatedRuntime > MaxRuntime || s.LatencyTarget > MaxRuntime {
		return fmt.Errorf("estimated runtime %v or latency target %v is more than %v", s.EstimatedRuntime, s.LatencyTarget, MaxRuntime)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return fmt.Errorf("after names step %d, which is not an earlier step", dependency)
		}
	}
	return nil
}

// Record is the stored form of an accepted job.
type Record struct {
	Pool  PoolName  `json:"pool"`
	Queue QueueName `json:"queue"`
	// Organisation is that of the caller, empty for a job of a public queue.
	Organisation Organisation `json:"organisation,omitempty"`
	ID           ID           `json:"id"`
	Spec         Spec         `json:"spec"`
	Accepted     time.Time    `json:"accepted"`
	// Settings are those of the queue when the job was accepted. They are nil in records of
	// versions that did not store them.
	Settings *QueueSettings `json:"settings,omitempty"`
}

// QueueSettings are the operator's settings of a queue.
type QueueSettings struct {
	// Priority is 0 for the most urgent queue.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Stretch and LatencyTarget set the objective for the completion time of a job:
	// Stretch times its critical path, plus LatencyTarget.
	Stretch       float64       `json:"stretch,omitempty"`
	LatencyTarget time.Duration `json:"latencyTarget,omitempty"`
	// RequiresTickets is true if tasks need a ticket for the runner they start on.
	RequiresTickets bool `json:"requiresTickets,omitempty"`
}

// Encode returns the JSON encoding for the value of the job's row.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes and validates the value of a job's row.
func DecodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	if r.Pool == "" || r.Queue == "" || !r.ID.Valid() {
		return nil, fmt.Errorf("job row lacks pool, queue or id")
	}
	if err := r.Spec.Validate(); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	return &r, nil
}

// CriticalPath estimates the runtime of the longest chain of dependent steps in one
// occurrence.
func (s *Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i := range s.Steps {
		var start time.Duration
		for _, dependency := range s.Steps[i].After {
			start = max(start, ends[dependency])
		}
		ends[i] = start + s.Steps[i].EstimatedRuntime
		longest = max(longest, ends[i])
	}
	return longest
}
