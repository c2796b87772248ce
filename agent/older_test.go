package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// The story. An owner gave a connection up that its agent did not answer on, made another one and
// claimed its shards there. The agent did not have a run whose order was still held up on the old
// connection, and said so; the owner started the task elsewhere. Then the old connection carried
// again, within the 5 s for which an agent keeps a silent one: the order was taken too, since it
// named the shard's present epoch, and the task ran twice. On one core the older connection was
// always read first.
//
// The evidence: in logs of real processes an agent took the order ("order taken") on connection 1,
// 0.4 ms before its owner, attached by a newer one, found the run "not listed by its agent".

// connectOwnerAs opens the nth connection of an owner, which claims the shard and grants it time.
func (made *harness) connectOwnerAs(number int64) *ownerStream {
	return made.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 1}},
		GrantUntilNanos: int64(time.Minute), Connection: number,
	})
}

// waitWorkerReady has the worker send a heartbeat and waits until an owner is told that it is ready.
func (made *harness) waitWorkerReady(owner *ownerStream) {
	made.sendHeartbeat()
	made.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
}

func TestReplacedConnectionStartsNothing(t *testing.T) {
	made := newHarness(t)
	older := made.connectOwnerAs(1)
	made.waitWorkerReady(older)
	made.connectOwnerAs(2)
	older.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{newStartOrder(1)}})
	made.advance(time.Second)
	if made.isRunning() {
		t.Fatal("a start that came on an older connection was carried out")
	}
}

// TestLateClaimOnReplacedConnection has the claim on the older connection come after that on the
// newer one, which is the one that its owner reads.
func TestLateClaimOnReplacedConnection(t *testing.T) {
	made := newHarness(t)
	newer := made.connectOwnerAs(2)
	made.waitWorkerReady(newer)
	made.mustStart(newer, newStartOrder(1))
	late := &ownerStream{in: make(chan *wire.OwnerMessage, 64), ctx: made.ctx, uptime: made.uptime}
	go func() { _ = made.agent.Attach(late) }()
	late.send(&wire.OwnerMessage{Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 1}}, Connection: 1})
	made.advance(time.Second)
	newer.clearReceived()
	lists := func(message *wire.AgentMessage) bool { return message.GetComplete() }
	made.waitFor(func() bool { return newer.lastMatching(lists) != nil })
	if got := len(newer.lastMatching(lists).GetRuns()); got != 1 {
		t.Errorf("the newer connection is told of %d runs, want 1", got)
	}
	made.worker.End(testTask, "done")
	made.advance(time.Second)
	if newer.firstEnd() == nil {
		t.Error("the newer connection is not told the end of the run")
	}
}

// TestReplacedConnectionStopsNothing has what would stop a run come on the older connection once the newer
// one has claimed the shard.
func TestReplacedConnectionStopsNothing(t *testing.T) {
	tests := map[string]*wire.OwnerMessage{
		"a stop": {Stops: []*wire.StopOrder{{Shard: testShard, Epoch: 1, Task: testTask, Attempt: 1, Worker: workerID}}},
		"a pre-emption": {Preempts: []*wire.PreemptOrder{{
			Shard: testShard, Epoch: 1, Worker: workerID, Demand: &wire.Demand{MilliCpu: 4000, MemoryMb: 1000},
		}}},
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			older := made.connectOwnerAs(1)
			made.waitWorkerReady(older)
			order := newStartOrder(1)
			order.Demand.Movable, order.Demand.Saves, order.Demand.Priority = true, true, 1
			made.mustStart(older, order)
			made.connectOwnerAs(2)
			older.send(late)
			made.advance(time.Second)
			if !made.isRunning() {
				t.Error("the run was stopped by what came on an older connection")
			}
		})
	}
}
