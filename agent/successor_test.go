package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestHeartbeatOrder checks that the agent manages the incarnation at the worker's address, in whatever order
// heartbeats arrive, also after a restart of the agent. A heartbeat may be delayed until its sender has been
// replaced by another incarnation.
func TestHeartbeatOrder(t *testing.T) {
	const earlier = "i-0"
	tests := map[string][]string{
		"present only":               {workerID},
		"earlier first":              {earlier, workerID},
		"earlier delayed":            {workerID, earlier},
		"earlier delayed repeatedly": {workerID, earlier, workerID, earlier, earlier},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.worker.AddRun(testTask, 1, time.Hour)
			owner := h.attachOwner(1)
			for sequence, id := range order {
				beat := h.firstHeartbeat()
				beat.Incarnation, beat.Sequence = incarnation.New(id, 0), int64(sequence+1)
				h.agent.HandleHeartbeat(beat)
				h.advance(100 * time.Millisecond)
			}
			h.waitFor(func() bool {
				owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
				last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetComplete() })
				return last.GetStatus().GetWorker() == workerID && len(last.GetRuns()) == 1
			})
			h.advance(time.Second)
			if last := owner.lastMatching(func(*wire.AgentMessage) bool { return true }); last.GetStatus().GetWorker() != workerID {
				t.Errorf("the agent manages %q", last.GetStatus().GetWorker())
			}
			if !h.isRunning() {
				t.Error("the run of the present incarnation is gone")
			}
		})
	}
}

// TestSuccessorTakesOverOnce has the answer to a probe arrive when the agent already manages the probed
// incarnation for another reason. When that was not handled, the answer ended the very incarnation that was
// probed: its heartbeats were ignored from then on, and its runs were reported as lost.
func TestSuccessorTakesOverOnce(t *testing.T) {
	h := newHarness(t)
	release := make(chan struct{})
	h.worker.InjectFaults(func(string) wireworker.Fault {
		<-release
		return wireworker.FaultNone
	})
	owner := h.attachOwner(1)
	earlier, present := h.firstHeartbeat(), h.firstHeartbeat()
	earlier.Incarnation = incarnation.New("i-0", 0)
	h.agent.HandleHeartbeat(earlier)
	h.agent.HandleHeartbeat(present)
	h.agent.HandleLeave(earlier.Incarnation.WorkerID())
	h.agent.HandleHeartbeat(present)
	isManaged := func(message *wire.AgentMessage) bool { return message.GetStatus().GetWorker() == workerID }
	h.waitFor(func() bool { return owner.lastMatching(isManaged) != nil })
	close(release)
	h.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
	h.sendDrainNotice(time.Minute)
	h.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{})
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetDraining() }) != nil
	})
}

// TestUnresponsiveWorkerIsNotReplaced sends a delayed heartbeat of an incarnation that is long over while the
// present one does not answer, so that neither does. The present one may run on until its lease has expired:
// its runs are not over before that.
func TestUnresponsiveWorkerIsNotReplaced(t *testing.T) {
	h := newHarness(t)
	owner := h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000, MemoryMb: 1000})
	h.advance(time.Second)
	if err := h.server.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	h.server.CloseClientConnections()
	h.advanceUnpolled(300 * time.Millisecond)
	leaseEnd := h.worker.LeaseEnd()
	late := h.firstHeartbeat()
	late.Incarnation = incarnation.New("i-0", 0)
	for h.worker.Clock() < leaseEnd-100*time.Millisecond {
		h.agent.HandleHeartbeat(late)
		h.advanceUnpolled(200 * time.Millisecond)
		if end := owner.firstEnd(); end != nil {
			t.Fatalf("the run was reported as %v, %v before the end of its lease", end.GetReason(), leaseEnd-h.worker.Clock())
		}
	}
}

// TestAdoptedRunKeptUntilLeaseIsOver has the worker stop answering right after a new agent has adopted a run
// there, whose lease an earlier agent renewed. The run goes on until that lease has expired.
func TestAdoptedRunKeptUntilLeaseIsOver(t *testing.T) {
	h := newHarness(t)
	h.worker.AddRun(testTask, 1, 4*time.Second)
	leaseEnd := h.worker.LeaseEnd()
	h.sendHeartbeat()
	h.waitFor(func() bool { looks, _ := h.worker.Polls(); return looks > 1 })
	if err := h.server.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	h.server.CloseClientConnections()
	owner := h.attachOwner(1)
	for h.worker.Clock() < leaseEnd-100*time.Millisecond {
		h.advanceUnpolled(200 * time.Millisecond)
		if end := owner.firstEnd(); end != nil {
			t.Fatalf("the run was reported as %v, %v before the end of its lease", end.GetReason(), leaseEnd-h.worker.Clock())
		}
	}
	h.waitFor(func() bool { return owner.firstEnd() != nil })
}
