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
func (made *harness) listFirstRun() {
	made.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1, Percent: 1}}})
}

// TestRunOfCancelledJobIsStopped: whoever owns a job now stops a run of it that goes on
// after the cancellation, also one that its worker began seconds after the order, and one
// whose owner is gone for good.
func TestRunOfCancelledJobIsStopped(t *testing.T) {
	cancel := func(made *harness) {
		made.readRecords(newRecord(made.t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	}
	tests := map[string]func(made *harness){
		"it runs": func(made *harness) {
			made.submit()
			made.attachAndStart()
			made.listFirstRun()
			cancel(made)
		},
		"it is begun late, after its end was taken for certain": func(made *harness) {
			made.submit()
			made.attachAndStart()
			cancel(made)
			made.tick()
			made.receive(&wire.AgentMessage{Results: []*wire.StartResult{{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_WORKER_FAILED}}})
			made.tick()
			made.awaitWrites()
			made.takeSent()
			made.clock.Advance(5 * time.Second)
			made.owner.lastJoinAt = made.clock.Now()
			made.listFirstRun()
		},
		"its owner is gone for good": func(made *harness) {
			made.adoptRun(workerID)
			cancel(made)
			made.attach()
			made.listFirstRun()
		},
		"the cancellation is read before the job": func(made *harness) {
			cancel(made)
			made.submit()
			made.attach()
			made.tick()
			made.awaitWrites()
			made.takeSent()
			made.listFirstRun()
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			prepare(made)
			made.tick()
			if count := countStops(made.takeSent()); count != 1 {
				t.Errorf("%d stops ordered", count)
			}
		})
	}
}
