package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestSilentAgentIsConnectedAnew: a connection on which the agent answers nothing is ended,
// whether it says nothing or speaks on without having heard; one that is answered stays.
func TestSilentAgentIsConnectedAnew(t *testing.T) {
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
			made := newBench(t)
			made.submit()
			made.attach()
			ended := false
			made.view.link.cancel = func() { ended = true }
			for range 60 {
				made.step()
				handled := made.agentN
				made.sent()
				if !test.hears {
					made.agentN = handled
				}
				if test.speaks {
					made.hear(&wire.AgentMessage{})
				}
				made.clock.Advance(100 * time.Millisecond)
				made.owner.joinedAt = made.clock.Now()
			}
			if ended != test.ended {
				t.Errorf("ended: %v", ended)
			}
		})
	}
}

// TestTakingAShardCutsNobodyOff: an agent of an earlier build answers an owner without
// claims each 3 s. It is not taken for silent by an owner that has just taken a shard, nor
// by one whose shard is still to be read.
func TestTakingAShardCutsNobodyOff(t *testing.T) {
	made := newBench(t)
	made.held.active = false
	made.attach()
	made.view.link.cancel = func() { t.Error("cut off") }
	for range 10 {
		for range quietEvery / grantEvery {
			made.clock.Advance(grantEvery)
			made.owner.joinedAt = made.clock.Now()
			made.step()
		}
		made.sent()
		made.hear(&wire.AgentMessage{})
	}
}
