package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestAdoptedRunPaceIsReset checks that an agent that has just started sets the pace of an adopted run,
// because it does not know the pace that an earlier agent process has set. It guards against a fault by which
// runs that were slowed when all processes were killed stayed slowed to their end.
func TestAdoptedRunPaceIsReset(t *testing.T) {
	h := newHarness(t)
	h.worker.AddRun(testTask, 3, 20*time.Second)
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
