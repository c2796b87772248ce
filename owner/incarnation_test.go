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
	firstBorn  = int64(1_790_000_000_000)
	secondBorn = firstBorn + 60_000
)

// emptyWorkerBorn is the status of a ready worker on which nothing runs.
func emptyWorkerBorn(born int64) *wire.WorkerStatus {
	status := idleWorkerStatus()
	status.Born = born
	return status
}

// restoreRun is a run of the job on a life of a worker, as an owner before left it in the store.
func (h *harness) restoreRun(born ...int64) *job.Job {
	h.t.Helper()
	j := h.submit()
	h.owner.applyProgress(h.shard, newRecord(h.t, jobID, &job.Progress{
		Id: jobID, State: job.State_STATE_RUNNING, Workers: []string{workerID}, Agents: []string{agentAddress}, Born: born,
		Tasks: []*job.TaskProgress{{Attempt: 1, State: job.TaskState_TASK_STARTED, Worker: 1}},
	}), h.clock.Now())
	h.owner.adoptRuns(h.shard, h.clock.Now())
	return j
}

// firstRunActive reports whether the task's first run is taken to go on.
func firstRunActive(j *job.Job) bool {
	task := j.Tasks()[0]
	return task.State() == job.TaskState_TASK_STARTED && task.Attempt() == 1
}

// firstRunListed is what an agent says of the first run of the task.
func firstRunListed() []*wire.RunStatus { return []*wire.RunStatus{{Task: firstTask, Attempt: 1}} }

// TestEndOfEarlierIncarnation: that a life has ended says nothing about a run on the next one, nor does an id
// alone, which an earlier build wrote of a life that it could not tell from others.
func TestEndOfEarlierIncarnation(t *testing.T) {
	endedRecord := func(born int64) *job.AgentRecord {
		return &job.AgentRecord{Name: "side-1", Address: agentAddress, Over: []*job.Incarnation{{Id: workerID, Born: born}}}
	}
	endedByID := &job.AgentRecord{Name: "side-1", Address: agentAddress, Ended: []string{workerID}}
	tests := map[string]struct {
		born   []int64 // of the life that the run is on
		ended  *job.AgentRecord
		goesOn bool
	}{
		"the life before":                      {[]int64{secondBorn}, endedRecord(firstBorn), true},
		"its own life":                         {[]int64{secondBorn}, endedRecord(secondBorn), false},
		"an id alone":                          {[]int64{secondBorn}, endedByID, true},
		"an id alone, and the run has no more": {nil, endedByID, false},
		"a life, and the run has an id alone":  {nil, endedRecord(firstBorn), true},
	}
	for name, test := range tests {
		for order, before := range map[string]bool{", read before the shard": true, ", read after it": false} {
			t.Run(name+order, func(t *testing.T) {
				h := newHarness(t)
				read := func() {
					h.owner.applyAgentRecords(platform.Tail{Records: []platform.Record{newRecord(t, "side-1", test.ended)}}, h.clock.Now())
				}
				if before {
					read()
				}
				j := h.restoreRun(test.born...)
				if !before {
					read()
				}
				if firstRunActive(j) != test.goesOn {
					t.Errorf("goes on: %v", firstRunActive(j))
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
		"the next life lacks it":                {[]int64{firstBorn}, secondBorn, nil, false},
		"the next life lists it":                {[]int64{firstBorn}, secondBorn, firstRunListed(), true},
		"its own life lists it":                 {[]int64{secondBorn}, secondBorn, firstRunListed(), true},
		"the record has the id alone":           {nil, secondBorn, firstRunListed(), true},
		"the worker says its id alone":          {[]int64{firstBorn}, 0, firstRunListed(), true},
		"the id alone, and the worker lacks it": {nil, secondBorn, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.restoreRun(test.born...)
			h.attach()
			for range 2 {
				h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(test.status), Complete: true, Runs: test.runs})
				h.step()
				h.takeSent()
			}
			if firstRunActive(j) != test.goesOn {
				t.Errorf("goes on: %v", firstRunActive(j))
			}
		})
	}
}

// TestOrdersNameIncarnation: a start, its end and the word that the end is in the store name the life that they are
// about, and so does the record of the start.
func TestOrdersNameIncarnation(t *testing.T) {
	h := newHarness(t)
	j := h.submit()
	h.attach()
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(secondBorn)})
	h.step()
	h.awaitWrites()
	h.step()
	orders := startOrders(h.takeSent())
	if len(orders) != 1 || orders[0].GetBorn() != secondBorn {
		t.Fatalf("ordered %v", orders)
	}
	if progress := j.Progress(); len(progress.GetBorn()) != 1 || progress.GetBorn()[0] != secondBorn {
		t.Errorf("kept %v", progress)
	}
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(secondBorn), Ends: []*wire.RunEnd{
		{Worker: workerID, Born: secondBorn, Number: 7, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE},
	}})
	h.step()
	h.awaitWrites()
	h.step()
	var acknowledged []*wire.EndSeen
	for _, message := range h.takeSent() {
		acknowledged = append(acknowledged, message.GetSeen()...)
	}
	if len(acknowledged) != 1 || acknowledged[0].GetBorn() != secondBorn || acknowledged[0].GetNumber() != 7 {
		t.Errorf("told of ends in the store: %v", acknowledged)
	}
}

// TestWorkerRestartsBeforeStartOrder: a run that was placed on one life is not ordered of the next one.
func TestWorkerRestartsBeforeStartOrder(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attach()
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(firstBorn)})
	h.step()
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(secondBorn)})
	h.awaitWrites()
	h.owner.sendUpdate(h.agent, h.clock.Now())
	for _, order := range startOrders(h.takeSent()) {
		if order.GetBorn() != secondBorn {
			t.Errorf("ordered %v of another life", order)
		}
	}
}

// TestProbationEndsWithIncarnation: what failed on one life of a worker says nothing of the next one.
func TestProbationEndsWithIncarnation(t *testing.T) {
	h := newHarness(t)
	h.attach()
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(firstBorn)})
	h.agent.consecutiveFailures, h.agent.avoidUntil = failuresBeforeProbation, h.clock.Now().Add(time.Minute)
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(secondBorn)})
	if h.agent.consecutiveFailures != 0 || !h.agent.avoidUntil.IsZero() {
		t.Errorf("%d failures, avoided until %v", h.agent.consecutiveFailures, h.agent.avoidUntil)
	}
}

// TestTicketIsPerIncarnation: the next life of a worker is asked about anew.
func TestTicketIsPerIncarnation(t *testing.T) {
	h := newHarness(t)
	j := h.submitWith(func(submission *job.Submission) { submission.Advice = &job.Advice{ValidMs: 60_000} })
	h.attach()
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(firstBorn)})
	task, now := j.Tasks()[0], h.clock.Now()
	advice := &stepAdvice{timing: j.Submission().GetAdvice(), service: "verbale"}
	name := stepName(task)
	h.owner.advice.steps[name] = advice
	queried := h.owner.workersToQuery(advice)
	if len(queried) != 1 {
		t.Fatalf("asks about %v", queried)
	}
	h.owner.handleAdvice(name, advice, queried, platform.Advice{Tickets: map[string]string{workerID: "t-1"}, Valid: time.Minute}, nil, now)
	if worker := h.owner.bestWorker(task, h.owner.candidates(h.owner.agentViews(), now), now); worker == nil {
		t.Fatal("no place with a ticket")
	}
	h.receive(&wire.AgentMessage{Status: emptyWorkerBorn(secondBorn)})
	if worker := h.owner.bestWorker(task, h.owner.candidates(h.owner.agentViews(), now), now); worker != nil {
		t.Error("the ticket of the life before is used")
	}
	if again := h.owner.workersToQuery(advice); len(again) != 1 {
		t.Errorf("asks about %v", again)
	}
}

// TestInheritedRunOnUnresponsiveWorker: a run that an owner before had put into the store and never ordered is known to no
// agent. It is over once the agent can account for all that runs, though its worker is silent for good or
// none has come: it would wait for an end that nobody will tell.
func TestInheritedRunOnUnresponsiveWorker(t *testing.T) {
	unready := emptyWorkerBorn(firstBorn)
	unready.Ready = false
	accounted := emptyWorkerBorn(firstBorn)
	accounted.Ready, accounted.Accounted = false, true
	tests := map[string]struct {
		status *wire.WorkerStatus
		runs   []*wire.RunStatus
		goesOn bool
	}{
		"the agent can't account for it":         {unready, nil, true},
		"the agent lists it":                     {accounted, firstRunListed(), true},
		"the agent accounts for all, without":    {accounted, nil, false},
		"no worker, and the lease may go on":     {&wire.WorkerStatus{}, nil, true},
		"no worker, and every lease is over":     {&wire.WorkerStatus{Accounted: true}, nil, false},
		"another worker, which has not answered": {&wire.WorkerStatus{Worker: "i-9", Accounted: true}, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.restoreRun(firstBorn)
			h.attach()
			h.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if !firstRunActive(j) {
				t.Fatal("released before the agent had heard of the claim")
			}
			h.step()
			h.takeSent()
			h.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if firstRunActive(j) != test.goesOn {
				t.Errorf("goes on: %v", firstRunActive(j))
			}
		})
	}
}
