package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestPreemptsForMoreUrgentTasks: a preemption is ordered only if runs of lower priority hold enough
// resources for the task, only for a task that reserves resources itself, and not repeated at once.
func TestPreemptsForMoreUrgentTasks(t *testing.T) {
	tests := map[string]struct {
		change      func(step *job.StepSpec)
		reclaimable *wire.Reclaimable
		orders      int
	}{
		"runs of lower priority hold enough": {func(*job.StepSpec) {}, &wire.Reclaimable{Priority: 2, MemoryMb: 500}, 1},
		"they hold too little":               {func(*job.StepSpec) {}, &wire.Reclaimable{Priority: 2, MemoryMb: 50}, 0},
		"they have the same priority":        {func(*job.StepSpec) {}, &wire.Reclaimable{Priority: 0, MemoryMb: 500}, 0},
		"a fill task waits":                  {func(step *job.StepSpec) { step.Fills = true }, &wire.Reclaimable{Priority: 2, MemoryMb: 500}, 0},
		"the label is missing":               {func(step *job.StepSpec) { step.Label = "b" }, &wire.Reclaimable{Priority: 2, MemoryMb: 500}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.submitWith(func(submission *job.Submission) { test.change(submission.Steps[0]) })
			h.attach()
			status := idleWorkerStatus()
			status.FreeMemoryMb = 20
			status.Reclaimable = []*wire.Reclaimable{test.reclaimable}
			orders := 0
			for range 4 {
				h.owner.lastJoinAt = h.clock.Now()
				h.receive(&wire.AgentMessage{Status: status})
				orders += countPreemptions(h.actAndTakeSent())
				h.clock.Advance(100 * time.Millisecond)
			}
			if orders != test.orders {
				t.Errorf("%d preemptions ordered", orders)
			}
		})
	}
}

// TestNoPreemptionWithoutShortage: no preemption is ordered on a worker where the task fits
// already or lacks a ticket.
func TestNoPreemptionWithoutShortage(t *testing.T) {
	tests := map[string]struct {
		change func(submission *job.Submission)
		free   int64
	}{
		"it fits":           {func(*job.Submission) {}, 4000},
		"it lacks a ticket": {func(submission *job.Submission) { submission.Advice = adviceTiming() }, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.submitWith(test.change)
			h.attach()
			status := idleWorkerStatus()
			status.FreeMemoryMb = test.free
			status.Reclaimable = []*wire.Reclaimable{{Priority: 2, MemoryMb: 500}}
			h.receive(&wire.AgentMessage{Status: status})
			now := h.clock.Now()
			if worker := h.owner.preemptionTarget(j.Tasks()[0], h.owner.candidates(h.owner.agentViews(), now), now); worker != nil {
				t.Error("a worker was chosen for preemption")
			}
		})
	}
}
