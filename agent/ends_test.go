package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

const (
	// otherJob is a job of another shard.
	otherJob  = "fedcba9876543210"
	otherTask = otherJob + ".0.0.0"
)

// TestEndIsBoundByItsGrant has an owner go silent that was not told yet that a run of it is done,
// while another owner has a run on the same worker. Once the grant is over the silent one takes
// the run for over and starts its task elsewhere; the end must not count any more by then, whoever
// says later that it is in the store. (The story is told at owner.TestTaskIsDoneOnce.)
func TestEndIsBoundByItsGrant(t *testing.T) {
	otherShard := int32(job.ShardOf(otherJob, shards))
	if otherShard == shard {
		t.Fatal("both jobs are of one shard")
	}
	made := newBench(t)
	noted := make(chan wireworker.Change, 8)
	made.worker.Watch(func(change wireworker.Change) {
		if change.Kind == wireworker.Noted {
			noted <- change
		}
	})
	owner := made.attachReady(1)
	other := made.connect(&wire.OwnerMessage{
		Owner: "edge-2", Owned: true, Shards: []*wire.ShardEpoch{{Shard: otherShard, Epoch: 1}}, GrantUntilNanos: int64(time.Hour),
	})
	made.startsRun(owner, start(1))
	beside := start(1)
	beside.Task, beside.Shard = otherTask, otherShard
	other.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{beside}})
	made.until(func() bool { _, runs := made.worker.Running(otherTask); return runs })

	made.worker.End(task, "done")
	made.until(func() bool { return owner.end() != nil })
	for range 5 {
		made.pass(2 * time.Second)
		other.tell(&wire.OwnerMessage{})
	}
	again := made.attach(2)
	made.until(func() bool { return again.end() != nil })
	again.tell(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: worker, Number: again.end().GetNumber()}}})
	made.until(func() bool { _, seen := made.worker.Looks(); return seen >= 1 })
	select {
	case change := <-noted:
		if change.Task == task {
			t.Fatalf("run %d of %s was noted as %s after its owner's grant", change.Attempt, change.Task, change.How)
		}
	default:
	}
}
