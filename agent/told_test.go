package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

// TestOwnerIsToldWhatChanges: an owner that takes changes is told the whole state once,
// and knows the room by what has changed since.
func TestOwnerIsToldWhatChanges(t *testing.T) {
	made := newBench(t)
	made.beat()
	owner := made.connect(&wire.OwnerMessage{
		Owner: "edge-1", TakesChanges: true, Owned: true, Shards: []*wire.ShardEpoch{{Shard: shard, Epoch: 1}}, GrantUntilNanos: int64(grant),
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
	made.until(func() bool { return follow().GetReady() })
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
	made.startsRun(owner, start(1))
	made.until(func() bool { return follow().GetFreeMilliCpu() == 3000 })
	made.worker.End(task, "done")
	made.until(func() bool { return follow().GetFreeMilliCpu() == 4000 })
	if after := wholes(); after != before {
		t.Errorf("%d whole states were told where the room changed", after-before)
	}
	if owner.last(func(message *wire.AgentMessage) bool { return message.GetAgent() != "" && message.GetKeepsLearned() }) == nil {
		t.Error("the agent did not say who it is and what it keeps")
	}
}
