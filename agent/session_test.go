package agent_test

import (
	"testing"

	"ambertiller.example/ambertiller/wire"
)

// TestHigherEpochTakesOver: once a later owner has claimed the shard, the earlier
// one's orders have no effect.
func TestHigherEpochTakesOver(t *testing.T) {
	made := newBench(t)
	made.beat()
	before := made.attach(1)
	made.ready(before)
	made.attach(2)
	before.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
	made.until(func() bool { return before.outcome() != wire.StartOutcome_START_UNSPECIFIED })
	if got := before.outcome(); got != wire.StartOutcome_START_STALE {
		t.Errorf("told %v", got)
	}
}
