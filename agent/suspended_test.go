package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// suspendMachine has the machine stand still: its steady clock does not go on.
func (made *harness) suspendMachine(length time.Duration) {
	made.suspendedFor.Add(int64(length))
	made.advance(200 * time.Millisecond)
}

// TestSuspendedMachine: a grant of an owner goes on to run out while the machine is
// suspended. The owner takes runs for over at its end and starts them elsewhere.
func TestSuspendedMachine(t *testing.T) {
	const nearlyAll = grantDuration - time.Second
	t.Run("an order from before is refused", func(t *testing.T) {
		made := newHarness(t)
		owner := made.attachReadyOwner(1)
		made.suspendMachine(nearlyAll)
		if got := made.orderStart(owner, newStartOrder(1)); got != wire.StartOutcome_START_NOT_READY {
			t.Errorf("the start was answered %v", got)
		}
	})
	t.Run("what runs is stopped", func(t *testing.T) {
		made := newHarness(t)
		owner := made.attachReadyOwner(1)
		made.mustStart(owner, newStartOrder(1))
		made.suspendMachine(nearlyAll)
		stopped := made.clock.Now().Add(time.Second)
		made.waitFor(func() bool { return !made.isRunning() })
		if now := made.clock.Now(); now.After(stopped) {
			t.Errorf("it ran %v beyond the grant", now.Sub(stopped))
		}
	})
	t.Run("the time is told to owners", func(t *testing.T) {
		made := newHarness(t)
		owner := made.attachReadyOwner(1)
		made.suspendMachine(nearlyAll)
		made.waitFor(func() bool {
			return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetUptimeNanos() >= int64(nearlyAll) }) != nil
		})
	})
}
