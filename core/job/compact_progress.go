package job

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// A progress row grows with the steps and tasks that the plain form names one by one. The compact
// form names none: a task is a position in a Bitmap, counted through the occurrences from the first
// that is not completed. There is one bitmap for the tasks that are done and one for each number of
// a failed run, so that its size is bounded by the tasks that are in memory.
//
// Rows are compressed, which also tells the forms apart: the plain form is a JSON object.

// RowFormat numbers the changes of the stored forms that earlier versions of the program cannot read.
// An entry reads all formats up to its own.
type RowFormat int

// CompactRowFormat is the first format with the compact form of progress. It is the current one.
const CompactRowFormat RowFormat = 1

// maxCompactBytes bounds the size of the decompressed compact form.
const maxCompactBytes = 4 << 20

// gzipMagic is how compressed rows begin.
var gzipMagic = []byte{0x1f, 0x8b}

// compactProgress is the compact form of Progress.
type compactProgress struct {
	Finished int `json:"finished,omitempty"`
	// Counts holds the number of tasks of each step.
	Counts []int  `json:"counts"`
	Done   Bitmap `json:"done,omitempty"`
	// Failed maps the numbers of failed runs to the tasks in question.
	Failed map[int]Bitmap `json:"failed,omitempty"`
}

// EncodeCompact returns the compact form of the value of a progress row. Entries whose RowFormat is
// lower than CompactRowFormat cannot read it.
func (p *Progress) EncodeCompact(spec *Spec) ([]byte, error) {
	compact, err := p.compact(spec)
	if err != nil {
		return nil, fmt.Errorf("compact progress: %w", err)
	}
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if err := json.NewEncoder(compressor).Encode(compact); err != nil {
		return nil, fmt.Errorf("compact progress: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compact progress: %w", err)
	}
	return out.Bytes(), nil
}

func (p *Progress) compact(spec *Spec) (*compactProgress, error) {
	out := &compactProgress{Finished: p.FinishedOccurrences, Failed: map[int]Bitmap{}}
	for i := range spec.Steps {
		out.Counts = append(out.Counts, spec.Steps[i].Count)
	}
	layout := newTaskLayout(out)
	for key, done := range p.Done {
		numbers, err := parseKey(key, 2)
		if err != nil {
			return nil, err
		}
		for i := range len(done) * 8 {
			if !Bitmap(done).Has(i) {
				continue
			}
			position, err := layout.position(numbers[0], numbers[1], i)
			if err != nil {
				return nil, err
			}
			out.Done.Set(position)
		}
	}
	for key, runs := range p.Failed {
		numbers, err := parseKey(key, 3)
		if err != nil {
			return nil, err
		}
		position, err := layout.position(numbers[0], numbers[1], numbers[2])
		if err != nil {
			return nil, err
		}
		for _, run := range runs {
			tasks := out.Failed[run]
			tasks.Set(position)
			out.Failed[run] = tasks
		}
	}
	return out, nil
}

// parseKey parses a key of Progress, which consists of n numbers joined by dots.
func parseKey(key string, n int) ([]int, error) {
	parts := strings.Split(key, ".")
	if len(parts) != n {
		return nil, fmt.Errorf("key %q does not have %d parts", key, n)
	}
	numbers := make([]int, n)
	for i, part := range parts {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return nil, fmt.Errorf("key %q: %q is not a number", key, part)
		}
		numbers[i] = number
	}
	return numbers, nil
}

// decodeCompact decodes the compact form.
func decodeCompact(value []byte) (*Progress, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	encoded, err := io.ReadAll(io.LimitReader(decompressor, maxCompactBytes+1))
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxCompactBytes {
		return nil, fmt.Errorf("more than %d bytes", maxCompactBytes)
	}
	var compact compactProgress
	if err := json.Unmarshal(encoded, &compact); err != nil {
		return nil, err
	}
	if err := compact.validate(); err != nil {
		return nil, err
	}
	return compact.expand(), nil
}

func (c *compactProgress) validate() error {
	tasks := 0
	for _, count := range c.Counts {
		if count < 1 || count > MaxTasks {
			return fmt.Errorf("count %d is not between 1 and %d", count, MaxTasks)
		}
		tasks += count
	}
	if tasks == 0 || tasks > MaxTasks || c.Finished < 0 || c.Finished > MaxOccurrences {
		return fmt.Errorf("%d tasks in an occurrence, %d finished occurrences", tasks, c.Finished)
	}
	return nil
}

// expand returns the progress of which c is the compact form.
func (c *compactProgress) expand() *Progress {
	out := &Progress{Done: map[string][]byte{}, Failed: map[string]FailedRuns{}, FinishedOccurrences: c.Finished}
	layout := newTaskLayout(c)
	for position := range len(c.Done) * 8 {
		if !c.Done.Has(position) {
			continue
		}
		occurrence, step, index := layout.task(position)
		key := fmt.Sprintf("%d.%d", occurrence, step)
		done := Bitmap(out.Done[key])
		done.Set(index)
		out.Done[key] = done
	}
	for run, tasks := range c.Failed {
		for position := range len(tasks) * 8 {
			if tasks.Has(position) {
				occurrence, step, index := layout.task(position)
				key := fmt.Sprintf("%d.%d.%d", occurrence, step, index)
				out.Failed[key] = append(out.Failed[key], run)
			}
		}
	}
	for _, runs := range out.Failed {
		slices.Sort(runs)
	}
	return out
}

// taskLayout maps the tasks of a job to their positions in the compact form.
type taskLayout struct {
	firstOccurrence int
	// counts holds the number of tasks of each step, offsets that of the steps before it.
	counts, offsets []int
	// tasks is the number of tasks in an occurrence.
	tasks int
}

func newTaskLayout(c *compactProgress) taskLayout {
	l := taskLayout{firstOccurrence: c.Finished, counts: c.Counts}
	for _, count := range c.Counts {
		l.offsets = append(l.offsets, l.tasks)
		l.tasks += count
	}
	return l
}

func (l *taskLayout) position(occurrence, step, index int) (int, error) {
	if occurrence < l.firstOccurrence || occurrence > MaxOccurrences || step >= len(l.counts) || index >= l.counts[step] {
		return 0, fmt.Errorf("the job has no task %d.%d.%d after occurrence %d", occurrence, step, index, l.firstOccurrence)
	}
	return (occurrence-l.firstOccurrence)*l.tasks + l.offsets[step] + index, nil
}

func (l *taskLayout) task(position int) (occurrence, step, index int) {
	occurrence, index = l.firstOccurrence+position/l.tasks, position%l.tasks
	step, found := slices.BinarySearch(l.offsets, index)
	if !found {
		step--
	}
	return occurrence, step, index - l.offsets[step]
}
