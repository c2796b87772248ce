package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// suspendMachine has the machine stand still: its steady clock does not go on.
func (h *harness) suspendMachine(length time.Duration) {
	h.suspendedFor.Add(int64(length))
	h.advance(200 * time.Millisecond)
}

// TestSuspendedMachine: a grant of an owner goes on to run out while the machine is
// suspended. The owner takes runs for over at its end and starts them elsewhere.
func TestSuspendedMachine(t *testing.T) {
	const nearlyAll = grantDuration - time.Second
	t.Run("an order from before is refused", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachReadyOwner(1)
		h.suspendMachine(nearlyAll)
		if got := h.orderStart(owner, newStartOrder(1)); got != wire.StartOutcome_START_NOT_READY {
			t.Errorf("the start was answered %v", got)
		}
	})
	t.Run("what runs is stopped", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachReadyOwner(1)
		h.mustStart(owner, newStartOrder(1))
		h.suspendMachine(nearlyAll)
		stopped := h.clock.Now().Add(time.Second)
		h.waitFor(func() bool { return !h.isRunning() })
		if now := h.clock.Now(); now.After(stopped) {
			t.Errorf("it ran %v beyond the grant", now.Sub(stopped))
		}
	})
	t.Run("the time is told to owners", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachReadyOwner(1)
		h.suspendMachine(nearlyAll)
		h.waitFor(func() bool {
			return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetUptimeNanos() >= int64(nearlyAll) }) != nil
		})
	})
}
