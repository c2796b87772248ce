package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestFreeResourcesFollowHeartbeat checks that the capacity of a worker may change, even below what its runs
// reserve: it is reported to the owner, and starts that exceed the present capacity are refused.
func TestFreeResourcesFollowHeartbeat(t *testing.T) {
	tests := map[string]struct {
		change func(heartbeat *platform.Heartbeat)
		want   wire.StartOutcome
	}{
		"unchanged":                    {func(*platform.Heartbeat) {}, wire.StartOutcome_START_STARTED},
		"fewer processors":             {func(heartbeat *platform.Heartbeat) { heartbeat.MilliCPU = 1500 }, wire.StartOutcome_START_NO_ROOM},
		"less memory":                  {func(heartbeat *platform.Heartbeat) { heartbeat.MemoryMB = 1500 }, wire.StartOutcome_START_NO_ROOM},
		"fewer processors than in use": {func(heartbeat *platform.Heartbeat) { heartbeat.MilliCPU = 500 }, wire.StartOutcome_START_NO_ROOM},
		"more processors":              {func(heartbeat *platform.Heartbeat) { heartbeat.MilliCPU = 9000 }, wire.StartOutcome_START_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(1)
			first := newStartOrder(1)
			first.Task = "0123456789abcdef.0.0.1"
			owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{first}})
			h.waitFor(func() bool { _, runs := h.worker.Running(first.Task); return runs })
			heartbeat := h.firstHeartbeat()
			heartbeat.Sequence = 2
			test.change(&heartbeat)
			h.agent.HandleHeartbeat(heartbeat)
			if got := h.orderStart(owner, newStartOrder(1)); got != test.want {
				t.Errorf("start outcome %v, want %v", got, test.want)
			}
			h.waitFor(func() bool {
				status := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus()
				return status.GetMilliCpu() == heartbeat.MilliCPU && status.GetMemoryMb() == heartbeat.MemoryMB
			})
		})
	}
}
