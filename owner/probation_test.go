package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestProbationBesideLongRunningTask: a worker on probation is given one run at a time. A long-running
// task on it never ends, so its end cannot show that the worker is healthy. Once it has been running
// for as long as the probation it must not keep other tasks away.
func TestProbationBesideLongRunningTask(t *testing.T) {
	tests := map[string]struct {
		longRunning bool
		running     time.Duration
		want        bool
	}{
		"a long-running task, running for long": {true, 2 * probationDuration, true},
		"a long-running task, just started":     {true, probationDuration / 2, false},
		"a task that ends":                      {false, 2 * probationDuration, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.submitWith(func(submission *job.Submission) { submission.Steps[0].Lasting = test.longRunning })
			h.attachAndStart()
			h.receive(&wire.AgentMessage{Complete: true, Runs: firstRunListed()})
			h.clock.Advance(test.running)
			h.owner.lastJoinAt = h.clock.Now()
			h.receive(&wire.AgentMessage{Complete: true, Runs: firstRunListed()})
			h.agent.consecutiveFailures, h.agent.avoidUntil = failuresBeforeProbation, time.Time{}
			submission := newSubmission()
			submission.Id, submission.Steps[0].Count = otherJobInShard(), 3
			h.readRecords(newRecord(t, job.SubmissionKey(submission.Id), submission))
			h.tick()
			placed := 0
			for _, task := range h.shard.jobs[submission.Id].Tasks() {
				if task.State() == job.TaskState_TASK_STARTED {
					placed++
				}
			}
			if placed > 1 || (placed == 1) != test.want {
				t.Errorf("%d tasks were placed", placed)
			}
		})
	}
}

// otherJobInShard returns the ID of another job in the shard of jobID.
func otherJobInShard() string {
	for id := []byte(jobID); ; id[0]++ {
		if string(id) != jobID && job.ShardOf(string(id), 8) == job.ShardOf(jobID, 8) {
			return string(id)
		}
	}
}

// TestTicketsExpireSeparately: the ticket from an earlier answer expires before that from a later one.
// If it were still used, the worker would refuse it, and all tickets of the step would be dropped.
func TestTicketsExpireSeparately(t *testing.T) {
	h := newHarness(t)
	j := h.submitWith(func(submission *job.Submission) { submission.Advice = adviceTiming() })
	h.attach()
	task, name := j.Tasks()[0], stepName(j.Tasks()[0])
	step := &stepAdvice{timing: adviceTiming(), service: "verbale"}
	h.owner.advice.steps[name] = step
	answer := func(id string) {
		h.owner.handleAdvice(name, step, []incarnation.ID{incarnation.New(id, 0)},
			platform.Advice{Tickets: map[string]string{id: "t-" + id}, ValidFor: 3 * time.Second}, nil, h.clock.Now())
	}
	answer(workerID)
	h.clock.Advance(2 * time.Second)
	answer("i-2")
	h.clock.Advance(1500 * time.Millisecond)
	now := h.clock.Now()
	if _, valid := h.owner.ticketFor(task, incarnation.New(workerID, 0), now); valid {
		t.Error("the earlier ticket is still used after it has expired")
	}
	if _, valid := h.owner.ticketFor(task, incarnation.New("i-2", 0), now); !valid {
		t.Error("the later ticket is not used although it is valid")
	}
}
