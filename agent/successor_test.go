package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestHeartbeats: the incarnation that stands at the address is taken care of, in whatever
// order the heartbeats arrive, after a restart of the agent too. A heartbeat may be held
// up until another incarnation has taken the place of the one that sent it.
func TestHeartbeats(t *testing.T) {
	const earlier = "i-0"
	tests := map[string][]string{
		"the present one alone":     {worker},
		"the earlier one first":     {earlier, worker},
		"the earlier one late":      {worker, earlier},
		"the earlier one and again": {worker, earlier, worker, earlier, earlier},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			made.worker.Put(task, 1, time.Hour)
			owner := made.attach(1)
			for sequence, id := range order {
				beat := made.heartbeat()
				beat.Incarnation, beat.Sequence = incarnation.New(id, 0), int64(sequence+1)
				made.beside.Beat(beat)
				made.pass(100 * time.Millisecond)
			}
			made.until(func() bool {
				owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
				last := owner.last(func(message *wire.AgentMessage) bool { return message.GetComplete() })
				return last.GetStatus().GetWorker() == worker && len(last.GetRuns()) == 1
			})
			made.pass(time.Second)
			if last := owner.last(func(*wire.AgentMessage) bool { return true }); last.GetStatus().GetWorker() != worker {
				t.Errorf("takes care of %q", last.GetStatus().GetWorker())
			}
			if !made.runs() {
				t.Error("the run of the present incarnation is gone")
			}
		})
	}
}

// TestSuccessorIsTakenCareOfOnce: the answer to whether an incarnation is the present one may
// come after it has been taken care of for another reason. The case that forced it: the
// answer ended the very incarnation that it was about, whose heartbeats were passed over from
// then on and whose runs were told as lost.
func TestSuccessorIsTakenCareOfOnce(t *testing.T) {
	made := newBench(t)
	answer := make(chan struct{})
	made.worker.Fail(func(string) wireworker.Fault {
		<-answer
		return wireworker.FaultNone
	})
	owner := made.attach(1)
	earlier, present := made.heartbeat(), made.heartbeat()
	earlier.Incarnation = incarnation.New("i-0", 0)
	made.beside.Beat(earlier)
	made.beside.Beat(present)
	made.beside.Left(earlier.Incarnation.WorkerID())
	made.beside.Beat(present)
	tells := func(message *wire.AgentMessage) bool { return message.GetStatus().GetWorker() == worker }
	made.until(func() bool { return owner.last(tells) != nil })
	close(answer)
	made.until(func() bool {
		owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
	made.beatLeaving(time.Minute)
	made.until(func() bool {
		owner.tell(&wire.OwnerMessage{})
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus().GetDraining() }) != nil
	})
}

// TestSilentWorkerIsNotReplaced has a heartbeat that was held up arrive from an incarnation that is long
// gone while the present one is silent, so that neither of them answers. The present one may go on
// until its lease has run out: its runs are not over before.
func TestSilentWorkerIsNotReplaced(t *testing.T) {
	made := newBench(t)
	owner := made.attachRunning(&wire.Demand{MilliCpu: 1000, MemoryMb: 1000})
	made.pass(time.Second)
	if err := made.server.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	made.server.CloseClientConnections()
	made.passSilently(300 * time.Millisecond)
	lapses := made.worker.LeaseEnd()
	late := made.heartbeat()
	late.Incarnation = incarnation.New("i-0", 0)
	for made.worker.Clock() < lapses-100*time.Millisecond {
		made.beside.Beat(late)
		made.passSilently(200 * time.Millisecond)
		if end := owner.end(); end != nil {
			t.Fatalf("told %v %v before the lease has run out", end.GetReason(), lapses-made.worker.Clock())
		}
	}
}

// TestFoundRunWaitsOutItsLease has the worker fall silent right after an agent that has just started
// found a run there, whose lease an agent before it had renewed: the run goes on until that has run
// out.
func TestFoundRunWaitsOutItsLease(t *testing.T) {
	made := newBench(t)
	made.worker.Put(task, 1, 4*time.Second)
	lapses := made.worker.LeaseEnd()
	made.beat()
	made.until(func() bool { looks, _ := made.worker.Looks(); return looks > 1 })
	if err := made.server.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	made.server.CloseClientConnections()
	owner := made.attach(1)
	for made.worker.Clock() < lapses-100*time.Millisecond {
		made.passSilently(200 * time.Millisecond)
		if end := owner.end(); end != nil {
			t.Fatalf("told %v %v before the lease has run out", end.GetReason(), lapses-made.worker.Clock())
		}
	}
	made.until(func() bool { return owner.end() != nil })
}
