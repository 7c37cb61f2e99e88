package pool

import (
	"testing"

	"bronzestair/core/job"
)

// TestJobKeepsSettingsOfRemovedQueue guards against a run beyond the attempts that the queue had
// when the job was accepted, after a configuration without the queue, also under a new owner
// (review case 3).
func TestJobKeepsSettingsOfRemovedQueue(t *testing.T) {
	accepted := &QueueSettings{MaxAttempts: 2, Priority: 1, RequiresTickets: true}
	cases := map[string]struct {
		stored *QueueSettings
		queues map[job.QueueName]QueueSettings
		want   QueueSettings
	}{
		"removed":                               {accepted, nil, *accepted},
		"removed, record of an earlier version": {nil, nil, QueueSettings{MaxAttempts: defaultAttempts}},
		"changed":                               {accepted, map[job.QueueName]QueueSettings{testQueue: {MaxAttempts: 5}}, QueueSettings{MaxAttempts: 5}},
		"other queues changed":                  {accepted, map[job.QueueName]QueueSettings{"other": {MaxAttempts: 5}}, *accepted},
		"no attempts are configured":            {&QueueSettings{}, nil, QueueSettings{MaxAttempts: defaultAttempts}},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.send(&QueuesChanged{Queues: c.queues})
			h.send(&JobStored{Version: 11, Record: &job.Record{
				Pool: testPool, Queue: testQueue, ID: jobID(1), Spec: job.Spec{Steps: []job.Step{singleTaskStep()}}, Accepted: h.now, Settings: c.stored,
			}})
			want(t, "settings", h.pool.settings(h.pool.jobs[jobID(1)]), c.want)
		})
	}
}

// TestAttemptsOfRemovedQueue plays review case 3: the queue is removed after the first failure.
func TestAttemptsOfRemovedQueue(t *testing.T) {
	h := newHarness(t, Options{})
	h.runners("r1")
	h.answerPoll("r1", nil, nil)
	h.send(&JobStored{Version: 11, Record: &job.Record{
		Pool: testPool, Queue: testQueue, ID: jobID(1), Spec: job.Spec{Steps: []job.Step{singleTaskStep()}}, Accepted: h.now,
		Settings: &QueueSettings{MaxAttempts: 2},
	}})
	h.send(&QueuesChanged{Queues: map[job.QueueName]QueueSettings{}})
	for run := range 2 {
		h.answerPoll("r1", nil, []EndedTask{{Number: int64(run + 1), Task: taskID(1, 0, 0), Run: run + 1, Result: RunFailed}})
	}
	want(t, "outcome after two attempts", h.pool.jobs[jobID(1)].outcome, job.Failed)
}
