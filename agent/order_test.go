package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

func TestEndIsKeptUntilStored(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	h.mustStart(owner, newStartOrder(1))
	h.worker.End(testTask, "done")
	h.waitFor(func() bool { return owner.firstEnd() != nil })
	if _, seen := h.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget end %d before it was durable", seen)
	}
	owner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: workerID, Number: owner.firstEnd().GetNumber()}}})
	h.waitFor(func() bool { _, seen := h.worker.Looks(); return seen == 1 })
}

func TestStartOutcomes(t *testing.T) {
	tests := map[string]struct {
		change func(order *wire.StartOrder)
		want   wire.StartOutcome
	}{
		"an earlier owner's epoch": {func(order *wire.StartOrder) { order.Epoch = 6 }, wire.StartOutcome_START_STALE},
		"another incarnation":      {func(order *wire.StartOrder) { order.Worker = "i-0" }, wire.StartOutcome_START_WRONG_WORKER},
		"no room":                  {func(order *wire.StartOrder) { order.Demand.MilliCpu = 4001 }, wire.StartOutcome_START_NO_ROOM},
		"no memory":                {func(order *wire.StartOrder) { order.Demand.MemoryMb = 8001 }, wire.StartOutcome_START_NO_ROOM},
		"fills take no room": {func(order *wire.StartOrder) { order.Demand.MilliCpu, order.Demand.Fills = 4001, true },
			wire.StartOutcome_START_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(7)
			order := newStartOrder(7)
			test.change(order)
			if got := h.orderStart(owner, order); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestUnansweredStart: whatever became of the order, what the owner is told
// holds for good.
func TestUnansweredStart(t *testing.T) {
	tests := map[string]struct {
		fault wireworker.Fault
		want  wire.StartOutcome
		runs  bool
	}{
		"carried out":               {wireworker.FaultLost, wire.StartOutcome_START_STARTED, true},
		"carried out after seconds": {wireworker.FaultLate, wire.StartOutcome_START_WORKER_FAILED, false},
		"never reached the worker":  {wireworker.FaultReset, wire.StartOutcome_START_WORKER_FAILED, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(1)
			h.worker.Fail(func(path string) wireworker.Fault {
				if path == "/v1/run-start" {
					return test.fault
				}
				return wireworker.FaultNone
			})
			if got := h.orderStart(owner, newStartOrder(1)); got != test.want {
				t.Errorf("told %v", got)
			}
			h.worker.CarryOut()
			if runs := h.isRunning(); runs != test.runs {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}
