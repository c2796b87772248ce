package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/wire"
)

// TestHigherEpochTakesOver: once a later owner has claimed the shard, the earlier
// one's orders have no effect.
func TestHigherEpochTakesOver(t *testing.T) {
	made := newBench(t)
	before := made.attachReady(1)
	made.attach(2)
	if got := made.starts(before, start(1)); got != wire.StartOutcome_START_STALE {
		t.Errorf("told %v", got)
	}
}
