package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

// TestOwnerReceivesStatusChanges: an owner that takes changes is told the whole state once,
// and knows the room by what has changed since.
func TestOwnerReceivesStatusChanges(t *testing.T) {
	made := newHarness(t)
	made.sendHeartbeat()
	owner := made.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", TakesChanges: true, Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 1}}, GrantUntilNanos: int64(grantDuration),
	})
	heard := status.NewDecoder()
	next := 0
	follow := func() *wire.WorkerStatus {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		for ; next < len(owner.received); next++ {
			heard.Apply(owner.received[next])
		}
		return heard.Status()
	}
	made.waitFor(func() bool { return follow().GetReady() })
	wholes := func() int {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		count := 0
		for _, message := range owner.received {
			if message.GetStatus() != nil {
				count++
			}
		}
		return count
	}
	before := wholes()
	made.mustStart(owner, newStartOrder(1))
	made.waitFor(func() bool { return follow().GetFreeMilliCpu() == 3000 })
	made.worker.End(testTask, "done")
	made.waitFor(func() bool { return follow().GetFreeMilliCpu() == 4000 })
	if after := wholes(); after != before {
		t.Errorf("%d whole states were told where the room changed", after-before)
	}
	if owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetAgent() != "" && message.GetKeepsLearned() }) == nil {
		t.Error("the agent did not say who it is and what it keeps")
	}
}
