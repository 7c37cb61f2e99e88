package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// TestOccurrenceAheadOfTheClockIsNotRunAgain guards against a new owner whose clock is behind that
// of the previous one: an occurrence that is not due by its clock was left out, and its stored
// progress, ends and runs with it, so that it ran again once it was due.
func TestOccurrenceAheadOfTheClockIsNotRunAgain(t *testing.T) {
	const behind = time.Second
	var doneFirst job.Bitmap
	doneFirst.Set(0)
	cases := map[string]struct {
		progress *job.Progress
		running  []RunningTask
		ended    []EndedTask
	}{
		"stored as done":    {progress: &job.Progress{Done: map[string][]byte{"0.0": doneFirst}}},
		"listed as done":    {ended: []EndedTask{{Number: 1, Task: taskID(1, 0, 0), Run: 1, Result: RunDone}}},
		"listed as running": {running: []RunningTask{{Task: taskID(1, 0, 0), Run: 1}}},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{Epoch: 2})
			h.runners("r1")
			h.incarnations("r1")
			h.send(&JobStored{
				Version: 11, Inherited: true, Progress: c.progress, ProgressVersion: 12,
				Record: &job.Record{Pool: testPool, Queue: testQueue, ID: jobID(1), Accepted: h.now, Spec: job.Spec{
					Steps:  []job.Step{singleTaskStep()},
					Repeat: job.Repeat{Count: 2, Start: h.now.Add(behind), Interval: time.Hour},
				}},
			})
			effects := h.answerPoll("r1", c.running, c.ended)
			for range 4 {
				effects = append(effects, h.advance(behind/2)...)
				effects = append(effects, h.answerPoll("r1", c.running, c.ended)...)
			}
			want(t, "starts", describeStarts(effects), []string(nil))
			want(t, "stops", len(effectsOf[*StopTask](effects)), 0)
		})
	}
}
