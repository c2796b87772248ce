package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestFormerOwnersGrantStartsNothing checks that an order of a new owner is refused until that owner itself has granted time,
// although the former owner has gone on granting. It guards against an order that arrives after its owner has given it up
// and has the task run elsewhere.
func TestFormerOwnersGrantStartsNothing(t *testing.T) {
	h := newHarness(t)
	former := h.attachReadyOwner(1)
	former.send(&wire.OwnerMessage{Owned: true}) // It has given the shard up, and keeps its stream.
	for range 4 {
		former.send(&wire.OwnerMessage{GrantUntilNanos: int64(h.uptime() + grantDuration)})
		h.advance(2 * time.Second)
	}
	next := h.connectOwner(&wire.OwnerMessage{Owner: "edge-2", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: 2}}})
	if got := h.orderStart(next, newStartOrder(2)); got != wire.StartOutcome_START_NOT_READY {
		t.Errorf("an order without a grant of its owner: %v, want START_NOT_READY", got)
	}
	next.clearReceived()
	next.send(&wire.OwnerMessage{GrantUntilNanos: int64(h.uptime() + grantDuration)})
	order := newStartOrder(2)
	order.Attempt = 2
	if got := h.orderStart(next, order); got != wire.StartOutcome_START_STARTED {
		t.Errorf("an order with a grant of its owner: %v, want START_STARTED", got)
	}
}
