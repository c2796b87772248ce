package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestFreeResourcesFollowHeartbeat: what a worker has may shrink below what runs there and grow
// again. Its owner is told, and nothing is started beyond what it has now.
func TestFreeResourcesFollowHeartbeat(t *testing.T) {
	tests := map[string]struct {
		change func(beat *platform.Heartbeat)
		want   wire.StartOutcome
	}{
		"as it was":                 {func(*platform.Heartbeat) {}, wire.StartOutcome_START_STARTED},
		"fewer processors":          {func(beat *platform.Heartbeat) { beat.MilliCPU = 1500 }, wire.StartOutcome_START_NO_ROOM},
		"less memory":               {func(beat *platform.Heartbeat) { beat.MemoryMB = 1500 }, wire.StartOutcome_START_NO_ROOM},
		"less than what runs there": {func(beat *platform.Heartbeat) { beat.MilliCPU = 500 }, wire.StartOutcome_START_NO_ROOM},
		"more":                      {func(beat *platform.Heartbeat) { beat.MilliCPU = 9000 }, wire.StartOutcome_START_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(1)
			first := newStartOrder(1)
			first.Task = "0123456789abcdef.0.0.1"
			owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{first}})
			h.waitFor(func() bool { _, runs := h.worker.Running(first.Task); return runs })
			beat := h.firstHeartbeat()
			beat.Sequence = 2
			test.change(&beat)
			h.agent.Beat(beat)
			if got := h.orderStart(owner, newStartOrder(1)); got != test.want {
				t.Errorf("told %v", got)
			}
			h.waitFor(func() bool {
				status := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus()
				return status.GetMilliCpu() == beat.MilliCPU && status.GetMemoryMb() == beat.MemoryMB
			})
		})
	}
}
