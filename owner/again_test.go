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
	bornFirst  = int64(1_790_000_000_000)
	bornSecond = bornFirst + 60_000
)

// bornWorker is the status of a ready worker on which nothing runs.
func bornWorker(born int64) *wire.WorkerStatus {
	status := idleWorkerStatus()
	status.Born = born
	return status
}

// kept is a run of the job on a life of a worker, as an owner before left it in the store.
func (made *harness) kept(born ...int64) *job.Job {
	made.t.Helper()
	of := made.submit()
	made.owner.noteProgress(made.shard, newRecord(made.t, jobID, &job.Progress{
		Id: jobID, State: job.State_STATE_RUNNING, Workers: []string{workerID}, Agents: []string{agentAddress}, Born: born,
		Tasks: []*job.TaskProgress{{Attempt: 1, State: job.TaskState_TASK_STARTED, Worker: 1}},
	}), made.clock.Now())
	made.owner.adoptRuns(made.shard, made.clock.Now())
	return of
}

// goesOn reports whether the task's first run is taken to go on.
func goesOn(of *job.Job) bool {
	task := of.Tasks()[0]
	return task.State() == job.TaskState_TASK_STARTED && task.Attempt() == 1
}

// listed is what an agent says of the first run of the task.
func listed() []*wire.RunStatus { return []*wire.RunStatus{{Task: firstTask, Attempt: 1}} }

// TestEndOfAnEarlierLife: that a life has ended says nothing about a run on the next one, nor does an id
// alone, which an earlier build wrote of a life that it could not tell from others.
func TestEndOfAnEarlierLife(t *testing.T) {
	over := func(born int64) *job.AgentRecord {
		return &job.AgentRecord{Name: "side-1", Address: agentAddress, Over: []*job.Incarnation{{Id: workerID, Born: born}}}
	}
	byID := &job.AgentRecord{Name: "side-1", Address: agentAddress, Ended: []string{workerID}}
	tests := map[string]struct {
		born   []int64 // of the life that the run is on
		ended  *job.AgentRecord
		goesOn bool
	}{
		"the life before":                      {[]int64{bornSecond}, over(bornFirst), true},
		"its own life":                         {[]int64{bornSecond}, over(bornSecond), false},
		"an id alone":                          {[]int64{bornSecond}, byID, true},
		"an id alone, and the run has no more": {nil, byID, false},
		"a life, and the run has an id alone":  {nil, over(bornFirst), true},
	}
	for name, test := range tests {
		for when, before := range map[string]bool{", read before the shard": true, ", read after it": false} {
			t.Run(name+when, func(t *testing.T) {
				made := newHarness(t)
				read := func() {
					made.owner.noteAgents(platform.Tail{Records: []platform.Record{newRecord(t, "side-1", test.ended)}}, made.clock.Now())
				}
				if before {
					read()
				}
				of := made.kept(test.born...)
				if !before {
					read()
				}
				if goesOn(of) != test.goesOn {
					t.Errorf("goes on: %v", goesOn(of))
				}
			})
		}
	}
}

// TestRunOnAnotherLifeThanItsPlace: a run that is listed goes on, wherever its record has it; one that another
// life of its worker lacks is over, and one whose life its record doesn't name is over where it is lacked.
func TestRunOnAnotherLifeThanItsPlace(t *testing.T) {
	tests := map[string]struct {
		born   []int64
		status int64
		runs   []*wire.RunStatus
		goesOn bool
	}{
		"the next life lacks it":                {[]int64{bornFirst}, bornSecond, nil, false},
		"the next life lists it":                {[]int64{bornFirst}, bornSecond, listed(), true},
		"its own life lists it":                 {[]int64{bornSecond}, bornSecond, listed(), true},
		"the record has the id alone":           {nil, bornSecond, listed(), true},
		"the worker says its id alone":          {[]int64{bornFirst}, 0, listed(), true},
		"the id alone, and the worker lacks it": {nil, bornSecond, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.kept(test.born...)
			made.attach()
			for range 2 {
				made.receive(&wire.AgentMessage{Status: bornWorker(test.status), Complete: true, Runs: test.runs})
				made.step()
				made.takeSent()
			}
			if goesOn(of) != test.goesOn {
				t.Errorf("goes on: %v", goesOn(of))
			}
		})
	}
}

// TestOrdersNameTheLife: a start, its end and the word that the end is in the store name the life that they are
// about, and so does the record of the start.
func TestOrdersNameTheLife(t *testing.T) {
	made := newHarness(t)
	of := made.submit()
	made.attach()
	made.receive(&wire.AgentMessage{Status: bornWorker(bornSecond)})
	made.step()
	made.awaitWrites()
	made.step()
	orders := startOrders(made.takeSent())
	if len(orders) != 1 || orders[0].GetBorn() != bornSecond {
		t.Fatalf("ordered %v", orders)
	}
	if kept := of.Progress(); len(kept.GetBorn()) != 1 || kept.GetBorn()[0] != bornSecond {
		t.Errorf("kept %v", kept)
	}
	made.receive(&wire.AgentMessage{Status: bornWorker(bornSecond), Ends: []*wire.RunEnd{
		{Worker: workerID, Born: bornSecond, Number: 7, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE},
	}})
	made.step()
	made.awaitWrites()
	made.step()
	var seen []*wire.EndSeen
	for _, message := range made.takeSent() {
		seen = append(seen, message.GetSeen()...)
	}
	if len(seen) != 1 || seen[0].GetBorn() != bornSecond || seen[0].GetNumber() != 7 {
		t.Errorf("told of ends in the store: %v", seen)
	}
}

// TestPlaceThatStartsAgainBeforeTheOrder: a run that was placed on one life is not ordered of the next one.
func TestPlaceThatStartsAgainBeforeTheOrder(t *testing.T) {
	made := newHarness(t)
	made.submit()
	made.attach()
	made.receive(&wire.AgentMessage{Status: bornWorker(bornFirst)})
	made.step()
	made.receive(&wire.AgentMessage{Status: bornWorker(bornSecond)})
	made.awaitWrites()
	made.owner.tell(made.agent, made.clock.Now())
	for _, order := range startOrders(made.takeSent()) {
		if order.GetBorn() != bornSecond {
			t.Errorf("ordered %v of another life", order)
		}
	}
}

// TestDoubtEndsWithTheLife: what failed on one life of a worker says nothing of the next one.
func TestDoubtEndsWithTheLife(t *testing.T) {
	made := newHarness(t)
	made.attach()
	made.receive(&wire.AgentMessage{Status: bornWorker(bornFirst)})
	made.agent.failures, made.agent.avoidUntil = failuresBeforeDoubt, made.clock.Now().Add(time.Minute)
	made.receive(&wire.AgentMessage{Status: bornWorker(bornSecond)})
	if made.agent.failures != 0 || !made.agent.avoidUntil.IsZero() {
		t.Errorf("%d failures, avoided until %v", made.agent.failures, made.agent.avoidUntil)
	}
}

// TestTicketHoldsForOneLife: the next life of a worker is asked about anew.
func TestTicketHoldsForOneLife(t *testing.T) {
	made := newHarness(t)
	of := made.submitWith(func(handed *job.Submission) { handed.Advice = &job.Advice{ValidMs: 60_000} })
	made.attach()
	made.receive(&wire.AgentMessage{Status: bornWorker(bornFirst)})
	task, now := of.Tasks()[0], made.clock.Now()
	known := &stepAdvice{timing: of.Submission().GetAdvice(), service: "verbale"}
	name := stepName(task)
	made.owner.advised.steps[name] = known
	asked := made.owner.workersToQuery(known)
	if len(asked) != 1 {
		t.Fatalf("asks about %v", asked)
	}
	made.owner.handleAdvice(name, known, asked, platform.Advice{Tickets: map[string]string{workerID: "t-1"}, Valid: time.Minute}, nil, now)
	if best := made.owner.bestWorker(task, made.owner.candidates(made.owner.agentViews(), now), now); best == nil {
		t.Fatal("no place with a ticket")
	}
	made.receive(&wire.AgentMessage{Status: bornWorker(bornSecond)})
	if best := made.owner.bestWorker(task, made.owner.candidates(made.owner.agentViews(), now), now); best != nil {
		t.Error("the ticket of the life before is used")
	}
	if again := made.owner.workersToQuery(known); len(again) != 1 {
		t.Errorf("asks about %v", again)
	}
}

// TestInheritedRunOnASilentWorker: a run that an owner before had put into the store and never ordered is known to no
// agent. It is over once the agent can account for all that runs, though its worker is silent for good or
// none has come: it would wait for an end that nobody will tell.
func TestInheritedRunOnASilentWorker(t *testing.T) {
	silent := bornWorker(bornFirst)
	silent.Ready = false
	accounted := bornWorker(bornFirst)
	accounted.Ready, accounted.Accounted = false, true
	tests := map[string]struct {
		status *wire.WorkerStatus
		runs   []*wire.RunStatus
		goesOn bool
	}{
		"the agent can't account for it":         {silent, nil, true},
		"the agent lists it":                     {accounted, listed(), true},
		"the agent accounts for all, without":    {accounted, nil, false},
		"no worker, and the lease may go on":     {&wire.WorkerStatus{}, nil, true},
		"no worker, and every lease is over":     {&wire.WorkerStatus{Accounted: true}, nil, false},
		"another worker, which has not answered": {&wire.WorkerStatus{Worker: "i-9", Accounted: true}, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.kept(bornFirst)
			made.attach()
			made.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if !goesOn(of) {
				t.Fatal("released before the agent had heard of the claim")
			}
			made.step()
			made.takeSent()
			made.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if goesOn(of) != test.goesOn {
				t.Errorf("goes on: %v", goesOn(of))
			}
		})
	}
}
