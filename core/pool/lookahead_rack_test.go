package pool

import (
	"testing"

	"bronzestair/core/job"
)

// TestWantedRack guards against a task that takes the room of others on the rack with their data
// although there is other room, and against one that waits because there is none.
func TestWantedRack(t *testing.T) {
	for name, c := range map[string]struct {
		lookahead Lookahead
		dataRack  string
		memory    job.MiB
		want      RunnerID
	}{
		"other room":          {LookaheadOn, "", 100, "r2"},
		"data on a third one": {LookaheadOn, "rack-3", 100, "r2"},
		"data there":          {LookaheadOn, "rack-1", 100, "r1"},
		"no other room":       {LookaheadOn, "", 30000, "r1"},
		"off, best fit":       {LookaheadOff, "", 100, "r1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Options{Lookahead: c.lookahead})
			h.send(&RunnersListed{Runners: []Runner{
				{ID: "r1", Capacity: job.Resources{CPU: 16000, Memory: 65536}, Labels: []string{"a", "rack-1"}},
				{ID: "r2", Capacity: job.Resources{CPU: 20000, Memory: 20000}, Labels: []string{"a", "rack-2"}},
			}})
			h.answerPoll("r1", nil, nil)
			h.answerPoll("r2", nil, nil)
			step := singleTaskStep()
			step.DataRack = "rack-1"
			h.confirmStarts(h.storeJob(jobID(1), false, step))
			h.advance(2 * maxRankAge)
			step.DataRack, step.Memory = c.dataRack, c.memory
			starts := effectsOf[*StartTask](h.storeJob(jobID(2), false, step))
			want(t, "starts", len(starts), 1)
			want(t, "runner", starts[0].Runner.ID, c.want)
		})
	}
}
