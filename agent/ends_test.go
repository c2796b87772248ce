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
	// otherJob is a job whose shard is not testShard.
	otherJob  = "fedcba9876543210"
	otherTask = otherJob + ".0.0.0"
)

// TestPendingEndLimitsLease lets an owner go silent before it learns that its run is done, while another
// owner has a run on the same worker. Once its grant is over, the silent owner considers the run lost and
// starts the task elsewhere. The end must not count from then on, whoever confirms later that it is in the
// store. For the whole sequence of events see owner.TestPartitionedTaskCompletesOnce.
func TestPendingEndLimitsLease(t *testing.T) {
	otherShard := int32(job.ShardOf(otherJob, shardCount))
	if otherShard == testShard {
		t.Fatal("both jobs belong to the same shard")
	}
	h := newHarness(t)
	confirmed := make(chan wireworker.Change, 8)
	h.worker.OnChange(func(change wireworker.Change) {
		if change.Kind == wireworker.Acknowledged {
			confirmed <- change
		}
	})
	owner := h.attachReadyOwner(1)
	other := h.connectOwner(&wire.OwnerMessage{
		Owner: "edge-2", Owned: true, Shards: []*wire.ShardEpoch{{Shard: otherShard, Epoch: 1}}, GrantUntilNanos: int64(time.Hour),
	})
	h.mustStart(owner, newStartOrder(1))
	order := newStartOrder(1)
	order.Task, order.Shard = otherTask, otherShard
	other.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	h.waitFor(func() bool { _, runs := h.worker.Running(otherTask); return runs })

	h.worker.End(testTask, "done")
	h.waitFor(func() bool { return owner.firstEnd() != nil })
	for range 5 {
		h.advance(2 * time.Second)
		other.send(&wire.OwnerMessage{})
	}
	nextOwner := h.attachOwner(2)
	h.waitFor(func() bool { return nextOwner.firstEnd() != nil })
	nextOwner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: workerID, Number: nextOwner.firstEnd().GetNumber()}}})
	h.waitFor(func() bool { _, storedEnd := h.worker.Polls(); return storedEnd >= 1 })
	select {
	case change := <-confirmed:
		if change.Task == testTask {
			t.Fatalf("run %d of %s was confirmed as %s after its owner's grant was over", change.Attempt, change.Task, change.Reason)
		}
	default:
	}
}

// TestRunsBeyondEndListLimitAreNotLost has more runs end at once than a worker lists ends. Runs that it lists
// neither as running nor as ended are not lost: their ends are listed once the first ones are in the store.
func TestRunsBeyondEndListLimitAreNotLost(t *testing.T) {
	const runCount = platform.MaxListedEnds + 20
	h := newHarness(t)
	taskName := func(i int) string { return fmt.Sprintf("%s.0.0.%d", otherJob, i) }
	for i := range runCount {
		h.worker.AddRun(taskName(i), 1, time.Hour)
	}
	h.sendHeartbeat()
	owner := h.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: int32(job.ShardOf(otherJob, shardCount)), Epoch: 1}}, GrantUntilNanos: int64(time.Hour),
	})
	listsAll := func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == runCount }
	h.waitFor(func() bool { return owner.lastMatching(listsAll) != nil })
	for i := range runCount {
		h.worker.End(taskName(i), "done")
	}
	h.advance(3 * time.Second)
	lost, done := owner.countEnds(wire.EndReason_END_LOST), owner.countEnds(wire.EndReason_END_DONE)
	if lost > 0 || done == 0 {
		t.Errorf("%d runs were reported as lost, %d as done", lost, done)
	}
}

// countEnds returns the number of ends with the given reason that the owner was sent.
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

// storedEnd returns the number up to which the worker was told to forget its ends.
func (h *harness) storedEnd() int64 {
	_, storedEnd := h.worker.Polls()
	return storedEnd
}

// TestEndConfirmedByReplacedOwnerStaysPending guards against an end that the worker forgets though the owner of its
// shard does not know of it: the confirmation of an owner that has been replaced arrives after the claim of the next.
func TestEndConfirmedByReplacedOwnerStaysPending(t *testing.T) {
	h := newHarness(t)
	replaced := h.attachReadyOwner(1)
	h.mustStart(replaced, newStartOrder(1))
	h.worker.End(testTask, "done")
	h.waitFor(func() bool { return replaced.firstEnd() != nil })
	next := h.attachOwner(2)
	h.waitFor(func() bool { return next.firstEnd() != nil })
	replaced.confirmEnd(replaced.firstEnd())
	h.advance(2 * time.Second)
	if got := h.storedEnd(); got > 0 {
		t.Fatalf("the worker forgot end %d, which an owner without the shard has confirmed", got)
	}
	next.confirmEnd(next.firstEnd())
	h.waitFor(func() bool { return h.storedEnd() == 1 })
}

// TestEndConfirmedWithoutProofIsReportedAgain guards against tasks that are done twice after an agent has restarted and
// met an owner of an earlier build first, which had been replaced: the next owner must be told the end too.
func TestEndConfirmedWithoutProofIsReportedAgain(t *testing.T) {
	for name, proves := range map[string]bool{"without proof": false, "with proof": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.worker.AddRun(testTask, 1, time.Hour)
			h.sendHeartbeat()
			replaced := h.connectOwner(&wire.OwnerMessage{
				Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 1}},
				GrantUntilNanos: int64(time.Minute), ProvesOwnership: proves,
			})
			h.worker.End(testTask, "done")
			h.waitFor(func() bool { return replaced.firstEnd() != nil })
			replaced.confirmEnd(replaced.firstEnd())
			h.waitFor(func() bool { return h.storedEnd() == 1 })
			next := h.attachOwner(2)
			h.advance(time.Second)
			if reported := next.countEnds(wire.EndReason_END_DONE) > 0; reported == proves {
				t.Errorf("the end was reported to the next owner: %v", reported)
			}
		})
	}
}
