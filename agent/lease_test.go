package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestSilentWorkerIsGivenUp: looks that fail renew nothing, and once the lease
// that the worker may have is over its runs are. The case that forced it: a
// worker that was gone for good was renewed by every look.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	made := newBench(t)
	owner := made.attachReady(1)
	made.startsRun(owner, start(1))
	made.worker.Fail(func(string) wireworker.Fault { return wireworker.FaultReset })
	made.pass(time.Second)
	if owner.end() != nil {
		t.Fatal("given up while the worker's lease runs")
	}
	made.until(func() bool {
		owner.tell(&wire.OwnerMessage{}) // Its owner is there, and speaks.
		return owner.end() != nil
	})
	if made.runs() {
		t.Error("given up while it runs")
	}
	if got := owner.end().GetReason(); got != wire.EndReason_END_LOST {
		t.Errorf("told %v", got)
	}
}

// TestSilentOwnersRunsAreStopped: a run whose owner grants no more time ends
// before the last grant does.
func TestSilentOwnersRunsAreStopped(t *testing.T) {
	made := newBench(t)
	owner := made.attachReady(1)
	granted := made.clock.Now().Add(grant)
	made.startsRun(owner, start(1))
	made.until(func() bool { return !made.runs() })
	if now := made.clock.Now(); now.After(granted) {
		t.Errorf("it ran %v beyond the grant", now.Sub(granted))
	}
	if got := owner.end(); got != nil && got.GetReason() == wire.EndReason_END_LAPSED {
		t.Error("it was left to its lease, and what ran beside it would have ended with it")
	}
}

// TestFoundRunWaitsForItsOwner: an agent that has just started leaves a run that
// it finds alone until an owner has had time to attach.
func TestFoundRunWaitsForItsOwner(t *testing.T) {
	made := newBench(t)
	made.worker.Put(task, 1, 4*time.Second)
	made.beat()
	made.pass(time.Second)
	if !made.runs() {
		t.Fatal("stopped before an owner could attach")
	}
	owner := made.attach(1)
	made.pass(500 * time.Millisecond)
	if !made.runs() {
		t.Fatal("stopped although its owner attached")
	}
	owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	made.pass(5 * time.Second)
	if !made.runs() {
		t.Error("its lease was not renewed")
	}
}
