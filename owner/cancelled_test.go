package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// countStops counts the stop orders for the first task.
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

// listFirstRun has the agent list the first run of the first task.
func (h *harness) listFirstRun() {
	h.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1, Percent: 1}}})
}

// TestRunOfCancelledJobIsStopped: the current owner of a job stops a run that continues after the
// cancellation, even if its worker started the run seconds after the order, or if an earlier owner ordered
// it.
func TestRunOfCancelledJobIsStopped(t *testing.T) {
	cancel := func(h *harness) {
		h.readRecords(newRecord(h.t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	}
	tests := map[string]func(h *harness){
		"run is active": func(h *harness) {
			h.submit()
			h.attachAndStart()
			h.listFirstRun()
			cancel(h)
		},
		"run starts late, after its start was reported as failed": func(h *harness) {
			h.submit()
			h.attachAndStart()
			cancel(h)
			h.tick()
			h.receive(&wire.AgentMessage{Results: []*wire.StartResult{{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_WORKER_FAILED}}})
			h.tick()
			h.awaitWrites()
			h.takeSent()
			h.clock.Advance(5 * time.Second)
			h.owner.lastJoinAt = h.clock.Now()
			h.listFirstRun()
		},
		"run was ordered by an earlier owner": func(h *harness) {
			h.adoptRun(workerID)
			cancel(h)
			h.attach()
			h.listFirstRun()
		},
		"cancellation is read before the job": func(h *harness) {
			cancel(h)
			h.submit()
			h.attach()
			h.tick()
			h.awaitWrites()
			h.takeSent()
			h.listFirstRun()
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			prepare(h)
			if count := countStops(h.actAndTakeSent()); count != 1 {
				t.Errorf("%d stop orders, want 1", count)
			}
		})
	}
}
