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
			if order.GetTask() == taskOne {
				count++
			}
		}
	}
	return count
}

// listFirstRun has the agent list a run of the first task.
func (made *bench) listFirstRun() {
	made.hear(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: taskOne, Attempt: 1, Percent: 1}}})
}

// TestRunOfCancelledJobIsStopped: whoever owns a job now stops a run of it that goes on
// after the cancellation, also one that its worker began seconds after the order, and one
// whose owner is gone for good.
func TestRunOfCancelledJobIsStopped(t *testing.T) {
	cancel := func(made *bench) {
		made.read(record(made.t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	}
	tests := map[string]func(made *bench){
		"it runs": func(made *bench) {
			made.submit()
			made.attachAndStart()
			made.listFirstRun()
			cancel(made)
		},
		"it is begun late, after its end was taken for certain": func(made *bench) {
			made.submit()
			made.attachAndStart()
			cancel(made)
			made.step()
			made.hear(&wire.AgentMessage{Results: []*wire.StartResult{{Task: taskOne, Attempt: 1, Worker: life, Outcome: wire.StartOutcome_START_WORKER_FAILED}}})
			made.step()
			made.settle()
			made.sent()
			made.clock.Advance(5 * time.Second)
			made.owner.lastJoinAt = made.clock.Now()
			made.listFirstRun()
		},
		"its owner is gone for good": func(made *bench) {
			made.inherit(life)
			cancel(made)
			made.attach()
			made.listFirstRun()
		},
		"the cancellation is read before the job": func(made *bench) {
			cancel(made)
			made.submit()
			made.attach()
			made.step()
			made.settle()
			made.sent()
			made.listFirstRun()
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			prepare(made)
			made.step()
			if count := countStops(made.sent()); count != 1 {
				t.Errorf("%d stops ordered", count)
			}
		})
	}
}
