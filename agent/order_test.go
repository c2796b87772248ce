package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestEndIsKeptUntilStored checks that the worker may forget the end of a run only once the owner has
// confirmed that it is stored.
func TestEndIsKeptUntilStored(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	h.mustStart(owner, newStartOrder(1))
	h.worker.End(testTask, "done")
	h.waitFor(func() bool { return owner.firstEnd() != nil })
	if _, storedEnd := h.worker.Polls(); storedEnd != 0 {
		t.Errorf("the worker was ordered to forget end %d before it was stored", storedEnd)
	}
	owner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: workerID, Number: owner.firstEnd().GetNumber()}}})
	h.waitFor(func() bool { _, storedEnd := h.worker.Polls(); return storedEnd == 1 })
}

// TestStartOutcomes checks why the agent refuses start orders.
func TestStartOutcomes(t *testing.T) {
	tests := map[string]struct {
		change func(order *wire.StartOrder)
		want   wire.StartOutcome
	}{
		"an earlier owner's epoch": {func(order *wire.StartOrder) { order.Epoch = 6 }, wire.StartOutcome_START_STALE},
		"another incarnation":      {func(order *wire.StartOrder) { order.Worker = "i-0" }, wire.StartOutcome_START_WRONG_WORKER},
		"not enough processors":    {func(order *wire.StartOrder) { order.Demand.MilliCpu = 4001 }, wire.StartOutcome_START_NO_ROOM},
		"not enough memory":        {func(order *wire.StartOrder) { order.Demand.MemoryMb = 8001 }, wire.StartOutcome_START_NO_ROOM},
		"fill runs reserve no processors": {func(order *wire.StartOrder) { order.Demand.MilliCpu, order.Demand.Fills = 4001, true },
			wire.StartOutcome_START_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(7)
			order := newStartOrder(7)
			test.change(order)
			if got := h.orderStart(owner, order); got != test.want {
				t.Errorf("start outcome %v, want %v", got, test.want)
			}
		})
	}
}

// TestUnansweredStart checks the outcome of a start that the worker does not answer. Whether the start
// reached the worker or not, the reported outcome must stay true: a start reported as failed must not take
// effect later.
func TestUnansweredStart(t *testing.T) {
	tests := map[string]struct {
		fault   wireworker.Fault
		want    wire.StartOutcome
		running bool
	}{
		"executed":                 {wireworker.FaultLostResponse, wire.StartOutcome_START_STARTED, true},
		"executed seconds later":   {wireworker.FaultDelayed, wire.StartOutcome_START_WORKER_FAILED, false},
		"did not reach the worker": {wireworker.FaultReset, wire.StartOutcome_START_WORKER_FAILED, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(1)
			h.worker.InjectFaults(func(path string) wireworker.Fault {
				if path == "/v1/run-start" {
					return test.fault
				}
				return wireworker.FaultNone
			})
			if got := h.orderStart(owner, newStartOrder(1)); got != test.want {
				t.Errorf("start outcome %v, want %v", got, test.want)
			}
			h.worker.ExecuteDelayedStarts()
			if running := h.isRunning(); running != test.running {
				t.Errorf("running: %v, want %v", running, test.running)
			}
		})
	}
}
