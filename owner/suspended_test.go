package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/platform"
)

// TestSuspendedOwnerGrantsNothing: an owner whose machine was suspended may have been replaced
// meanwhile, and those that take its shards over count on it that it grants nothing for longer
// than without the store. It grants again once the store has said that it still owns them.
func TestSuspendedOwnerGrantsNothing(t *testing.T) {
	grants := func(made *harness) bool {
		made.clock.Advance(grantInterval)
		made.step()
		for _, message := range made.takeSent() {
			if message.GetGrantUntilNanos() > 0 {
				return true
			}
		}
		return false
	}
	made := newHarness(t)
	made.submit()
	made.attachAndStart()
	if !grants(made) {
		t.Fatal("grants nothing")
	}
	made.owner.handleSuspension(storeOutageTolerance-time.Second, made.clock.Now())
	if !grants(made) {
		t.Error("grants nothing after a short suspension")
	}
	made.owner.handleSuspension(time.Second, made.clock.Now())
	if grants(made) {
		t.Error("grants after a long one")
	}
	made.owner.applyAssignment(platform.Deal{Generation: 3, Parts: []int{made.shard.number}}, made.clock.Now(), made.clock.Now())
	if !grants(made) {
		t.Error("grants nothing after word from the store")
	}
}
