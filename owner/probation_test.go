package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestProbationBesideLongRunningTask: a worker in doubt is tried also beside a task that lasts, which never ends and
// so never shows that the worker does. While it is tried it is given nothing else.
func TestProbationBesideLongRunningTask(t *testing.T) {
	tests := map[string]struct {
		lasts  bool
		atWork time.Duration
		want   bool
	}{
		"a task that lasts, at work":        {true, 2 * probationDuration, true},
		"a task that lasts, just begun":     {true, probationDuration / 2, false},
		"a task that shows it when it ends": {false, 2 * probationDuration, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.submitWith(func(handed *job.Submission) { handed.Steps[0].Lasting = test.lasts })
			made.attachAndStart()
			made.receive(&wire.AgentMessage{Complete: true, Runs: firstRunListed()})
			made.clock.Advance(test.atWork)
			made.owner.lastJoinAt = made.clock.Now()
			made.receive(&wire.AgentMessage{Complete: true, Runs: firstRunListed()})
			made.agent.consecutiveFailures, made.agent.avoidUntil = failuresBeforeProbation, time.Time{}
			handed := newSubmission()
			handed.Id, handed.Steps[0].Count = otherJobInShard(), 3
			made.readRecords(newRecord(t, job.SubmissionKey(handed.Id), handed))
			made.step()
			placed := 0
			for _, task := range made.shard.jobs[handed.Id].Tasks() {
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

// otherJobInShard names another job of the same shard.
func otherJobInShard() string {
	for id := []byte(jobID); ; id[0]++ {
		if string(id) != jobID && job.ShardOf(string(id), 8) == job.ShardOf(jobID, 8) {
			return string(id)
		}
	}
}

// TestTicketsExpireSeparately: that of an earlier answer ends before that of a later one. It would be refused, and with
// it all tickets of the step would be forgotten.
func TestTicketsExpireSeparately(t *testing.T) {
	made := newHarness(t)
	of := made.submitWith(func(handed *job.Submission) { handed.Advice = adviceTiming() })
	made.attach()
	task, name := of.Tasks()[0], stepName(of.Tasks()[0])
	known := &stepAdvice{timing: adviceTiming(), service: "verbale"}
	made.owner.advice.steps[name] = known
	answer := func(id string) {
		made.owner.handleAdvice(name, known, []incarnation.ID{incarnation.New(id, 0)},
			platform.Advice{Tickets: map[string]string{id: "t-" + id}, Valid: 3 * time.Second}, nil, made.clock.Now())
	}
	answer(workerID)
	made.clock.Advance(2 * time.Second)
	answer("i-2")
	made.clock.Advance(1500 * time.Millisecond)
	now := made.clock.Now()
	if _, good := made.owner.ticketFor(task, incarnation.New(workerID, 0), now); good {
		t.Error("the earlier ticket is taken to hold")
	}
	if _, good := made.owner.ticketFor(task, incarnation.New("i-2", 0), now); !good {
		t.Error("the later ticket is taken to have ended")
	}
}
