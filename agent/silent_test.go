package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestSilentOwnerIsDropped: the stream of an owner that has not spoken for long ends, and
// a message of it that comes late does not bring it back. The case that forced the second
// part is a stream that was dropped twice, which ended the process.
func TestSilentOwnerIsDropped(t *testing.T) {
	made := newBench(t)
	owner := made.attachReady(1)
	ended := make(chan error, 1)
	second := &stream{in: make(chan *wire.OwnerMessage, 64), ctx: made.ctx}
	go func() { ended <- made.beside.Attach(second) }()
	second.tell(&wire.OwnerMessage{Owner: "edge-2"})
	made.until(func() bool {
		return second.last(func(*wire.AgentMessage) bool { return true }) != nil
	})
	made.until(func() bool {
		owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("ended with %v", err)
			}
			return true
		default:
			return false
		}
	})
	second.tell(&wire.OwnerMessage{Owned: true, Shards: []*wire.ShardEpoch{{Shard: shard + 1, Epoch: 9}}})
	// Long enough for the outbox of a stream that nobody reads to fill.
	for range 60 {
		made.pass(time.Second)
		owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	}
	made.startsRun(owner, start(1))
}

// TestEveryOwnerIsAnswered: also one that owns nothing is told soon that its message was
// handled; by that it knows that its connection is sound.
func TestEveryOwnerIsAnswered(t *testing.T) {
	made := newBench(t)
	owner := made.connect(&wire.OwnerMessage{Owner: "edge-2"})
	for range 4 {
		made.pass(time.Second)
		owner.tell(&wire.OwnerMessage{})
		told := made.clock.Now()
		made.until(func() bool {
			return owner.last(func(message *wire.AgentMessage) bool { return message.GetHandled() >= owner.sequence }) != nil
		})
		if took := made.clock.Now().Sub(told); took > time.Second {
			t.Errorf("answered after %v", took)
		}
	}
}
