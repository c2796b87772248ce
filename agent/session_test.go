package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/wire"
)

// TestHigherEpochReplacesOwner checks that an owner's orders have no effect once a later owner has claimed
// the shard.
func TestHigherEpochReplacesOwner(t *testing.T) {
	h := newHarness(t)
	earlier := h.attachReadyOwner(1)
	h.attachOwner(2)
	if got := h.orderStart(earlier, newStartOrder(1)); got != wire.StartOutcome_START_STALE {
		t.Errorf("start outcome %v, want START_STALE", got)
	}
}
