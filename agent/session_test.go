package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/wire"
)

// TestHigherEpochReplacesOwner: once a later owner has claimed the shard, the earlier
// one's orders have no effect.
func TestHigherEpochReplacesOwner(t *testing.T) {
	made := newHarness(t)
	before := made.attachReadyOwner(1)
	made.attachOwner(2)
	if got := made.orderStart(before, newStartOrder(1)); got != wire.StartOutcome_START_STALE {
		t.Errorf("told %v", got)
	}
}
