package pool

import (
	"testing"
	"time"
)

// TestInvalidStartDelaysTheTask guards against a task whose start every runner rejects as malformed:
// each rejection keeps a runner from other tasks for a while.
func TestInvalidStartDelaysTheTask(t *testing.T) {
	h := newHarness(t, Options{})
	h.idleRunners("r1")
	refuse := func(effects []Effect) []Effect {
		var out []Effect
		for _, s := range effectsOf[*StartTask](effects) {
			if s.Task.Job == jobID(1) {
				out = append(out, h.send(&TaskStarted{Runner: "r1", Task: s.Task, Run: s.Run, CallResult: RefusedInvalid, Sent: h.now})...)
			}
		}
		return out
	}
	effects := refuse(h.storeJob(jobID(1), false, singleTaskStep()))
	starts := 0
	for range 600 {
		for len(effectsOf[*StartTask](effects)) > 0 {
			if starts++; starts > 1000 {
				t.Fatal("the start is repeated without a pause")
			}
			effects = refuse(effects)
		}
		effects = h.advance(100 * time.Millisecond)
	}
	if starts < 60/9 || starts > 60 {
		t.Errorf("%d starts in 60 s, want 7 to 60", starts)
	}
}
