package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestPreemptsForMoreUrgentTasks: the agent is asked to make room only for a task that
// holds room itself, where less urgent runs hold enough, and not again at once.
func TestPreemptsForMoreUrgentTasks(t *testing.T) {
	tests := map[string]struct {
		change      func(step *job.StepSpec)
		reclaimable *wire.Reclaimable
		asks        int
	}{
		"less urgent runs hold enough": {func(*job.StepSpec) {}, &wire.Reclaimable{Priority: 2, MemoryMb: 500}, 1},
		"they hold too little":         {func(*job.StepSpec) {}, &wire.Reclaimable{Priority: 2, MemoryMb: 50}, 0},
		"they are as urgent":           {func(*job.StepSpec) {}, &wire.Reclaimable{Priority: 0, MemoryMb: 500}, 0},
		"a task that fills waits":      {func(step *job.StepSpec) { step.Fills = true }, &wire.Reclaimable{Priority: 2, MemoryMb: 500}, 0},
		"the label is missing":         {func(step *job.StepSpec) { step.Label = "b" }, &wire.Reclaimable{Priority: 2, MemoryMb: 500}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.submitWith(func(handed *job.Submission) { test.change(handed.Steps[0]) })
			made.attach()
			status := idleWorkerStatus()
			status.FreeMemoryMb = 20
			status.Reclaimable = []*wire.Reclaimable{test.reclaimable}
			for range 4 {
				made.owner.lastJoinAt = made.clock.Now()
				made.receive(&wire.AgentMessage{Status: status})
				made.step()
				made.clock.Advance(100 * time.Millisecond)
			}
			asks := 0
			for _, message := range made.takeSent() {
				asks += len(message.GetPreempts())
			}
			if asks != test.asks {
				t.Errorf("asked %d times", asks)
			}
		})
	}
}

// TestNoPreemptionWhenRoomIsNotTheObstacle: nothing is asked for where the task fits already, or
// waits for a ticket.
func TestNoPreemptionWhenRoomIsNotTheObstacle(t *testing.T) {
	tests := map[string]struct {
		change func(handed *job.Submission)
		free   int64
	}{
		"it fits, the worker is avoided": {func(*job.Submission) {}, 4000},
		"it waits for a ticket":          {func(handed *job.Submission) { handed.Advice = adviceTiming() }, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.submitWith(test.change)
			made.attach()
			status := idleWorkerStatus()
			status.FreeMemoryMb = test.free
			status.Reclaimable = []*wire.Reclaimable{{Priority: 2, MemoryMb: 500}}
			made.receive(&wire.AgentMessage{Status: status})
			now := made.clock.Now()
			if worker := made.owner.preemptionTarget(of.Tasks()[0], made.owner.candidates(made.owner.agentViews(), now), now); worker != nil {
				t.Error("a worker is asked to make room")
			}
		})
	}
}
