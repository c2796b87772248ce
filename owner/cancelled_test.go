package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// countStops counts the stops that have gone out for the first task.
func countStops(messages []*wire.OwnerMessage) int {
	count := 0
	for _, message := range messages {
		for _, order := range message.GetStops() {
			if order.GetTask() == firstTask {
				count++
			}
		}
	}
	return count
}

// listFirstRun has the agent list a run of the first task.
func (h *harness) listFirstRun() {
	h.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1, Percent: 1}}})
}

// TestRunOfCancelledJobIsStopped: whoever owns a job now stops a run of it that goes on
// after the cancellation, also one that its worker began seconds after the order, and one
// whose owner is gone for good.
func TestRunOfCancelledJobIsStopped(t *testing.T) {
	cancel := func(h *harness) {
		h.readRecords(newRecord(h.t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	}
	tests := map[string]func(h *harness){
		"it runs": func(h *harness) {
			h.submit()
			h.attachAndStart()
			h.listFirstRun()
			cancel(h)
		},
		"it is begun late, after its end was taken for certain": func(h *harness) {
			h.submit()
			h.attachAndStart()
			cancel(h)
			h.step()
			h.receive(&wire.AgentMessage{Results: []*wire.StartResult{{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_WORKER_FAILED}}})
			h.step()
			h.awaitWrites()
			h.takeSent()
			h.clock.Advance(5 * time.Second)
			h.owner.lastJoinAt = h.clock.Now()
			h.listFirstRun()
		},
		"its owner is gone for good": func(h *harness) {
			h.adoptRun(workerID)
			cancel(h)
			h.attach()
			h.listFirstRun()
		},
		"the cancellation is read before the job": func(h *harness) {
			cancel(h)
			h.submit()
			h.attach()
			h.step()
			h.awaitWrites()
			h.takeSent()
			h.listFirstRun()
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			prepare(h)
			h.step()
			if count := countStops(h.takeSent()); count != 1 {
				t.Errorf("%d stops ordered", count)
			}
		})
	}
}
