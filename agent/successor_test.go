package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestHeartbeatOrder: the incarnation that stands at the address is taken care of, in whatever
// order the heartbeats arrive, after a restart of the agent too. A heartbeat may be held
// up until another incarnation has taken the place of the one that sent it.
func TestHeartbeatOrder(t *testing.T) {
	const earlier = "i-0"
	tests := map[string][]string{
		"the present one alone":     {workerID},
		"the earlier one first":     {earlier, workerID},
		"the earlier one late":      {workerID, earlier},
		"the earlier one and again": {workerID, earlier, workerID, earlier, earlier},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.worker.Put(testTask, 1, time.Hour)
			owner := made.attachOwner(1)
			for sequence, id := range order {
				beat := made.firstHeartbeat()
				beat.Incarnation, beat.Sequence = incarnation.New(id, 0), int64(sequence+1)
				made.agent.Beat(beat)
				made.advance(100 * time.Millisecond)
			}
			made.waitFor(func() bool {
				owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
				last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetComplete() })
				return last.GetStatus().GetWorker() == workerID && len(last.GetRuns()) == 1
			})
			made.advance(time.Second)
			if last := owner.lastMatching(func(*wire.AgentMessage) bool { return true }); last.GetStatus().GetWorker() != workerID {
				t.Errorf("takes care of %q", last.GetStatus().GetWorker())
			}
			if !made.isRunning() {
				t.Error("the run of the present incarnation is gone")
			}
		})
	}
}

// TestSuccessorTakesOverOnce: the answer to whether an incarnation is the present one may
// come after it has been taken care of for another reason. The case that forced it: the
// answer ended the very incarnation that it was about, whose heartbeats were passed over from
// then on and whose runs were told as lost.
func TestSuccessorTakesOverOnce(t *testing.T) {
	made := newHarness(t)
	answer := make(chan struct{})
	made.worker.Fail(func(string) wireworker.Fault {
		<-answer
		return wireworker.FaultNone
	})
	owner := made.attachOwner(1)
	earlier, present := made.firstHeartbeat(), made.firstHeartbeat()
	earlier.Incarnation = incarnation.New("i-0", 0)
	made.agent.Beat(earlier)
	made.agent.Beat(present)
	made.agent.Left(earlier.Incarnation.WorkerID())
	made.agent.Beat(present)
	tells := func(message *wire.AgentMessage) bool { return message.GetStatus().GetWorker() == workerID }
	made.waitFor(func() bool { return owner.lastMatching(tells) != nil })
	close(answer)
	made.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
	made.sendDrainNotice(time.Minute)
	made.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{})
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetDraining() }) != nil
	})
}

// TestUnresponsiveWorkerIsNotReplaced has a heartbeat that was held up arrive from an incarnation that is long
// gone while the present one is silent, so that neither of them answers. The present one may go on
// until its lease has run out: its runs are not over before.
func TestUnresponsiveWorkerIsNotReplaced(t *testing.T) {
	made := newHarness(t)
	owner := made.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000, MemoryMb: 1000})
	made.advance(time.Second)
	if err := made.server.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	made.server.CloseClientConnections()
	made.advanceUnpolled(300 * time.Millisecond)
	lapses := made.worker.LeaseEnd()
	late := made.firstHeartbeat()
	late.Incarnation = incarnation.New("i-0", 0)
	for made.worker.Clock() < lapses-100*time.Millisecond {
		made.agent.Beat(late)
		made.advanceUnpolled(200 * time.Millisecond)
		if end := owner.firstEnd(); end != nil {
			t.Fatalf("told %v %v before the lease has run out", end.GetReason(), lapses-made.worker.Clock())
		}
	}
}

// TestAdoptedRunKeptUntilLeaseIsOver has the worker fall silent right after an agent that has just started
// found a run there, whose lease an agent before it had renewed: the run goes on until that has run
// out.
func TestAdoptedRunKeptUntilLeaseIsOver(t *testing.T) {
	made := newHarness(t)
	made.worker.Put(testTask, 1, 4*time.Second)
	lapses := made.worker.LeaseEnd()
	made.sendHeartbeat()
	made.waitFor(func() bool { looks, _ := made.worker.Looks(); return looks > 1 })
	if err := made.server.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	made.server.CloseClientConnections()
	owner := made.attachOwner(1)
	for made.worker.Clock() < lapses-100*time.Millisecond {
		made.advanceUnpolled(200 * time.Millisecond)
		if end := owner.firstEnd(); end != nil {
			t.Fatalf("told %v %v before the lease has run out", end.GetReason(), lapses-made.worker.Clock())
		}
	}
	made.waitFor(func() bool { return owner.firstEnd() != nil })
}
