package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestAdoptedRunIsPacedAnew: an agent that has just started does not know at which pace
// the one before it left a run. The case that forced it: runs that had been slowed for a
// moment stayed slowed to their end once all processes had been killed.
func TestAdoptedRunIsPacedAnew(t *testing.T) {
	made := newBench(t)
	made.worker.Put(task, 3, 20*time.Second)
	made.worker.SetPace(task, 5, 50)
	made.beat()
	owner := made.attach(1)
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == 1 }) != nil
	})
	owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(20 * time.Second), Runs: []*wire.RunDescription{{
		Task: task, Attempt: 3, Demand: &wire.Demand{MilliCpu: 1000, MemoryMb: 100, Fills: true, Image: "f"},
	}}})
	made.until(func() bool { return made.worker.Pace(task) == 100 })
}
