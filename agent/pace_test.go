package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestAdoptedRunPaceIsReset: an agent that has just started does not know at which pace
// the one before it left a run. The case that forced it: runs that had been slowed for a
// moment stayed slowed to their end once all processes had been killed.
func TestAdoptedRunPaceIsReset(t *testing.T) {
	h := newHarness(t)
	h.worker.Put(testTask, 3, 20*time.Second)
	h.worker.SetPace(testTask, 5, 50)
	h.sendHeartbeat()
	owner := h.attachOwner(1)
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == 1 }) != nil
	})
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(20 * time.Second), Runs: []*wire.RunDescription{{
		Task: testTask, Attempt: 3, Demand: &wire.Demand{MilliCpu: 1000, MemoryMb: 100, Fills: true, Image: "f"},
	}}})
	h.waitFor(func() bool { return h.worker.Pace(testTask) == 100 })
}
