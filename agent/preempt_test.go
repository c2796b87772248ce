package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestPreemption checks that a less urgent run is stopped for a more urgent demand only if that makes enough
// room and the run resumes from a checkpoint.
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
		existing *wire.Demand
		wanted   *wire.Demand
		running  bool
	}{
		"less urgent":                  {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, false},
		"equally urgent":               {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000, Priority: 2}, true},
		"enough room":                  {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 2000}, true},
		"too little memory":            {batch(), &wire.Demand{MilliCpu: 1000, MemoryMb: 9000}, true},
		"no checkpoints":               {change(func(demand *wire.Demand) { demand.Saves = false }), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, true},
		"moved too often":              {change(func(demand *wire.Demand) { demand.Movable = false }), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, true},
		"long-running":                 {change(func(demand *wire.Demand) { demand.Lasting = true }), &wire.Demand{MilliCpu: 1000, MemoryMb: 4000}, true},
		"fill run, processors wanted":  {change(func(demand *wire.Demand) { demand.Fills = true }), &wire.Demand{MilliCpu: 5000, MemoryMb: 100}, true},
		"reserved processors wanted":   {batch(), &wire.Demand{MilliCpu: 4000, MemoryMb: 100}, false},
		"more processors than exist":   {batch(), &wire.Demand{MilliCpu: 5000, MemoryMb: 100}, true},
		"more accelerators than exist": {batch(), &wire.Demand{Accelerators: 1}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachOwnerWithRun(test.existing)
			owner.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{Shard: testShard, Epoch: 1, Worker: workerID, Demand: test.wanted}}})
			h.advance(time.Second)
			if running := h.isRunning(); running != test.running {
				t.Errorf("running: %v, want %v", running, test.running)
			}
		})
	}
}

// TestReplacedOwnerDoesNotPreempt checks that an owner cannot preempt runs once another owner has claimed its
// shard.
func TestReplacedOwnerDoesNotPreempt(t *testing.T) {
	h := newHarness(t)
	replaced := h.attachReadyOwner(6)
	owner := h.attachOwner(7)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	order := newStartOrder(7)
	order.Demand = &wire.Demand{MilliCpu: 1000, MemoryMb: 6000, Priority: 2, Movable: true, Saves: true}
	h.mustStart(owner, order)
	replaced.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{Shard: testShard, Epoch: 6, Worker: workerID, Demand: &wire.Demand{MemoryMb: 4000}}}})
	h.advance(time.Second)
	if !h.isRunning() {
		t.Error("the run was preempted by a replaced owner")
	}
}
