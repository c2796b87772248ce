package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestWaitingTaskIsPlacedWithoutEvent: the case that forced it is a lasting
// task that failed when nothing else went on; it was looked at just before its
// pause was over, and not again.
func TestWaitingTaskIsPlacedWithoutEvent(t *testing.T) {
	made := newHarness(t)
	of := made.submitWith(func(handed *job.Submission) { handed.Steps[0].Lasting = true })
	made.attachAndStart()
	made.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 1, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_FAILED}}})
	for range 8 {
		made.step()
		made.awaitWrites()
		made.clock.Advance(95 * time.Millisecond)
		made.owner.lastJoinAt = made.clock.Now()
		made.agent.lastMessageAt = made.clock.Now()
	}
	if got := of.Tasks()[0].Attempt(); got != 2 {
		t.Errorf("after 0.8 s it is at attempt %d", got)
	}
}

// TestFillTaskPlacementIsBounded: the case that forced it is a late job whose only task
// found no worker that bore it, and stood still although the workers were free.
func TestFillTaskPlacementIsBounded(t *testing.T) {
	made := newHarness(t)
	made.submitWith(func(handed *job.Submission) { handed.Steps[0].Fills, handed.Steps[0].Image = true, "loud" })
	made.attach()
	status := idleWorkerStatus()
	status.Tolerances = []*wire.Tolerance{{Image: "loud", MilliCpu: 0}}
	hear := func() {
		made.owner.lastJoinAt = made.clock.Now()
		made.receive(&wire.AgentMessage{Status: status})
		made.step()
	}
	hear()
	if len(made.agent.runs) != 0 {
		t.Fatal("placed at once where it is not borne")
	}
	for range 4 {
		made.clock.Advance(500 * time.Millisecond)
		hear()
	}
	if len(made.agent.runs) != 1 {
		t.Error("still waits after 2 s")
	}
}

// TestRefusedStartsLeaveTheJobPending: the job of a start that was refused has
// not begun.
func TestRefusedStartsLeaveTheJobPending(t *testing.T) {
	made := newHarness(t)
	of := made.submit()
	made.attachAndStart()
	made.receive(&wire.AgentMessage{Results: []*wire.StartResult{{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_NO_ROOM}}})
	if of.State() != job.State_STATE_QUEUED || of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Errorf("job %v, task %v", of.State(), of.Tasks()[0].State())
	}
}
