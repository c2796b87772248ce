package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// suspend has the machine stand still: its steady clock does not go on.
func (made *bench) suspend(length time.Duration) {
	made.slept.Add(int64(length))
	made.pass(200 * time.Millisecond)
}

// TestSuspendedMachine: a grant of an owner goes on to run out while the machine is
// suspended. The owner takes runs for over at its end and starts them elsewhere.
func TestSuspendedMachine(t *testing.T) {
	const nearlyAll = grant - time.Second
	t.Run("an order from before is refused", func(t *testing.T) {
		made := newBench(t)
		owner := made.attachReady(1)
		made.suspend(nearlyAll)
		if got := made.starts(owner, start(1)); got != wire.StartOutcome_START_NOT_READY {
			t.Errorf("the start was answered %v", got)
		}
	})
	t.Run("what runs is stopped", func(t *testing.T) {
		made := newBench(t)
		owner := made.attachReady(1)
		made.startsRun(owner, start(1))
		made.suspend(nearlyAll)
		stopped := made.clock.Now().Add(time.Second)
		made.until(func() bool { return !made.runs() })
		if now := made.clock.Now(); now.After(stopped) {
			t.Errorf("it ran %v beyond the grant", now.Sub(stopped))
		}
	})
	t.Run("the time is told to owners", func(t *testing.T) {
		made := newBench(t)
		owner := made.attachReady(1)
		made.suspend(nearlyAll)
		made.until(func() bool {
			return owner.last(func(message *wire.AgentMessage) bool { return message.GetUptimeNanos() >= int64(nearlyAll) }) != nil
		})
	})
}
