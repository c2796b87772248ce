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

// connectAs opens the nth connection of an owner, which claims the shard and grants it time.
func (made *bench) connectAs(number int64) *stream {
	return made.connect(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: shard, Epoch: 1}},
		GrantUntilNanos: int64(time.Minute), Connection: number,
	})
}

// ready has the worker send a heartbeat and waits until an owner is told that it is ready.
func (made *bench) ready(owner *stream) {
	made.beat()
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
}

func TestOlderConnectionOrdersNothing(t *testing.T) {
	made := newBench(t)
	older := made.connectAs(1)
	made.ready(older)
	made.connectAs(2)
	older.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
	made.pass(time.Second)
	if made.runs() {
		t.Fatal("a start that came on an older connection was carried out")
	}
}

// TestOlderConnectionTakesNothingBack has the claim on the older connection come after that on the
// newer one, which is the one that its owner reads.
func TestOlderConnectionTakesNothingBack(t *testing.T) {
	made := newBench(t)
	newer := made.connectAs(2)
	made.ready(newer)
	made.startsRun(newer, start(1))
	late := &stream{in: make(chan *wire.OwnerMessage, 64), ctx: made.ctx, uptime: made.uptime}
	go func() { _ = made.beside.Attach(late) }()
	late.tell(&wire.OwnerMessage{Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: shard, Epoch: 1}}, Connection: 1})
	made.pass(time.Second)
	newer.forget()
	lists := func(message *wire.AgentMessage) bool { return message.GetComplete() }
	made.until(func() bool { return newer.last(lists) != nil })
	if got := len(newer.last(lists).GetRuns()); got != 1 {
		t.Errorf("the newer connection is told of %d runs, want 1", got)
	}
	made.worker.End(task, "done")
	made.pass(time.Second)
	if newer.end() == nil {
		t.Error("the newer connection is not told the end of the run")
	}
}

// TestOlderConnectionStopsNothing has what would stop a run come on the older connection once the newer
// one has claimed the shard.
func TestOlderConnectionStopsNothing(t *testing.T) {
	tests := map[string]*wire.OwnerMessage{
		"a stop": {Stops: []*wire.StopOrder{{Shard: shard, Epoch: 1, Task: task, Attempt: 1, Worker: worker}}},
		"a pre-emption": {Preempts: []*wire.PreemptOrder{{
			Shard: shard, Epoch: 1, Worker: worker, Demand: &wire.Demand{MilliCpu: 4000, MemoryMb: 1000},
		}}},
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			older := made.connectAs(1)
			made.ready(older)
			order := start(1)
			order.Demand.Movable, order.Demand.Saves, order.Demand.Priority = true, true, 1
			made.startsRun(older, order)
			made.connectAs(2)
			older.tell(late)
			made.pass(time.Second)
			if !made.runs() {
				t.Error("the run was stopped by what came on an older connection")
			}
		})
	}
}
