package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestEndNumbersAfterAgentRestart: the worker counts on from ends that it
// was told to forget by the agent before.
func TestEndNumbersAfterAgentRestart(t *testing.T) {
	h := newHarness(t)
	h.worker.Number(200)
	h.worker.Put(testTask, 3, 4*time.Second)
	h.sendHeartbeat()
	owner := h.attachOwner(1)
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == 1 }) != nil
	})
	h.worker.End(testTask, "done")
	h.waitFor(func() bool { return owner.firstEnd() != nil })
	owner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: workerID, Number: owner.firstEnd().GetNumber()}}})
	h.waitFor(func() bool { _, seen := h.worker.Looks(); return seen == 201 })
}
