package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestPreemption: a less urgent run makes room for a more urgent demand, if that
// is enough and nothing of it is lost.
func TestPreemption(t *testing.T) {
	batch := func() *wire.Demand {
		return &wire.Demand{MilliCpu: 1000, MemoryMb: 6000, Priority: 2, Movable: true, Saves: true}
	}
	change := func(apply func(demand *wire.Demand)) *wire.Demand {
		demand := batch()
		apply(demand)
		return demand
	}
	tests := map[string]struct {
		there  *wire.Demand
		wanted *wire.Demand
		runs   bool
	}{
		"less urgent":                  {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, false},
		"as urgent":                    {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000, Priority: 2}, true},
		"there is room":                {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 2000}, true},
		"would not be enough":          {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 9000}, true},
		"its work would be lost":       {change(func(demand *wire.Demand) { demand.Saves = false }), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, true},
		"it was moved too often":       {change(func(demand *wire.Demand) { demand.Movable = false }), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, true},
		"it lasts":                     {change(func(demand *wire.Demand) { demand.Lasting = true }), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, true},
		"processors, which it fills":   {change(func(demand *wire.Demand) { demand.Fills = true }), &wire.Demand{MilliCpu: 5000, MemoryMb: 100}, true},
		"processors, which it holds":   {batch(), &wire.Demand{MilliCpu: 4000, MemoryMb: 100}, false},
		"processors that no one has":   {batch(), &wire.Demand{MilliCpu: 5000, MemoryMb: 100}, true},
		"accelerators that no one has": {batch(), &wire.Demand{Accelerators: 1}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachOwnerWithRun(test.there)
			owner.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{Shard: testShard, Epoch: 1, Worker: workerID, Demand: test.wanted}}})
			h.advance(time.Second)
			if runs := h.isRunning(); runs != test.runs {
				t.Errorf("it runs: %v", runs)
			}
		})
	}
}

// TestReplacedOwnerDoesNotPreempt: an owner whose shard has passed on has nothing
// stopped.
func TestReplacedOwnerDoesNotPreempt(t *testing.T) {
	h := newHarness(t)
	before := h.attachReadyOwner(6)
	owner := h.attachOwner(7)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	order := newStartOrder(7)
	order.Demand = &wire.Demand{MilliCpu: 1000, MemoryMb: 6000, Priority: 2, Movable: true, Saves: true}
	h.mustStart(owner, order)
	before.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{Shard: testShard, Epoch: 6, Worker: workerID, Demand: &wire.Demand{MemoryMb: 4000}}}})
	h.advance(time.Second)
	if !h.isRunning() {
		t.Error("a run was stopped at its word")
	}
}
