package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// suspendMachine simulates a suspension of the machine, which its monotonic clock does not count.
func (h *harness) suspendMachine(duration time.Duration) {
	h.suspendedFor.Add(int64(duration))
	h.advance(200 * time.Millisecond)
}

// TestSuspendedMachine checks that grants count the time for which the machine was suspended. When a grant
// ends meanwhile, its owner considers the runs over and starts their tasks elsewhere.
func TestSuspendedMachine(t *testing.T) {
	const mostOfGrant = grantDuration - time.Second
	t.Run("earlier order is refused", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachReadyOwner(1)
		h.suspendMachine(mostOfGrant)
		if got := h.orderStart(owner, newStartOrder(1)); got != wire.StartOutcome_START_NOT_READY {
			t.Errorf("start outcome %v, want START_NOT_READY", got)
		}
	})
	t.Run("run is stopped", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachReadyOwner(1)
		h.mustStart(owner, newStartOrder(1))
		h.suspendMachine(mostOfGrant)
		grantEnd := h.clock.Now().Add(time.Second)
		h.waitFor(func() bool { return !h.isRunning() })
		if now := h.clock.Now(); now.After(grantEnd) {
			t.Errorf("the run ended %v after the grant", now.Sub(grantEnd))
		}
	})
	t.Run("uptime counts the suspension", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachReadyOwner(1)
		h.suspendMachine(mostOfGrant)
		h.waitFor(func() bool {
			return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetUptimeNanos() >= int64(mostOfGrant) }) != nil
		})
	})
}
