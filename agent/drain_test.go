package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestRunsStopBeforeWorkerLeaves checks that a run which would not end before its worker leaves is stopped in
// time to resume elsewhere, and not earlier.
func TestRunsStopBeforeWorkerLeaves(t *testing.T) {
	tests := map[string]struct {
		remaining time.Duration
		percent   int32
		demand    *wire.Demand
		after     time.Duration
		runs      bool
	}{
		"not yet":       {5 * time.Second, 10, &wire.Demand{MilliCpu: 1000}, 3 * time.Second, true},
		"would not end": {5 * time.Second, 10, &wire.Demand{MilliCpu: 1000}, 4500 * time.Millisecond, false},
		// At 95%, it would depend on the last quarter of a second, while the test's clock may advance by some
		// tenths of a second until the start is answered.
		"is about to end":   {5 * time.Second, 97, &wire.Demand{MilliCpu: 1000}, 4500 * time.Millisecond, true},
		"long-running":      {5 * time.Second, 100, &wire.Demand{MilliCpu: 1000, Lasting: true}, 4500 * time.Millisecond, false},
		"no remaining time": {0, 10, &wire.Demand{MilliCpu: 1000}, 6 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.attachOwnerWithRun(test.demand)
			h.worker.SetProgress(testTask, test.percent)
			h.sendDrainNotice(test.remaining)
			h.advance(test.after)
			if runs := h.isRunning(); runs != test.runs {
				t.Errorf("the run goes on: %v", runs)
			}
		})
	}
}

// TestCancelledDrain checks that the remaining time of a cancelled drain has no effect, even if the worker
// drains again without a remaining time.
func TestCancelledDrain(t *testing.T) {
	h := newHarness(t)
	h.attachOwnerWithRun(newStartOrder(1).GetDemand())
	h.sendDrainNotice(5 * time.Second)
	cancelled := h.firstHeartbeat()
	cancelled.Sequence = 3
	h.agent.HandleHeartbeat(cancelled)
	draining := h.firstHeartbeat()
	draining.Sequence, draining.Draining = 4, true
	h.agent.HandleHeartbeat(draining)
	h.advance(6 * time.Second)
	if !h.isRunning() {
		t.Error("the run was stopped for the cancelled drain")
	}
}
