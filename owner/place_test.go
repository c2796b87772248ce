package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestWaitingTaskIsPlacedWithoutEvent: a task is placed once its backoff after a failure is over, even if
// nothing else happens. It guards against passes that only follow events: a long-running task was
// considered just before its backoff ended, and then not again.
func TestWaitingTaskIsPlacedWithoutEvent(t *testing.T) {
	h := newHarness(t)
	j := h.submitWith(func(submission *job.Submission) { submission.Steps[0].Lasting = true })
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 1, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_FAILED}}})
	for range 8 {
		h.tick()
		h.awaitWrites()
		h.clock.Advance(95 * time.Millisecond)
		h.owner.lastJoinAt = h.clock.Now()
		h.agent.lastMessageAt = h.clock.Now()
	}
	if got := j.Tasks()[0].Attempt(); got != 2 {
		t.Errorf("after 0.8 s the task is at attempt %d", got)
	}
}

// TestFillTaskPlacementIsBounded: a fill task does not wait forever for a worker that tolerates it. It
// guards against a late job whose only task stays unplaced although the workers are free.
func TestFillTaskPlacementIsBounded(t *testing.T) {
	h := newHarness(t)
	h.submitWith(func(submission *job.Submission) { submission.Steps[0].Fills, submission.Steps[0].Image = true, "loud" })
	h.attach()
	status := idleWorkerStatus()
	status.Tolerances = []*wire.Tolerance{{Image: "loud", MilliCpu: 0}}
	receive := func() {
		h.owner.lastJoinAt = h.clock.Now()
		h.receive(&wire.AgentMessage{Status: status})
		h.tick()
	}
	receive()
	if len(h.agent.runs) != 0 {
		t.Fatal("the task was placed at once although the worker does not tolerate it")
	}
	for range 4 {
		h.clock.Advance(500 * time.Millisecond)
		receive()
	}
	if len(h.agent.runs) != 1 {
		t.Error("the task still waits after 2 s")
	}
}

// TestRefusedStartsLeaveTheJobPending: a job is queued until a run starts; a refused start does not count.
func TestRefusedStartsLeaveTheJobPending(t *testing.T) {
	h := newHarness(t)
	j := h.submit()
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Results: []*wire.StartResult{{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_NO_ROOM}}})
	if j.State() != job.State_STATE_QUEUED || j.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Errorf("job %v, task %v; want STATE_QUEUED and TASK_WAITING", j.State(), j.Tasks()[0].State())
	}
}
