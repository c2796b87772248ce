package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestSilentOwnerIsDisconnected checks that the stream of an owner that is silent for too long is closed, and
// that a late message on it does not bring the session back. If it does, the session is closed a second time,
// which crashes the agent.
func TestSilentOwnerIsDisconnected(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	closed := make(chan error, 1)
	second := &ownerStream{in: make(chan *wire.OwnerMessage, 64), ctx: h.ctx}
	go func() { closed <- h.agent.Attach(second) }()
	second.send(&wire.OwnerMessage{Owner: "edge-2"})
	h.waitFor(func() bool {
		return second.lastMatching(func(*wire.AgentMessage) bool { return true }) != nil
	})
	h.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
		select {
		case err := <-closed:
			if err != nil {
				t.Errorf("the stream was closed with %v", err)
			}
			return true
		default:
			return false
		}
	})
	second.send(&wire.OwnerMessage{Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard + 1, Epoch: 9}}})
	// This is long enough to fill the outbox of a stream that nobody reads.
	for range 60 {
		h.advance(time.Second)
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	}
	h.mustStart(owner, newStartOrder(1))
}

// TestEveryOwnerIsAcknowledged checks that the messages of an owner without shards are soon acknowledged too,
// which shows it that the connection works.
func TestEveryOwnerIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	owner := h.connectOwner(&wire.OwnerMessage{Owner: "edge-2"})
	for range 4 {
		h.advance(time.Second)
		owner.send(&wire.OwnerMessage{})
		sentAt := h.clock.Now()
		h.waitFor(func() bool {
			return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetHandled() >= owner.sequence }) != nil
		})
		if took := h.clock.Now().Sub(sentAt); took > time.Second {
			t.Errorf("acknowledged after %v", took)
		}
	}
}
