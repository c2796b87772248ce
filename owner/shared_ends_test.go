package owner

import (
	"context"
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestTaskWaitsForEndOfVanishedMachine guards against tasks that wait until the last grant must have expired, 11.8 s after
// the shard has changed hands, although the end of their run was known: the machine has left, and the former owner could
// not store the end.
func TestTaskWaitsForEndOfVanishedMachine(t *testing.T) {
	tests := map[string]struct {
		reason     wire.EndReason
		age        time.Duration
		state      job.TaskState
		checkpoint string
	}{
		"stopped":             {wire.EndReason_END_STOPPED, 3 * time.Second, job.TaskState_TASK_WAITING, "later"},
		"lost":                {wire.EndReason_END_LOST, 3 * time.Second, job.TaskState_TASK_WAITING, "later"},
		"failed":              {wire.EndReason_END_FAILED, 3 * time.Second, job.TaskState_TASK_FAILED, "later"},
		"done":                {wire.EndReason_END_DONE, 3 * time.Second, job.TaskState_TASK_DONE, "later"},
		"shared too long ago": {wire.EndReason_END_STOPPED, sharedEndRetention, job.TaskState_TASK_STARTED, "earlier"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.attach()
			next := h.becomeNextOwner()
			h.receive(&wire.AgentMessage{SharedEnds: []*wire.RunEnd{{
				Worker: workerID, Number: 7, Task: firstTask, Attempt: 1, Reason: test.reason, Checkpoint: "later",
			}}})
			h.owner.handleDisconnected(h.agent, h.agent.conn, context.Canceled, h.clock.Now())
			h.clock.Advance(test.age)
			h.owner.lastJoinAt = h.clock.Now()
			h.tick()
			task := next.load()
			if task.State() != test.state || task.Checkpoint() != test.checkpoint {
				t.Errorf("state %v with checkpoint %q, want %v and %q", task.State(), task.Checkpoint(), test.state, test.checkpoint)
			}
		})
	}
}

// nextOwnership is a shard that the harness's owner has been assigned and has not loaded.
type nextOwnership struct {
	h     *harness
	shard *shard
}

// becomeNextOwner has the harness's owner take its shard, which another owner has had until now.
func (h *harness) becomeNextOwner() nextOwnership {
	s := newShard(h.owner.ctx, h.shard.number, h.shard.epoch+1, h.clock.Now())
	h.owner.shards[s.number] = s
	return nextOwnership{h, s}
}

// load has the owner load a job whose only task the former owner has started on the agent's worker, and returns the task.
func (next nextOwnership) load() *job.Task {
	h := next.h
	submission := newSubmission()
	submission.Attempts = 1
	former := job.New(submission, next.shard.number)
	task := former.Tasks()[0]
	former.StartRun(task, job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, h.clock.Now())
	former.SetCheckpoint(task, 1, "earlier")
	h.owner.activateShard(next.shard,
		platform.ReadResult{Records: []platform.Record{newRecord(h.t, job.SubmissionKey(jobID), submission)}},
		platform.ReadResult{Records: []platform.Record{newRecord(h.t, jobID, former.Progress())}}, h.clock.Now())
	return next.shard.jobs[jobID].Tasks()[0]
}
