package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestSilentOwnerIsDisconnected: the stream of an owner that has not spoken for long ends, and
// a message of it that comes late does not bring it back. The case that forced the second
// part is a stream that was dropped twice, which ended the process.
func TestSilentOwnerIsDisconnected(t *testing.T) {
	made := newHarness(t)
	owner := made.attachReadyOwner(1)
	ended := make(chan error, 1)
	second := &ownerStream{in: make(chan *wire.OwnerMessage, 64), ctx: made.ctx}
	go func() { ended <- made.agent.Attach(second) }()
	second.send(&wire.OwnerMessage{Owner: "edge-2"})
	made.waitFor(func() bool {
		return second.lastMatching(func(*wire.AgentMessage) bool { return true }) != nil
	})
	made.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
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
	second.send(&wire.OwnerMessage{Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard + 1, Epoch: 9}}})
	// Long enough for the outbox of a stream that nobody reads to fill.
	for range 60 {
		made.advance(time.Second)
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	}
	made.mustStart(owner, newStartOrder(1))
}

// TestEveryOwnerIsAcknowledged: also one that owns nothing is told soon that its message was
// handled; by that it knows that its connection is sound.
func TestEveryOwnerIsAcknowledged(t *testing.T) {
	made := newHarness(t)
	owner := made.connectOwner(&wire.OwnerMessage{Owner: "edge-2"})
	for range 4 {
		made.advance(time.Second)
		owner.send(&wire.OwnerMessage{})
		told := made.clock.Now()
		made.waitFor(func() bool {
			return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetHandled() >= owner.sequence }) != nil
		})
		if took := made.clock.Now().Sub(told); took > time.Second {
			t.Errorf("answered after %v", took)
		}
	}
}
