package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestUnresponsiveWorkerRunsAreLost checks that failed polls do not renew the lease of a worker, and that its
// runs are reported as lost once the lease has expired. It guards against a fault by which every failed poll
// of a dead worker extended the assumed lease, so that its runs were never reported as lost.
func TestUnresponsiveWorkerRunsAreLost(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	h.mustStart(owner, newStartOrder(1))
	h.worker.InjectFaults(func(string) wireworker.Fault { return wireworker.FaultReset })
	h.advance(time.Second)
	if owner.firstEnd() != nil {
		t.Fatal("the run was reported as lost before the lease expired")
	}
	h.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{}) // Keeps the connection.
		return owner.firstEnd() != nil
	})
	if h.isRunning() {
		t.Error("the run was reported as lost while it still ran")
	}
	if got := owner.firstEnd().GetReason(); got != wire.EndReason_END_LOST {
		t.Errorf("end reason %v, want END_LOST", got)
	}
}

// TestSilentOwnersRunsAreStopped checks that a run is stopped before its owner's last grant ends. Otherwise
// the lease, which covers all runs of the worker, would expire with that grant.
func TestSilentOwnersRunsAreStopped(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	grantEnd := h.clock.Now().Add(grantDuration)
	h.mustStart(owner, newStartOrder(1))
	h.waitFor(func() bool { return !h.isRunning() })
	if now := h.clock.Now(); now.After(grantEnd) {
		t.Errorf("the run ended %v after the grant", now.Sub(grantEnd))
	}
	if got := owner.firstEnd(); got != nil && got.GetReason() == wire.EndReason_END_LAPSED {
		t.Error("the run ended because the lease expired, which would have ended all other runs as well")
	}
}

// TestAdoptedRunWaitsForOwner checks that an agent that has just started does not stop a run that it adopts
// before an owner has had time to attach.
func TestAdoptedRunWaitsForOwner(t *testing.T) {
	h := newHarness(t)
	h.worker.AddRun(testTask, 1, 4*time.Second)
	h.sendHeartbeat()
	h.advance(time.Second)
	if !h.isRunning() {
		t.Fatal("the run was stopped before an owner could attach")
	}
	owner := h.attachOwner(1)
	h.advance(500 * time.Millisecond)
	if !h.isRunning() {
		t.Fatal("the run was stopped although its owner attached")
	}
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	h.advance(5 * time.Second)
	if !h.isRunning() {
		t.Error("the run ended although its owner granted a minute")
	}
}
