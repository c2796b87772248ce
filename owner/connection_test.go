package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestUnresponsiveAgentIsReconnected: a connection on which the agent answers nothing is ended,
// whether it says nothing or speaks on without having heard; one that is answered stays.
func TestUnresponsiveAgentIsReconnected(t *testing.T) {
	tests := map[string]struct {
		hears, speaks bool
		ended         bool
	}{
		"it answers":                  {true, true, false},
		"it says nothing":             {false, false, true},
		"it speaks but does not hear": {false, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.submit()
			made.attach()
			ended := false
			made.agent.conn.cancel = func() { ended = true }
			for range 60 {
				made.tick()
				handled := made.handledSequence
				made.takeSent()
				if !test.hears {
					made.handledSequence = handled
				}
				if test.speaks {
					made.receive(&wire.AgentMessage{})
				}
				made.clock.Advance(100 * time.Millisecond)
				made.owner.lastJoinAt = made.clock.Now()
			}
			if ended != test.ended {
				t.Errorf("ended: %v", ended)
			}
		})
	}
}

// TestAcquiringShardKeepsOldAgentsConnected: an agent of an earlier build answers an owner without
// claims each 3 s. It is not taken for silent by an owner that has just taken a shard, nor
// by one whose shard is still to be read.
func TestAcquiringShardKeepsOldAgentsConnected(t *testing.T) {
	made := newHarness(t)
	made.shard.loaded = false
	made.attach()
	made.agent.conn.cancel = func() { t.Error("cut off") }
	for range 10 {
		for range idleSendInterval / grantInterval {
			made.clock.Advance(grantInterval)
			made.owner.lastJoinAt = made.clock.Now()
			made.tick()
		}
		made.takeSent()
		made.receive(&wire.AgentMessage{})
	}
}

// The story. An agent's process ended and came back, and its owner connected to it anew. The owner
// granted its runs time before it had heard the new process, on the clock of the one before, which
// had been up for longer: the grant was as much too long. The path to the agent was then lost. The owner took
// the runs for over after 5.8 s and started their tasks elsewhere; the agent had them go on.
//
// The evidence: in logs of real processes an agent came back 17 s after its first start. Owners
// attached, the paths were held up 1.2 s later, and runs went on there for 11 s after their
// tasks had been started elsewhere.

// TestGrantWaitsForFirstMessage has an owner speak first on a connection to an agent that may
// be another process than the one that it heard before.
func TestGrantWaitsForFirstMessage(t *testing.T) {
	made := newHarness(t)
	made.attach()
	made.receive(&wire.AgentMessage{UptimeNanos: int64(time.Hour)})
	made.tick()
	made.takeSent()
	made.owner.handleConnected(made.agent, &agentConn{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}})
	made.tick()
	for _, message := range made.takeSent() {
		if granted := time.Duration(message.GetGrantUntilNanos()); granted > 0 {
			t.Errorf("runs were granted time until %v before the agent was heard", granted)
		}
	}
	made.receive(&wire.AgentMessage{UptimeNanos: int64(time.Second)})
	made.tick()
	granted := time.Duration(0)
	for _, message := range made.takeSent() {
		granted = max(granted, time.Duration(message.GetGrantUntilNanos()))
	}
	if want := time.Second + made.owner.options.GrantDuration; granted != want {
		t.Errorf("runs were granted time until %v once the agent was heard, want %v", granted, want)
	}
}
