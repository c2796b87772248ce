package agent_test

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

const (
	// otherJob is a job of another shard.
	otherJob  = "fedcba9876543210"
	otherTask = otherJob + ".0.0.0"
)

// TestPendingEndLimitsLease has an owner go silent that was not told yet that a run of it is done,
// while another owner has a run on the same worker. Once the grant is over the silent one takes
// the run for over and starts its task elsewhere; the end must not count any more by then, whoever
// says later that it is in the store. (The story is told at owner.TestPartitionedTaskCompletesOnce.)
func TestPendingEndLimitsLease(t *testing.T) {
	otherShard := int32(job.ShardOf(otherJob, shardCount))
	if otherShard == testShard {
		t.Fatal("both jobs are of one shard")
	}
	made := newHarness(t)
	noted := make(chan wireworker.Change, 8)
	made.worker.Watch(func(change wireworker.Change) {
		if change.Kind == wireworker.Noted {
			noted <- change
		}
	})
	owner := made.attachReadyOwner(1)
	other := made.connectOwner(&wire.OwnerMessage{
		Owner: "edge-2", Owned: true, Shards: []*wire.ShardEpoch{{Shard: otherShard, Epoch: 1}}, GrantUntilNanos: int64(time.Hour),
	})
	made.mustStart(owner, newStartOrder(1))
	beside := newStartOrder(1)
	beside.Task, beside.Shard = otherTask, otherShard
	other.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{beside}})
	made.waitFor(func() bool { _, runs := made.worker.Running(otherTask); return runs })

	made.worker.End(testTask, "done")
	made.waitFor(func() bool { return owner.firstEnd() != nil })
	for range 5 {
		made.advance(2 * time.Second)
		other.send(&wire.OwnerMessage{})
	}
	again := made.attachOwner(2)
	made.waitFor(func() bool { return again.firstEnd() != nil })
	again.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: workerID, Number: again.firstEnd().GetNumber()}}})
	made.waitFor(func() bool { _, seen := made.worker.Looks(); return seen >= 1 })
	select {
	case change := <-noted:
		if change.Task == testTask {
			t.Fatalf("run %d of %s was noted as %s after its owner's grant", change.Attempt, change.Task, change.How)
		}
	default:
	}
}

// TestRunsBeyondEndListLimitAreNotLost has more runs end at once than a worker lists: those that are neither listed as
// running nor among the ends are not lost, their ends come once the first are in the store.
func TestRunsBeyondEndListLimitAreNotLost(t *testing.T) {
	const many = platform.EndsListedMost + 20
	made := newHarness(t)
	name := func(index int) string { return fmt.Sprintf("%s.0.0.%d", otherJob, index) }
	for index := range many {
		made.worker.Put(name(index), 1, time.Hour)
	}
	made.sendHeartbeat()
	owner := made.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: int32(job.ShardOf(otherJob, shardCount)), Epoch: 1}}, GrantUntilNanos: int64(time.Hour),
	})
	lists := func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == many }
	made.waitFor(func() bool { return owner.lastMatching(lists) != nil })
	for index := range many {
		made.worker.End(name(index), "done")
	}
	made.advance(3 * time.Second)
	lost, done := owner.countEnds(wire.EndReason_END_LOST), owner.countEnds(wire.EndReason_END_DONE)
	if lost > 0 || done == 0 {
		t.Errorf("%d runs told as lost, %d as done", lost, done)
	}
}

// countEnds counts the ends that were told with a reason.
func (owner *ownerStream) countEnds(reason wire.EndReason) int {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	count := 0
	for _, message := range owner.received {
		for _, end := range message.GetEnds() {
			if end.GetReason() == reason {
				count++
			}
		}
	}
	return count
}
