package agent_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// sharedEnds returns the reasons of the ends of the test task that the owner was told as one of all owners.
func (owner *ownerStream) sharedEnds() []wire.EndReason {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	var reasons []wire.EndReason
	for _, message := range owner.received {
		for _, end := range message.GetSharedEnds() {
			if end.GetTask() == testTask {
				reasons = append(reasons, end.GetReason())
			}
		}
	}
	return reasons
}

// TestEndIsLostWithItsMachine guards against tasks that wait for long since the end of their run was known only to a
// machine that has left and to an owner that could not store it: an entry without the shard must be told in time.
func TestEndIsLostWithItsMachine(t *testing.T) {
	tests := map[string]struct {
		happen  func(h *harness, owner *ownerStream)
		after   time.Duration
		reasons []wire.EndReason
	}{
		"its worker drains": {func(h *harness, _ *ownerStream) {
			h.sendDrainNotice(2 * time.Second)
			h.advance(100 * time.Millisecond)
			h.worker.End(testTask, "stopped")
		}, 300 * time.Millisecond, []wire.EndReason{wire.EndReason_END_STOPPED}},
		"the store is away": {func(h *harness, _ *ownerStream) { h.worker.End(testTask, "done") },
			1500 * time.Millisecond, []wire.EndReason{wire.EndReason_END_DONE}},
		"its worker has left": {func(h *harness, _ *ownerStream) {
			h.sendDrainNotice(0)
			h.advance(100 * time.Millisecond)
			h.agent.HandleLeave(workerID)
		}, 300 * time.Millisecond, []wire.EndReason{wire.EndReason_END_LOST}},
		"the end is stored at once": {func(h *harness, owner *ownerStream) {
			h.worker.End(testTask, "done")
			h.waitFor(func() bool { return owner.firstEnd() != nil })
			owner.confirmEnd(owner.firstEnd())
		}, 2 * time.Second, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000})
			other := h.connectOwner(&wire.OwnerMessage{Owner: "edge-2", Owned: true})
			test.happen(h, owner)
			h.advance(test.after)
			if got := other.sharedEnds(); !slices.Equal(got, test.reasons) {
				t.Errorf("the other entry was told %v, want %v", got, test.reasons)
			}
		})
	}
}

// TestPendingEndsReachOwnerThatConnectsLater: an entry that starts during an outage of the store may be the next owner too.
func TestPendingEndsReachOwnerThatConnectsLater(t *testing.T) {
	h := newHarness(t)
	h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000})
	h.worker.End(testTask, "done")
	h.advance(2 * time.Second)
	later := h.connectOwner(&wire.OwnerMessage{Owner: "edge-2", Owned: true})
	h.advance(100 * time.Millisecond)
	if got := later.sharedEnds(); !slices.Equal(got, []wire.EndReason{wire.EndReason_END_DONE}) {
		t.Errorf("the entry was told %v", got)
	}
}

// TestStoppingAgentLeavesEndsBehind guards against ends that nobody can report any more: an agent that is stopped with
// its machine must stay until they are in the store, within the time for a planned stop.
func TestStoppingAgentLeavesEndsBehind(t *testing.T) {
	tests := map[string]struct {
		workerGone bool
		waits      bool
	}{
		"the worker is gone": {true, true},
		"the worker answers": {false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000})
			h.worker.End(testTask, "stopped")
			h.waitFor(func() bool { return owner.firstEnd() != nil })
			if test.workerGone {
				h.server.CloseClientConnections()
				h.server.Close()
				h.advanceUnpolled(2 * time.Second)
			}
			stopped := make(chan struct{})
			go func() {
				h.agent.AwaitEndsStored(context.Background())
				close(stopped)
			}()
			if waits := !h.closesSoon(stopped); waits != test.waits {
				t.Fatalf("the agent waits: %v", waits)
			}
			owner.confirmEnd(owner.firstEnd())
			if !h.closesSoon(stopped) {
				t.Error("the agent waits although the end is in the store")
			}
		})
	}
}

// closesSoon reports whether a channel is closed within two seconds of the fake clock.
func (h *harness) closesSoon(channel <-chan struct{}) bool {
	for range 40 {
		h.clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
		select {
		case <-channel:
			return true
		default:
		}
	}
	return false
}
