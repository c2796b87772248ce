package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/platform"
)

// TestSuspendedOwnerGrantsNothing: an owner whose machine was suspended may have been replaced in the
// meantime. The entries that take over its shards rely on it granting nothing for longer than
// storeOutageTolerance after its last join. It grants again once the store has confirmed that it
// still owns its shards.
func TestSuspendedOwnerGrantsNothing(t *testing.T) {
	grants := func(h *harness) bool {
		h.clock.Advance(grantInterval)
		h.tick()
		for _, message := range h.takeSent() {
			if message.GetGrantUntilNanos() > 0 {
				return true
			}
		}
		return false
	}
	h := newHarness(t)
	h.submit()
	h.attachAndStart()
	if !grants(h) {
		t.Fatal("it grants nothing before the suspension")
	}
	h.owner.handleSuspension(storeOutageTolerance-time.Second, h.clock.Now())
	if !grants(h) {
		t.Error("it grants nothing after a short suspension")
	}
	h.owner.handleSuspension(time.Second, h.clock.Now())
	if grants(h) {
		t.Error("it grants after a long suspension")
	}
	h.owner.applyAssignment(platform.Assignment{Generation: 3, Partitions: []int{h.shard.number}}, h.clock.Now(), h.clock.Now())
	if !grants(h) {
		t.Error("it grants nothing after the store has confirmed its shards")
	}
}
