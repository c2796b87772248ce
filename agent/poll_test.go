package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestEndNumbersAfterAgentRestart checks that an agent accepts the first end that a worker lists under any
// number: an earlier agent has let the worker forget the ends before it.
func TestEndNumbersAfterAgentRestart(t *testing.T) {
	h := newHarness(t)
	h.worker.SetLastEndNumber(200)
	h.worker.AddRun(testTask, 3, 4*time.Second)
	h.sendHeartbeat()
	owner := h.attachOwner(1)
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == 1 }) != nil
	})
	h.worker.End(testTask, "done")
	h.waitFor(func() bool { return owner.firstEnd() != nil })
	owner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: workerID, Number: owner.firstEnd().GetNumber()}}})
	h.waitFor(func() bool { _, storedEnd := h.worker.Polls(); return storedEnd == 201 })
}
