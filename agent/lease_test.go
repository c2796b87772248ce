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
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	h.mustStart(owner, newStartOrder(1))
	h.worker.Fail(func(string) wireworker.Fault { return wireworker.FaultReset })
	h.advance(time.Second)
	if owner.firstEnd() != nil {
		t.Fatal("given up while the worker's lease runs")
	}
	h.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{}) // Its owner is there, and speaks.
		return owner.firstEnd() != nil
	})
	if h.isRunning() {
		t.Error("given up while it runs")
	}
	if got := owner.firstEnd().GetReason(); got != wire.EndReason_END_LOST {
		t.Errorf("told %v", got)
	}
}

// TestSilentOwnersRunsAreStopped: a run whose owner grants no more time ends
// before the last grant does.
func TestSilentOwnersRunsAreStopped(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	granted := h.clock.Now().Add(grantDuration)
	h.mustStart(owner, newStartOrder(1))
	h.waitFor(func() bool { return !h.isRunning() })
	if now := h.clock.Now(); now.After(granted) {
		t.Errorf("it ran %v beyond the grant", now.Sub(granted))
	}
	if got := owner.firstEnd(); got != nil && got.GetReason() == wire.EndReason_END_LAPSED {
		t.Error("it was left to its lease, and what ran beside it would have ended with it")
	}
}

// TestAdoptedRunWaitsForOwner: an agent that has just started leaves a run that
// it finds alone until an owner has had time to attach.
func TestAdoptedRunWaitsForOwner(t *testing.T) {
	h := newHarness(t)
	h.worker.Put(testTask, 1, 4*time.Second)
	h.sendHeartbeat()
	h.advance(time.Second)
	if !h.isRunning() {
		t.Fatal("stopped before an owner could attach")
	}
	owner := h.attachOwner(1)
	h.advance(500 * time.Millisecond)
	if !h.isRunning() {
		t.Fatal("stopped although its owner attached")
	}
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	h.advance(5 * time.Second)
	if !h.isRunning() {
		t.Error("its lease was not renewed")
	}
}
