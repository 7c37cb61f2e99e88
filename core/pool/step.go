package pool

import (
	"iter"
	"slices"

	"bronzestair/core/job"
)

// taskChunk is the number of tasks that are allocated at a time.
const taskChunk = 16

// stepState is one step of an occurrence. The tasks of a step are alike until they are placed,
// so they are allocated only then: a step that waits takes no memory for its tasks.
type stepState struct {
	spec *job.Step
	job  *jobState
	// occurrence and number identify the step within its job.
	occurrence, number int
	// chunks holds the allocated tasks, taskChunk of them in each entry that is not nil. It is
	// empty until the first one is allocated.
	chunks [][]task
	// restored holds the tasks that were done before they were allocated.
	restored  job.Bitmap
	remaining int
	ready     int
	unblocked bool
	// typical holds the run times of completed tasks, see typicalRuntimes.
	typical typicalRuntimes
	// share caches the dominant share of one task's demand in a pool of the capacity shareOf.
	share   float64
	shareOf job.Resources
	reservable
}

func newStep(j *jobState, occurrence, number int) *stepState {
	spec := &j.record.Spec.Steps[number]
	return &stepState{spec: spec, job: j, occurrence: occurrence, number: number, remaining: spec.Count}
}

// taskID returns the id of the task with an index.
func (s *stepState) taskID(index int) job.TaskID {
	return job.TaskID{Job: s.job.id(), Occurrence: s.occurrence, Step: s.number, Index: index}
}

// key returns the job.TaskID.StepKey of the step.
func (s *stepState) key() string { return s.taskID(0).StepKey() }

// newTask returns a task that has not been allocated.
func (s *stepState) newTask(index int) task {
	t := task{id: s.taskID(index), job: s.job, step: s}
	switch {
	case s.restored.Has(index):
		t.state = done
	case s.unblocked:
		t.state = ready
	}
	return t
}

// task returns the task with an index, and allocates it if necessary.
func (s *stepState) task(index int) *task {
	if s.chunks == nil {
		s.chunks = make([][]task, (s.spec.Count+taskChunk-1)/taskChunk)
	}
	chunk := index / taskChunk
	if s.chunks[chunk] == nil {
		first := chunk * taskChunk
		tasks := make([]task, min(taskChunk, s.spec.Count-first))
		for i := range tasks {
			tasks[i] = s.newTask(first + i)
		}
		s.chunks[chunk] = tasks
		s.job.allocated += len(tasks)
	}
	return &s.chunks[chunk][index%taskChunk]
}

// peek returns the task with an index, or a copy in scratch if it is not allocated.
func (s *stepState) peek(index int, scratch *task) *task {
	if s.chunks != nil && s.chunks[index/taskChunk] != nil {
		return s.task(index)
	}
	*scratch = s.newTask(index)
	return scratch
}

// allocated returns the tasks that are allocated.
func (s *stepState) allocated() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, chunk := range s.chunks {
			for i := range chunk {
				if !yield(&chunk[i]) {
					return
				}
			}
		}
	}
}

// allocatedCount returns the number of allocated tasks.
func (s *stepState) allocatedCount() int {
	n := 0
	for _, chunk := range s.chunks {
		n += len(chunk)
	}
	return n
}

// restore records the tasks that are done. None may be allocated.
func (s *stepState) restore(finished job.Bitmap) {
	if whole := (s.spec.Count + 7) / 8; len(finished) > whole {
		finished = finished[:whole]
	}
	s.restored = slices.Clone(finished)
	if rest := s.spec.Count % 8; rest > 0 && len(finished) == s.spec.Count/8+1 {
		s.restored[len(finished)-1] &= 1<<rest - 1
	}
	s.remaining = s.spec.Count - s.restored.Count()
}

// unblock makes the waiting tasks ready.
func (s *stepState) unblock() {
	s.unblocked = true
	waitingTasks := s.untouched()
	for t := range s.allocated() {
		if t.state == waiting {
			t.state = ready
			waitingTasks++
		}
	}
	s.ready += waitingTasks
	s.job.ready += waitingTasks
}

// untouched returns the number of tasks that are neither allocated nor done.
func (s *stepState) untouched() int {
	n := s.spec.Count - s.allocatedCount() - s.restored.Count()
	for chunk, tasks := range s.chunks {
		for i := range tasks {
			if s.restored.Has(chunk*taskChunk + i) {
				n++ // it is among the allocated ones
			}
		}
	}
	return n
}

// finished returns the set of tasks that are done.
func (s *stepState) finished() job.Bitmap {
	out := slices.Clone(s.restored)
	for t := range s.allocated() {
		if t.state == done {
			out.Set(t.id.Index)
		}
	}
	return out
}

// assigned counts the tasks that are assigned to a runner.
func (s *stepState) assigned() int {
	n := 0
	for t := range s.allocated() {
		if t.runner != nil {
			n++
		}
	}
	return n
}

// unstarted counts the tasks that are neither assigned nor done.
func (s *stepState) unstarted() int {
	if s.unblocked {
		return s.ready // no task waits for an earlier step
	}
	n := s.untouched()
	for t := range s.allocated() {
		if t.state == waiting || t.state == ready {
			n++
		}
	}
	return n
}
