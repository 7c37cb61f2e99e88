package pool

import (
	"testing"
	"time"

	"bronzestair/core/job"
)

// TestGangSurvivesRestartOfAMember covers a runner that restarts under its id while it runs a
// member of a gang: the members start together again, under a new number, and only once the
// other member has ended.
func TestGangSurvivesRestartOfAMember(t *testing.T) {
	h := newHarness(t, Options{})
	runner := func(id RunnerID, born time.Time) Runner {
		return Runner{ID: id, Address: string(id), Capacity: job.Resources{CPU: 1000, Memory: 65536}, Born: born}
	}
	h.send(&RunnersListed{Runners: []Runner{runner("r1", firstBorn), runner("r2", firstBorn)}})
	h.answer(firstBorn, nil)
	h.answerPoll("r2", nil, nil)
	placed := h.storeJob(jobID(1), false, job.Step{Count: 2, Gang: true, Resources: job.Resources{CPU: 1000, Memory: 256}})
	want(t, "starts", describeStarts(placed), []string{taskID(1, 0, 0).String() + " 1@r1", taskID(1, 0, 1).String() + " 1@r2"})
	h.confirmStarts(placed)
	h.answer(firstBorn, []RunningTask{{Task: taskID(1, 0, 0), Run: 1}})
	h.answerPoll("r2", []RunningTask{{Task: taskID(1, 0, 1), Run: 1}}, nil)

	effects := h.send(&RunnersListed{Runners: []Runner{runner("r1", secondBorn), runner("r2", firstBorn)}})
	effects = append(effects, h.answer(secondBorn, nil)...)
	effects = append(effects, h.advance(100*time.Millisecond)...)
	want(t, "starts before the other member has ended", describeStarts(effects), []string(nil))
	effects = h.answerPoll("r2", nil, []EndedTask{{Number: 1, Task: taskID(1, 0, 1), Run: 1, Result: RunGangMemberEnded}})
	want(t, "starts", describeStarts(effects), []string{taskID(1, 0, 0).String() + " 2@r1", taskID(1, 0, 1).String() + " 2@r2"})
}
