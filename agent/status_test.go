package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

// TestOwnerReceivesStatusChanges checks that an owner which accepts changes is sent the full status once, and
// learns of free resources from the changes that follow.
func TestOwnerReceivesStatusChanges(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat()
	owner := h.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", TakesChanges: true, Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 1}}, GrantUntilNanos: int64(grantDuration),
	})
	decoder := status.NewDecoder()
	next := 0
	decode := func() *wire.WorkerStatus {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		for ; next < len(owner.received); next++ {
			decoder.Apply(owner.received[next])
		}
		return decoder.Status()
	}
	h.waitFor(func() bool { return decode().GetReady() })
	countFull := func() int {
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
	before := countFull()
	h.mustStart(owner, newStartOrder(1))
	h.waitFor(func() bool { return decode().GetFreeMilliCpu() == 3000 })
	h.worker.End(testTask, "done")
	h.waitFor(func() bool { return decode().GetFreeMilliCpu() == 4000 })
	if after := countFull(); after != before {
		t.Errorf("the full status was sent %d times for changes of the free resources", after-before)
	}
	if owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetAgent() != "" && message.GetKeepsLearned() }) == nil {
		t.Error("the agent did not send its ID and that it keeps estimates")
	}
}
