package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// replaceOwner has the next owner of the shard begin, which this owner does not notice: it has no job to write.
func (h *harness) replaceOwner() {
	h.t.Helper()
	fence := platform.Append{Topic: job.TopicRuns, Partition: h.shard.number, Producer: producer, Epoch: h.shard.epoch + 1, Sequence: 1}
	if _, err := h.owner.options.Store.Append(context.Background(), fence); err != nil {
		h.t.Fatal(err)
	}
}

func countConfirmedEnds(messages []*wire.OwnerMessage) int {
	count := 0
	for _, message := range messages {
		count += len(message.GetSeen())
	}
	return count
}

func countPreemptions(messages []*wire.OwnerMessage) int {
	count := 0
	for _, message := range messages {
		count += len(message.GetPreempts())
	}
	return count
}

// TestReplacedOwnerConfirmsNoEnd guards against tasks that are started again after the worker was told to forget that
// they are done: an agent that has restarted may report an end to an owner that has been replaced.
func TestReplacedOwnerConfirmsNoEnd(t *testing.T) {
	tests := map[string]struct {
		prepare func(h *harness)
		attempt int32
	}{
		"of a job that the next owner has read": {func(*harness) {}, 1},
		"of a run that the next owner has started": {func(h *harness) {
			h.submit()
			h.attachAndStart()
		}, 2},
		"of a run that has an end already": {func(h *harness) {
			j := h.submit()
			h.attachAndStart()
			j.EndRun(j.Tasks()[0], 1, job.EndDone, "", h.clock.Now())
		}, 1},
	}
	for name, test := range tests {
		for state, replaced := range map[string]bool{"replaced": true, "still the owner": false} {
			t.Run(name+"/"+state, func(t *testing.T) {
				h := newHarness(t)
				h.attach()
				test.prepare(h)
				h.actAndTakeSent()
				if replaced {
					h.replaceOwner()
				}
				h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{
					Worker: workerID, Number: 7, Task: firstTask, Attempt: test.attempt, Reason: wire.EndReason_END_DONE,
				}}})
				if confirmed := countConfirmedEnds(h.actAndTakeSent()); confirmed > 0 == replaced {
					t.Errorf("%d ends confirmed", confirmed)
				}
			})
		}
	}
}

// TestReplacedOwnerStopsNoRun guards against the loss of the work of runs that the next owner has started.
func TestReplacedOwnerStopsNoRun(t *testing.T) {
	tests := map[string]func(h *harness){
		"of a job that the next owner has read": func(h *harness) {
			h.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1}}})
		},
		"that makes no progress": func(h *harness) {
			j := h.submit()
			run := h.trackRun(j.Tasks()[0])
			run.progressedAt = h.clock.Now().Add(-time.Minute)
			h.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1}}})
		},
		"of a gang": func(h *harness) {
			j := h.submitWith(func(submission *job.Submission) {
				submission.Steps[0].Count, submission.Steps[0].Gang = 2, true
			})
			h.trackRun(j.Tasks()[0])
			h.trackRun(j.Tasks()[1])
			h.owner.stopGang(j.Tasks()[1])
		},
		"of a job whose failure is not in the store": func(h *harness) {
			j := h.submitWith(func(submission *job.Submission) {
				submission.Steps[0].Count, submission.Attempts = 2, 1
			})
			h.trackRun(j.Tasks()[0])
			h.trackRun(j.Tasks()[1])
			h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 7, Task: j.Tasks()[1].Name(), Attempt: 1, Reason: wire.EndReason_END_FAILED}}})
		},
		"that is less urgent than a task without room": func(h *harness) {
			h.submit()
			status := idleWorkerStatus()
			status.FreeMemoryMb = 20
			status.Reclaimable = []*wire.Reclaimable{{Priority: 2, MemoryMb: 500}}
			h.receive(&wire.AgentMessage{Status: status})
		},
	}
	for name, prepare := range tests {
		for state, replaced := range map[string]bool{"replaced": true, "still the owner": false} {
			t.Run(name+"/"+state, func(t *testing.T) {
				h := newHarness(t)
				h.attach()
				h.actAndTakeSent()
				if replaced {
					h.replaceOwner()
				}
				prepare(h)
				messages := h.actAndTakeSent()
				if stops := countStops(messages) + countPreemptions(messages); stops > 0 == replaced {
					t.Errorf("%d stop orders", stops)
				}
			})
		}
	}
}

// trackRun has the task run on the agent's worker, as started by an earlier owner, and returns the run.
func (h *harness) trackRun(task *job.Task) *trackedRun {
	task.Job().StartRun(task, job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, h.clock.Now())
	run := newTrackedRun(h.shard, task, h.clock.Now())
	run.orderedEarlier = true
	h.agent.runs[run.taskName] = run
	return run
}

// TestOwnerWritesAfterConfirmingEnd guards against shards that are given up after the end of an unknown job was confirmed:
// the store refuses a write whose sequence number does not follow that of the last records.
func TestOwnerWritesAfterConfirmingEnd(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attachAndStart()
	unknownTask := h.unknownJobID() + ".0.0.0"
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 7, Task: unknownTask, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	if confirmed := countConfirmedEnds(h.actAndTakeSent()); confirmed != 1 {
		t.Fatalf("%d ends confirmed, want 1", confirmed)
	}
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 8, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	if confirmed := countConfirmedEnds(h.actAndTakeSent()); confirmed != 1 {
		t.Errorf("%d ends confirmed after the store had kept one, want 1", confirmed)
	}
}

// unknownJobID returns the ID of a job of the shard that the owner doesn't know.
func (h *harness) unknownJobID() string {
	for number := 0; ; number++ {
		if id := fmt.Sprintf("%016x", number); job.ShardOf(id, h.owner.options.Shards) == h.shard.number {
			return id
		}
	}
}
