package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// The tests of this file guard against a task that runs twice because an order arrives late on a connection
// that its owner has replaced. The owner abandons a connection on which the agent does not answer, opens
// another one and claims its shards there. The agent truthfully reports that it does not have the run, whose
// order is delayed on the old connection, and the owner starts the task elsewhere. The old connection may work
// again within the 5 s for which an agent keeps a silent one. Unless the agent has closed it, the order is
// then carried out too, since it has the present epoch of the shard.
//
// In one case, the agent accepted the order 0.4 ms before the owner found, on the newer connection, that the
// run was not listed. On a single core, the older connection was always read first.

// connectOwnerAs opens the connection of an owner with the given number, claims the shard on it and grants it
// time.
func (h *harness) connectOwnerAs(number int64) *ownerStream {
	return h.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 1}},
		GrantUntilNanos: int64(time.Minute), Connection: number,
	})
}

// waitWorkerReady sends a heartbeat of the worker and waits until the worker is reported ready to the owner.
func (h *harness) waitWorkerReady(owner *ownerStream) {
	h.sendHeartbeat()
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
}

func TestReplacedConnectionStartsNothing(t *testing.T) {
	h := newHarness(t)
	older := h.connectOwnerAs(1)
	h.waitWorkerReady(older)
	h.connectOwnerAs(2)
	older.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{newStartOrder(1)}})
	h.advance(time.Second)
	if h.isRunning() {
		t.Fatal("a start order on a replaced connection was carried out")
	}
}

// TestLateClaimOnReplacedConnection has the claim on the older connection arrive after that on the newer one,
// which is the one that its owner reads.
func TestLateClaimOnReplacedConnection(t *testing.T) {
	h := newHarness(t)
	newer := h.connectOwnerAs(2)
	h.waitWorkerReady(newer)
	h.mustStart(newer, newStartOrder(1))
	late := &ownerStream{in: make(chan *wire.OwnerMessage, 64), ctx: h.ctx, uptime: h.uptime}
	go func() { _ = h.agent.Attach(late) }()
	late.send(&wire.OwnerMessage{Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 1}}, Connection: 1})
	h.advance(time.Second)
	newer.clearReceived()
	lists := func(message *wire.AgentMessage) bool { return message.GetComplete() }
	h.waitFor(func() bool { return newer.lastMatching(lists) != nil })
	if got := len(newer.lastMatching(lists).GetRuns()); got != 1 {
		t.Errorf("%d runs were listed on the newer connection, want 1", got)
	}
	h.worker.End(testTask, "done")
	h.advance(time.Second)
	if newer.firstEnd() == nil {
		t.Error("the end of the run was not sent on the newer connection")
	}
}

// TestReplacedConnectionStopsNothing sends orders that would stop a run on the older connection, after the
// newer one has claimed the shard.
func TestReplacedConnectionStopsNothing(t *testing.T) {
	tests := map[string]*wire.OwnerMessage{
		"stop": {Stops: []*wire.StopOrder{{Shard: testShard, Epoch: 1, Task: testTask, Attempt: 1, Worker: workerID}}},
		"pre-emption": {Preempts: []*wire.PreemptOrder{{
			Shard: testShard, Epoch: 1, Worker: workerID, Demand: &wire.Demand{MilliCpu: 4000, MemoryMb: 1000},
		}}},
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			older := h.connectOwnerAs(1)
			h.waitWorkerReady(older)
			order := newStartOrder(1)
			order.Demand.Movable, order.Demand.Saves, order.Demand.Priority = true, true, 1
			h.mustStart(older, order)
			h.connectOwnerAs(2)
			older.send(late)
			h.advance(time.Second)
			if !h.isRunning() {
				t.Error("the run was stopped by an order on a replaced connection")
			}
		})
	}
}
