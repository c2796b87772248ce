package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestUnresponsiveWorkerRunsAreLost: looks that fail renew nothing, and once the lease
// that the worker may have is over its runs are. The case that forced it: a
// worker that was gone for good was renewed by every look.
func TestUnresponsiveWorkerRunsAreLost(t *testing.T) {
	made := newHarness(t)
	owner := made.attachReadyOwner(1)
	made.mustStart(owner, newStartOrder(1))
	made.worker.Fail(func(string) wireworker.Fault { return wireworker.FaultReset })
	made.advance(time.Second)
	if owner.firstEnd() != nil {
		t.Fatal("given up while the worker's lease runs")
	}
	made.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{}) // Its owner is there, and speaks.
		return owner.firstEnd() != nil
	})
	if made.isRunning() {
		t.Error("given up while it runs")
	}
	if got := owner.firstEnd().GetReason(); got != wire.EndReason_END_LOST {
		t.Errorf("told %v", got)
	}
}

// TestSilentOwnersRunsAreStopped: a run whose owner grants no more time ends
// before the last grant does.
func TestSilentOwnersRunsAreStopped(t *testing.T) {
	made := newHarness(t)
	owner := made.attachReadyOwner(1)
	granted := made.clock.Now().Add(grantDuration)
	made.mustStart(owner, newStartOrder(1))
	made.waitFor(func() bool { return !made.isRunning() })
	if now := made.clock.Now(); now.After(granted) {
		t.Errorf("it ran %v beyond the grant", now.Sub(granted))
	}
	if got := owner.firstEnd(); got != nil && got.GetReason() == wire.EndReason_END_LAPSED {
		t.Error("it was left to its lease, and what ran beside it would have ended with it")
	}
}

// TestAdoptedRunWaitsForOwner: an agent that has just started leaves a run that
// it finds alone until an owner has had time to attach.
func TestAdoptedRunWaitsForOwner(t *testing.T) {
	made := newHarness(t)
	made.worker.Put(testTask, 1, 4*time.Second)
	made.sendHeartbeat()
	made.advance(time.Second)
	if !made.isRunning() {
		t.Fatal("stopped before an owner could attach")
	}
	owner := made.attachOwner(1)
	made.advance(500 * time.Millisecond)
	if !made.isRunning() {
		t.Fatal("stopped although its owner attached")
	}
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	made.advance(5 * time.Second)
	if !made.isRunning() {
		t.Error("its lease was not renewed")
	}
}
