package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestRunsStopBeforeWorkerLeaves: a run that would not end before its worker is gone
// is stopped in time to go on elsewhere, and not before.
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
		// At 95% the last quarter second of the notice would decide, and the clock of the test may run on by some
		// tenths while a start is awaited.
		"is about to end":      {5 * time.Second, 97, &wire.Demand{MilliCpu: 1000}, 4500 * time.Millisecond, true},
		"lasts":                {5 * time.Second, 100, &wire.Demand{MilliCpu: 1000, Lasting: true}, 4500 * time.Millisecond, false},
		"says nothing of time": {0, 10, &wire.Demand{MilliCpu: 1000}, 6 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.attachOwnerWithRun(test.demand)
			made.worker.Progress(testTask, test.percent)
			made.sendDrainNotice(test.remaining)
			made.advance(test.after)
			if runs := made.isRunning(); runs != test.runs {
				t.Errorf("it runs: %v", runs)
			}
		})
	}
}

// TestCancelledDrain: a notice that was taken back counts no more, also when
// the worker drains again without saying for how long it stays.
func TestCancelledDrain(t *testing.T) {
	made := newHarness(t)
	made.attachOwnerWithRun(newStartOrder(1).GetDemand())
	made.sendDrainNotice(5 * time.Second)
	stays := made.firstHeartbeat()
	stays.Sequence = 3
	made.agent.Beat(stays)
	drains := made.firstHeartbeat()
	drains.Sequence, drains.Draining = 4, true
	made.agent.Beat(drains)
	made.advance(6 * time.Second)
	if !made.isRunning() {
		t.Error("it was stopped for the first notice")
	}
}
