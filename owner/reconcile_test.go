package owner

import (
	"context"
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestInheritedRunIsKeptUntilGrantExpires: the owner before may have granted time until
// it gave up. The case that forced it: after all processes had been killed, tasks
// were started a second time beside their first runs.
func TestInheritedRunIsKeptUntilGrantExpires(t *testing.T) {
	made := newHarness(t)
	of := made.adoptRun(workerID)
	made.tick()
	made.clock.Advance(storeOutageTolerance)
	made.owner.lastJoinAt = made.clock.Now()
	made.tick()
	if of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while the owner before may still have granted")
	}
	made.clock.Advance(7 * time.Second)
	made.tick()
	if of.Tasks()[0].State() == job.TaskState_TASK_STARTED {
		t.Error("not released although every grant must have ended")
	}
}

// TestInheritedRunIsReleasedIfNotListed: once the agent has heard of the
// claim, no order of an earlier owner can start anything.
func TestInheritedRunIsReleasedIfNotListed(t *testing.T) {
	made := newHarness(t)
	of := made.adoptRun(workerID)
	made.attach()
	made.receive(&wire.AgentMessage{Complete: true})
	if of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released before the agent had heard of the claim")
	}
	made.tick()
	made.takeSent()
	made.receive(&wire.AgentMessage{Complete: true})
	if of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Error("not released although the agent lacks it")
	}
}

func TestSilentAgentKeepsRunsUntilGrantExpires(t *testing.T) {
	made := newHarness(t)
	of := made.submit()
	made.attachAndStart()
	made.owner.handleDisconnected(made.agent, made.agent.conn, context.Canceled)
	made.clock.Advance(6 * time.Second)
	made.tick()
	if of.Tasks()[0].Attempt() != 1 || of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while its grant runs")
	}
	made.clock.Advance(2 * time.Second)
	made.tick()
	if of.Tasks()[0].State() == job.TaskState_TASK_STARTED {
		t.Error("not released although the grant must have ended")
	}
}

// TestNewIncarnationReleasesRuns: the case that forced it left lasting tasks
// waiting for twenty seconds after all machines had lost power.
func TestNewIncarnationReleasesRuns(t *testing.T) {
	made := newHarness(t)
	of := made.adoptRun("i-0")
	made.attach()
	made.receive(&wire.AgentMessage{Complete: true, Status: &wire.WorkerStatus{}})
	if of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while the agent knows of no worker")
	}
	made.receive(&wire.AgentMessage{Complete: true})
	if of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Error("not released although another incarnation stands there")
	}
}

// TestRunsOfEndedIncarnationAreReleased: the case that forced it is a worker that left
// with its machine while its owner was cut off from the store; the next owner
// waited 17 s for lasting tasks to be over.
func TestRunsOfEndedIncarnationAreReleased(t *testing.T) {
	tests := map[string]bool{"read before the shard": true, "read after the shard": false}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.submit()
			of.StartRun(of.Tasks()[0], job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, made.clock.Now())
			registered := platform.ReadResult{Records: []platform.Record{newRecord(t, "side-1", &job.AgentRecord{Name: "side-1", Address: agentAddress, Ended: []string{workerID}})}}
			if before {
				made.owner.applyAgentRecords(registered, made.clock.Now())
			}
			made.owner.adoptRuns(made.shard, made.clock.Now())
			if !before {
				made.owner.applyAgentRecords(registered, made.clock.Now())
			}
			if of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
				t.Error("not released")
			}
		})
	}
}

func TestNoGrantWithoutRecentJoin(t *testing.T) {
	made := newHarness(t)
	made.attach()
	made.tick()
	if got := made.takeSent(); len(got) == 0 || got[len(got)-1].GetGrantUntilNanos() == 0 {
		t.Fatalf("no grant at first: %v", got)
	}
	made.clock.Advance(storeOutageTolerance + time.Second)
	made.receive(&wire.AgentMessage{})
	made.tick()
	for _, message := range made.takeSent() {
		if message.GetGrantUntilNanos() != 0 {
			t.Error("granted without word from the store for longer than another owner waits")
		}
	}
}

func TestStrayRunIsStopped(t *testing.T) {
	made := newHarness(t)
	made.submit()
	made.attach()
	made.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 9}}})
	made.tick()
	stops := 0
	for _, message := range made.takeSent() {
		stops += len(message.GetStops())
	}
	if stops != 1 {
		t.Errorf("%d stops were ordered", stops)
	}
}

// TestUnreadyWorkerReleasesNoRuns has an agent that has just started name an incarnation by a heartbeat
// that was held up: the worker has not answered as that one yet, and the one before may go on.
func TestUnreadyWorkerReleasesNoRuns(t *testing.T) {
	for name, ready := range map[string]bool{"it has not answered": false, "it has answered": true} {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.submit()
			made.attachAndStart()
			status := idleWorkerStatus()
			status.Worker, status.Ready = "i-0", ready
			made.receive(&wire.AgentMessage{Status: status, Complete: true})
			if released := of.Tasks()[0].State() == job.TaskState_TASK_WAITING; released != ready {
				t.Errorf("the task waits again: %v", released)
			}
		})
	}
}
