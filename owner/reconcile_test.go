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

// TestInheritedRunIsKeptUntilGrantExpires: the previous owner may have granted time until its ownership
// expired. If a run were released before, as after a restart of all processes, its task would be started a
// second time beside the first run.
func TestInheritedRunIsKeptUntilGrantExpires(t *testing.T) {
	h := newHarness(t)
	j := h.adoptRun(workerID)
	h.tick()
	h.clock.Advance(storeOutageTolerance)
	h.owner.lastJoinAt = h.clock.Now()
	h.tick()
	if j.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while a grant of the previous owner may not have expired")
	}
	h.clock.Advance(7 * time.Second)
	h.tick()
	if j.Tasks()[0].State() == job.TaskState_TASK_STARTED {
		t.Error("not released although every grant must have expired")
	}
}

// TestInheritedRunIsReleasedIfNotListed: once the agent has received the claim of the shard, no order of an
// earlier owner can start a run, so a run that the agent does not list is over.
func TestInheritedRunIsReleasedIfNotListed(t *testing.T) {
	h := newHarness(t)
	j := h.adoptRun(workerID)
	h.attach()
	h.receive(&wire.AgentMessage{Complete: true})
	if j.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released before the agent had received the claim of the shard")
	}
	h.tick()
	h.takeSent()
	h.receive(&wire.AgentMessage{Complete: true})
	if j.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Error("not released although the agent does not list it")
	}
}

func TestSilentAgentKeepsRunsUntilGrantExpires(t *testing.T) {
	h := newHarness(t)
	j := h.submit()
	h.attachAndStart()
	h.owner.handleDisconnected(h.agent, h.agent.conn, context.Canceled, h.clock.Now())
	h.clock.Advance(6 * time.Second)
	h.tick()
	if j.Tasks()[0].Attempt() != 1 || j.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released before its grant has expired")
	}
	h.clock.Advance(2 * time.Second)
	h.tick()
	if j.Tasks()[0].State() == job.TaskState_TASK_STARTED {
		t.Error("not released although its grant must have expired")
	}
}

// TestNewIncarnationReleasesRuns: if the agent reports another incarnation of its worker after it has received the claim
// of the shard, the runs of the previous one are over. Otherwise long-running tasks would wait for 20 s after a power loss
// of all machines.
func TestNewIncarnationReleasesRuns(t *testing.T) {
	h := newHarness(t)
	j := h.adoptRun("i-0")
	h.attach()
	h.receive(&wire.AgentMessage{Complete: true, Status: &wire.WorkerStatus{}})
	if j.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while the agent knows no worker")
	}
	h.receive(&wire.AgentMessage{Complete: true})
	if j.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released by a message that may be older than the run")
	}
	h.tick()
	h.takeSent()
	h.receive(&wire.AgentMessage{Complete: true, Status: &wire.WorkerStatus{}})
	if j.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while the agent that has received the claim knows no worker")
	}
	h.receive(&wire.AgentMessage{Complete: true})
	if j.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Error("not released although another incarnation is running")
	}
}

// TestRunsOfEndedIncarnationAreReleased: runs are released if the store's record of the agent says that their
// worker's incarnation has ended. A worker may have left with its machine while its owner could not reach the
// store. The next owner would otherwise wait 17 s until it could start long-running tasks again.
func TestRunsOfEndedIncarnationAreReleased(t *testing.T) {
	tests := map[string]bool{"read before the shard": true, "read after the shard": false}
	for name, readFirst := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.submit()
			j.StartRun(j.Tasks()[0], job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, h.clock.Now())
			records := platform.ReadResult{Records: []platform.Record{newRecord(t, "side-1", &job.AgentRecord{Name: "side-1", Address: agentAddress, Ended: []string{workerID}})}}
			if readFirst {
				h.owner.applyAgentRecords(records, h.clock.Now())
			}
			h.owner.adoptRuns(h.shard, h.clock.Now())
			if !readFirst {
				h.owner.applyAgentRecords(records, h.clock.Now())
			}
			if j.Tasks()[0].State() != job.TaskState_TASK_WAITING {
				t.Error("the run was not released")
			}
		})
	}
}

func TestNoGrantWithoutRecentJoin(t *testing.T) {
	h := newHarness(t)
	h.attach()
	h.tick()
	if got := h.takeSent(); len(got) == 0 || got[len(got)-1].GetGrantUntilNanos() == 0 {
		t.Fatalf("no grant at first: %v", got)
	}
	h.clock.Advance(storeOutageTolerance + time.Second)
	h.receive(&wire.AgentMessage{})
	h.tick()
	for _, message := range h.takeSent() {
		if message.GetGrantUntilNanos() != 0 {
			t.Error("granted time although the last join is too long ago and another owner may have the shard")
		}
	}
}

func TestStrayRunIsStopped(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attach()
	h.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 9}}})
	if stops := countStops(h.actAndTakeSent()); stops != 1 {
		t.Errorf("%d stop orders, want 1", stops)
	}
}

// TestUnreadyWorkerReleasesNoRuns: an agent that has just started may know a worker only from a delayed
// heartbeat. Until that worker is ready, the one with the runs may still be running.
func TestUnreadyWorkerReleasesNoRuns(t *testing.T) {
	for name, ready := range map[string]bool{"not ready": false, "ready": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.submit()
			h.attachAndStart()
			status := idleWorkerStatus()
			status.Worker, status.Ready = "i-0", ready
			h.receive(&wire.AgentMessage{Status: status, Complete: true})
			if released := j.Tasks()[0].State() == job.TaskState_TASK_WAITING; released != ready {
				t.Errorf("released: %v", released)
			}
		})
	}
}
