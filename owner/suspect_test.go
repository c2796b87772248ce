package owner

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestSuspectsArePlacedApart: of two tasks of one step under which a worker crashed, one waits
// until the other has outlived its start there. What is not suspected is placed at once,
// though it is of the same step.
func TestSuspectsArePlacedApart(t *testing.T) {
	made := newHarness(t)
	of := made.submitWith(func(handed *job.Submission) { handed.Steps[0].Count = 3 })
	made.attachAndStart()
	made.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{
		{Worker: workerID, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_CRASHED},
		{Worker: workerID, Task: jobID + ".0.0.1", Attempt: 1, Reason: wire.EndReason_END_CRASHED},
		{Worker: workerID, Task: jobID + ".0.0.2", Attempt: 1, Reason: wire.EndReason_END_LOST},
	}})
	pass := func(length time.Duration) (suspects, others int) {
		made.clock.Advance(length)
		made.owner.lastJoinAt = made.clock.Now()
		made.receive(&wire.AgentMessage{})
		made.step()
		made.awaitWrites()
		made.step()
		for _, order := range startOrders(made.takeSent()) {
			if order.GetSuspect() {
				suspects++
				continue
			}
			others++
		}
		return suspects, others
	}
	if suspects, others := pass(100 * time.Millisecond); suspects != 1 || others != 1 {
		t.Errorf("at first %d suspects and %d others", suspects, others)
	}
	if suspects, _ := pass(100 * time.Millisecond); suspects != 0 {
		t.Errorf("%d suspects soon after", suspects)
	}
	if suspects, _ := pass(suspectSpacing); suspects != 1 {
		t.Errorf("%d suspects later", suspects)
	}
	if of.HasEnded() {
		t.Errorf("the job is %v", of.State())
	}
}

// TestRefusedSuspectBlocksOnlySuspects: an agent that refuses a suspect takes anything else.
func TestRefusedSuspectBlocksOnlySuspects(t *testing.T) {
	made := newHarness(t)
	made.submit()
	made.attachAndStart()
	made.receive(&wire.AgentMessage{Results: []*wire.StartResult{
		{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_SUSPECT},
	}})
	now := made.clock.Now()
	if now.Before(made.agent.avoidUntil) {
		t.Error("the worker is avoided")
	}
	if !now.Before(made.agent.noSuspectsUntil) {
		t.Error("other suspects are not kept away")
	}
}

// TestSuspectGoesToAnotherMachine: what met a crash is not started again where it did while
// there is another place: a worker that goes down by itself is the emptiest each time.
func TestSuspectGoesToAnotherMachine(t *testing.T) {
	made := newHarness(t)
	task := made.submit().Tasks()[0]
	made.attachAndStart()
	made.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_CRASHED}}})
	other := newAgentView("10.0.0.2:7001")
	other.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{Worker: "i-2", Service: "verbale", Ready: true, FreeMilliCpu: 1000, FreeMemoryMb: 4000}})
	if !isBetter(task, newCandidate(other), newCandidate(made.agent)) {
		t.Error("it goes where it met the crash")
	}
}

// TestRepeatCrasherGoesToLeastLoadedWorker: a task that has brought two workers down goes where the
// most is free, one that has met one crash where it does best.
func TestRepeatCrasherGoesToLeastLoadedWorker(t *testing.T) {
	tests := map[string]struct {
		crashes int32
		want    bool // the emptier worker is better
	}{
		"one crash":   {1, false},
		"two crashes": {2, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.submitWith(func(handed *job.Submission) { handed.Steps[0].Affinity = "r-1" })
			task := of.Tasks()[0]
			for attempt := int32(1); attempt <= test.crashes; attempt++ {
				of.StartRun(task, job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, made.clock.Now())
				of.EndRun(task, attempt, job.EndCrashed, "", made.clock.Now())
			}
			worker := func(number int, free int64, rack string) *candidate {
				view := newAgentView(fmt.Sprint("10.0.0.", number))
				view.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{
					Worker: fmt.Sprint("i-", number), Service: "verbale", Ready: true, Labels: []string{"a", rack}, FreeMilliCpu: free, FreeMemoryMb: 4000,
				}})
				return newCandidate(view)
			}
			if got := isBetter(task, worker(2, 4000, "r-2"), worker(1, 2000, "r-1")); got != test.want {
				t.Errorf("the emptier one is better: %v", got)
			}
		})
	}
}
