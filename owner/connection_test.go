package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestUnresponsiveAgentIsReconnected: a connection on which the agent acknowledges nothing is closed,
// whether the agent sends nothing or sends messages without receiving any. A connection with
// acknowledgments stays open.
func TestUnresponsiveAgentIsReconnected(t *testing.T) {
	tests := map[string]struct {
		receives, sends bool
		closed          bool
	}{
		"receives and sends":      {true, true, false},
		"sends nothing":           {false, false, true},
		"sends without receiving": {false, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.submit()
			h.attach()
			closed := false
			h.agent.conn.cancel = func() { closed = true }
			for range 60 {
				h.tick()
				handled := h.handledSequence
				h.takeSent()
				if !test.receives {
					h.handledSequence = handled
				}
				if test.sends {
					h.receive(&wire.AgentMessage{})
				}
				h.clock.Advance(100 * time.Millisecond)
				h.owner.lastJoinAt = h.clock.Now()
			}
			if closed != test.closed {
				t.Errorf("connection closed: %v", closed)
			}
		})
	}
}

// TestAcquiringShardKeepsOldAgentsConnected: an agent of an earlier version acknowledges the messages of an
// owner without claims only every 3 s. An owner that has just acquired a shard, or has not loaded it yet,
// must not close the connection as unresponsive.
func TestAcquiringShardKeepsOldAgentsConnected(t *testing.T) {
	h := newHarness(t)
	h.shard.loaded = false
	h.attach()
	h.agent.conn.cancel = func() { t.Error("connection closed") }
	for range 10 {
		for range idleSendInterval / grantInterval {
			h.clock.Advance(grantInterval)
			h.owner.lastJoinAt = h.clock.Now()
			h.tick()
		}
		h.takeSent()
		h.receive(&wire.AgentMessage{})
	}
}

// TestGrantWaitsForFirstMessage: an owner must not grant time on a new connection before the agent's first
// message. The agent may have been restarted, and a grant on the clock of the previous process, which had
// been up for longer, is too long by the difference. If the connection is lost then, the owner releases the
// runs after 5.8 s and starts their tasks elsewhere, while the agent lets the runs continue. With an agent
// that restarted 17 s after its first start, and whose connection was lost 1.2 s after the owner had made it,
// runs continued for 11 s beside the second runs of their tasks.
func TestGrantWaitsForFirstMessage(t *testing.T) {
	h := newHarness(t)
	h.attach()
	h.receive(&wire.AgentMessage{UptimeNanos: int64(time.Hour)})
	h.tick()
	h.takeSent()
	h.owner.handleConnected(h.agent, &agentConn{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}})
	h.tick()
	for _, message := range h.takeSent() {
		if grantedUntil := time.Duration(message.GetGrantUntilNanos()); grantedUntil > 0 {
			t.Errorf("grant until %v before the agent's first message", grantedUntil)
		}
	}
	h.receive(&wire.AgentMessage{UptimeNanos: int64(time.Second)})
	h.tick()
	grantedUntil := time.Duration(0)
	for _, message := range h.takeSent() {
		grantedUntil = max(grantedUntil, time.Duration(message.GetGrantUntilNanos()))
	}
	if want := time.Second + h.owner.options.GrantDuration; grantedUntil != want {
		t.Errorf("grant until %v after the agent's first message, want %v", grantedUntil, want)
	}
}
