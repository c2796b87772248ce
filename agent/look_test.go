package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestEndNumbersAfterAgentRestart: the worker counts on from ends that it
// was told to forget by the agent before.
func TestEndNumbersAfterAgentRestart(t *testing.T) {
	made := newHarness(t)
	made.worker.Number(200)
	made.worker.Put(testTask, 3, 4*time.Second)
	made.sendHeartbeat()
	owner := made.attachOwner(1)
	made.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == 1 }) != nil
	})
	made.worker.End(testTask, "done")
	made.waitFor(func() bool { return owner.firstEnd() != nil })
	owner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: workerID, Number: owner.firstEnd().GetNumber()}}})
	made.waitFor(func() bool { _, seen := made.worker.Looks(); return seen == 201 })
}
