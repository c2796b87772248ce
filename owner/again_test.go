package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// The owner's part of a failure that users met: an id was taken for one life of a worker, though a worker
// may start again under it. The story and the evidence stand with the agent's tests. Here, what had ended
// with one life was taken to have ended with the next one, whose runs were released while they went on.

// The lives of a worker in these tests.
const (
	firstStartedMs  = int64(1_790_000_000_000)
	secondStartedMs = firstStartedMs + 60_000
)

// idleWorkerStartedAt is the status of a ready worker on which nothing runs.
func idleWorkerStartedAt(born int64) *wire.WorkerStatus {
	status := idleWorkerStatus()
	status.Born = born
	return status
}

// restoreRun is a run of the job on a life of a worker, as an owner before left it in the store.
func (made *harness) restoreRun(born ...int64) *job.Job {
	made.t.Helper()
	of := made.submit()
	made.owner.applyProgress(made.shard, newRecord(made.t, jobID, &job.Progress{
		Id: jobID, State: job.State_STATE_RUNNING, Workers: []string{workerID}, Agents: []string{agentAddress}, Born: born,
		Tasks: []*job.TaskProgress{{Attempt: 1, State: job.TaskState_TASK_STARTED, Worker: 1}},
	}), made.clock.Now())
	made.owner.adoptRuns(made.shard, made.clock.Now())
	return of
}

// firstRunActive reports whether the task's first run is taken to go on.
func firstRunActive(of *job.Job) bool {
	task := of.Tasks()[0]
	return task.State() == job.TaskState_TASK_STARTED && task.Attempt() == 1
}

// firstRunListed is what an agent says of the first run of the task.
func firstRunListed() []*wire.RunStatus { return []*wire.RunStatus{{Task: firstTask, Attempt: 1}} }

// TestEndOfEarlierIncarnation: that a life has ended says nothing about a run on the next one, nor does an id
// alone, which an earlier build wrote of a life that it could not tell from others.
func TestEndOfEarlierIncarnation(t *testing.T) {
	over := func(born int64) *job.AgentRecord {
		return &job.AgentRecord{Name: "side-1", Address: agentAddress, Over: []*job.Incarnation{{Id: workerID, Born: born}}}
	}
	byID := &job.AgentRecord{Name: "side-1", Address: agentAddress, Ended: []string{workerID}}
	tests := map[string]struct {
		born   []int64 // of the life that the run is on
		ended  *job.AgentRecord
		goesOn bool
	}{
		"the life before":                      {[]int64{secondStartedMs}, over(firstStartedMs), true},
		"its own life":                         {[]int64{secondStartedMs}, over(secondStartedMs), false},
		"an id alone":                          {[]int64{secondStartedMs}, byID, true},
		"an id alone, and the run has no more": {nil, byID, false},
		"a life, and the run has an id alone":  {nil, over(firstStartedMs), true},
	}
	for name, test := range tests {
		for when, before := range map[string]bool{", read before the shard": true, ", read after it": false} {
			t.Run(name+when, func(t *testing.T) {
				made := newHarness(t)
				read := func() {
					made.owner.applyAgentRecords(platform.ReadResult{Records: []platform.Record{newRecord(t, "side-1", test.ended)}}, made.clock.Now())
				}
				if before {
					read()
				}
				of := made.restoreRun(test.born...)
				if !before {
					read()
				}
				if firstRunActive(of) != test.goesOn {
					t.Errorf("goes on: %v", firstRunActive(of))
				}
			})
		}
	}
}

// TestRunOnAnotherIncarnation: a run that is listed goes on, wherever its record has it; one that another
// life of its worker lacks is over, and one whose life its record doesn't name is over where it is lacked.
func TestRunOnAnotherIncarnation(t *testing.T) {
	tests := map[string]struct {
		born   []int64
		status int64
		runs   []*wire.RunStatus
		goesOn bool
	}{
		"the next life lacks it":                {[]int64{firstStartedMs}, secondStartedMs, nil, false},
		"the next life lists it":                {[]int64{firstStartedMs}, secondStartedMs, firstRunListed(), true},
		"its own life lists it":                 {[]int64{secondStartedMs}, secondStartedMs, firstRunListed(), true},
		"the record has the id alone":           {nil, secondStartedMs, firstRunListed(), true},
		"the worker says its id alone":          {[]int64{firstStartedMs}, 0, firstRunListed(), true},
		"the id alone, and the worker lacks it": {nil, secondStartedMs, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.restoreRun(test.born...)
			made.attach()
			for range 2 {
				made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(test.status), Complete: true, Runs: test.runs})
				made.tick()
				made.takeSent()
			}
			if firstRunActive(of) != test.goesOn {
				t.Errorf("goes on: %v", firstRunActive(of))
			}
		})
	}
}

// TestOrdersNameIncarnation: a start, its end and the word that the end is in the store name the life that they are
// about, and so does the record of the start.
func TestOrdersNameIncarnation(t *testing.T) {
	made := newHarness(t)
	of := made.submit()
	made.attach()
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	made.tick()
	made.awaitWrites()
	made.tick()
	orders := startOrders(made.takeSent())
	if len(orders) != 1 || orders[0].GetBorn() != secondStartedMs {
		t.Fatalf("ordered %v", orders)
	}
	if kept := of.Progress(); len(kept.GetBorn()) != 1 || kept.GetBorn()[0] != secondStartedMs {
		t.Errorf("kept %v", kept)
	}
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs), Ends: []*wire.RunEnd{
		{Worker: workerID, Born: secondStartedMs, Number: 7, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE},
	}})
	made.tick()
	made.awaitWrites()
	made.tick()
	var seen []*wire.EndSeen
	for _, message := range made.takeSent() {
		seen = append(seen, message.GetSeen()...)
	}
	if len(seen) != 1 || seen[0].GetBorn() != secondStartedMs || seen[0].GetNumber() != 7 {
		t.Errorf("told of ends in the store: %v", seen)
	}
}

// TestWorkerRestartsBeforeStartOrder: a run that was placed on one life is not ordered of the next one.
func TestWorkerRestartsBeforeStartOrder(t *testing.T) {
	made := newHarness(t)
	made.submit()
	made.attach()
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(firstStartedMs)})
	made.tick()
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	made.awaitWrites()
	made.owner.sendUpdate(made.agent, made.clock.Now())
	for _, order := range startOrders(made.takeSent()) {
		if order.GetBorn() != secondStartedMs {
			t.Errorf("ordered %v of another life", order)
		}
	}
}

// TestProbationEndsWithIncarnation: what failed on one life of a worker says nothing of the next one.
func TestProbationEndsWithIncarnation(t *testing.T) {
	made := newHarness(t)
	made.attach()
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(firstStartedMs)})
	made.agent.consecutiveFailures, made.agent.avoidUntil = failuresBeforeProbation, made.clock.Now().Add(time.Minute)
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	if made.agent.consecutiveFailures != 0 || !made.agent.avoidUntil.IsZero() {
		t.Errorf("%d failures, avoided until %v", made.agent.consecutiveFailures, made.agent.avoidUntil)
	}
}

// TestTicketIsPerIncarnation: the next life of a worker is asked about anew.
func TestTicketIsPerIncarnation(t *testing.T) {
	made := newHarness(t)
	of := made.submitWith(func(handed *job.Submission) { handed.Advice = &job.Advice{ValidMs: 60_000} })
	made.attach()
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(firstStartedMs)})
	task, now := of.Tasks()[0], made.clock.Now()
	known := &stepAdvice{timing: of.Submission().GetAdvice(), service: "verbale"}
	name := stepName(task)
	made.owner.advice.steps[name] = known
	asked := made.owner.workersToQuery(known)
	if len(asked) != 1 {
		t.Fatalf("asks about %v", asked)
	}
	made.owner.handleAdvice(name, known, asked, platform.Advice{Tickets: map[string]string{workerID: "t-1"}, ValidFor: time.Minute}, nil, now)
	if best := made.owner.bestWorker(task, made.owner.candidates(made.owner.agentViews(), now), now); best == nil {
		t.Fatal("no place with a ticket")
	}
	made.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	if best := made.owner.bestWorker(task, made.owner.candidates(made.owner.agentViews(), now), now); best != nil {
		t.Error("the ticket of the life before is used")
	}
	if again := made.owner.workersToQuery(known); len(again) != 1 {
		t.Errorf("asks about %v", again)
	}
}

// TestInheritedRunOnUnresponsiveWorker: a run that an owner before had put into the store and never ordered is known to no
// agent. It is over once the agent can account for all that runs, though its worker is silent for good or
// none has come: it would wait for an end that nobody will tell.
func TestInheritedRunOnUnresponsiveWorker(t *testing.T) {
	silent := idleWorkerStartedAt(firstStartedMs)
	silent.Ready = false
	accounted := idleWorkerStartedAt(firstStartedMs)
	accounted.Ready, accounted.Accounted = false, true
	tests := map[string]struct {
		status *wire.WorkerStatus
		runs   []*wire.RunStatus
		goesOn bool
	}{
		"the agent can't account for it":         {silent, nil, true},
		"the agent lists it":                     {accounted, firstRunListed(), true},
		"the agent accounts for all, without":    {accounted, nil, false},
		"no worker, and the lease may go on":     {&wire.WorkerStatus{}, nil, true},
		"no worker, and every lease is over":     {&wire.WorkerStatus{Accounted: true}, nil, false},
		"another worker, which has not answered": {&wire.WorkerStatus{Worker: "i-9", Accounted: true}, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.restoreRun(firstStartedMs)
			made.attach()
			made.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if !firstRunActive(of) {
				t.Fatal("released before the agent had heard of the claim")
			}
			made.tick()
			made.takeSent()
			made.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if firstRunActive(of) != test.goesOn {
				t.Errorf("goes on: %v", firstRunActive(of))
			}
		})
	}
}
