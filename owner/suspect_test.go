package owner

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestSuspectsArePlacedApart: if a worker has crashed under two tasks of a step, they are not started on
// one worker at the same time: the second waits until the first has survived its start. A task of the
// same step that is not a suspect is placed at once.
func TestSuspectsArePlacedApart(t *testing.T) {
	h := newHarness(t)
	j := h.submitWith(func(submission *job.Submission) { submission.Steps[0].Count = 3 })
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{
		{Worker: workerID, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_CRASHED},
		{Worker: workerID, Task: jobID + ".0.0.1", Attempt: 1, Reason: wire.EndReason_END_CRASHED},
		{Worker: workerID, Task: jobID + ".0.0.2", Attempt: 1, Reason: wire.EndReason_END_LOST},
	}})
	advance := func(length time.Duration) (suspects, others int) {
		h.clock.Advance(length)
		h.owner.lastJoinAt = h.clock.Now()
		h.receive(&wire.AgentMessage{})
		for _, order := range startOrders(h.actAndTakeSent()) {
			if order.GetSuspect() {
				suspects++
				continue
			}
			others++
		}
		return suspects, others
	}
	if suspects, others := advance(100 * time.Millisecond); suspects != 1 || others != 1 {
		t.Errorf("%d suspects and %d other tasks were started at first", suspects, others)
	}
	if suspects, _ := advance(100 * time.Millisecond); suspects != 0 {
		t.Errorf("%d suspects were started soon after", suspects)
	}
	if suspects, _ := advance(suspectSpacing); suspects != 1 {
		t.Errorf("%d suspects were started later", suspects)
	}
	if j.HasEnded() {
		t.Errorf("the job is %v", j.State())
	}
}

// TestRefusedSuspectBlocksOnlySuspects: a worker whose agent refuses a suspect still accepts other tasks.
func TestRefusedSuspectBlocksOnlySuspects(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Results: []*wire.StartResult{
		{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_SUSPECT},
	}})
	now := h.clock.Now()
	if now.Before(h.agent.avoidUntil) {
		t.Error("the worker is avoided")
	}
	if !now.Before(h.agent.noSuspectsUntil) {
		t.Error("another suspect may be started")
	}
}

// TestSuspectGoesToAnotherMachine: a task is not placed again on the machine where a worker crashed under
// it if there is another one. A worker that crashes by itself is the emptiest one after each restart,
// and would otherwise get the task each time.
func TestSuspectGoesToAnotherMachine(t *testing.T) {
	h := newHarness(t)
	task := h.submit().Tasks()[0]
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_CRASHED}}})
	other := newAgentView("10.0.0.2:7001")
	other.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{Worker: "i-2", Service: "verbale", Ready: true, FreeMilliCpu: 1000, FreeMemoryMb: 4000}})
	if !isBetter(task, newCandidate(other), newCandidate(h.agent)) {
		t.Error("the task is placed on the machine where the worker crashed")
	}
}

// TestRepeatCrasherGoesToLeastLoadedWorker: a task with two crashes is placed on the worker with the most
// free resources, a task with one crash on the worker that is best for it.
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
			h := newHarness(t)
			j := h.submitWith(func(submission *job.Submission) { submission.Steps[0].Affinity = "r-1" })
			task := j.Tasks()[0]
			for attempt := int32(1); attempt <= test.crashes; attempt++ {
				j.StartRun(task, job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, h.clock.Now())
				j.EndRun(task, attempt, job.EndCrashed, "", h.clock.Now())
			}
			worker := func(number int, free int64, rack string) *candidate {
				view := newAgentView(fmt.Sprint("10.0.0.", number))
				view.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{
					Worker: fmt.Sprint("i-", number), Service: "verbale", Ready: true, Labels: []string{"a", rack}, FreeMilliCpu: free, FreeMemoryMb: 4000,
				}})
				return newCandidate(view)
			}
			if got := isBetter(task, worker(2, 4000, "r-2"), worker(1, 2000, "r-1")); got != test.want {
				t.Errorf("the emptier worker is better: %v", got)
			}
		})
	}
}

// TestReturnedWorkerDoesNotTakeSuspectBack guards against a job that fails since its task is placed again and again on a
// worker that crashes by itself: a pass that was caused by its return considers no other worker.
func TestReturnedWorkerDoesNotTakeSuspectBack(t *testing.T) {
	h := newHarness(t)
	task := h.submit().Tasks()[0]
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_CRASHED}}})
	other := h.attachOther(2, 1000)
	h.clock.Advance(time.Second)
	now := h.clock.Now()
	h.owner.placementChanges.take(now)

	returned := newCandidate(h.agent)
	h.owner.placeTask(task, candidateSet{workers: []*candidate{returned}}, now)
	if task.State() != job.TaskState_TASK_WAITING || !h.owner.placementChanges.isDue(now) {
		t.Fatalf("the task is %v at %s, and another pass is due: %v", task.State(), task.Place().AgentAddress, h.owner.placementChanges.isDue(now))
	}
	h.owner.placeTask(task, candidateSet{workers: []*candidate{returned, newCandidate(other)}, complete: true}, now)
	if !task.IsStartedAt(other.address) {
		t.Errorf("the task is %v at %s, although there is another worker", task.State(), task.Place().AgentAddress)
	}
}

// TestPassOverManySuspectsEnds guards against a pass that never ends, so that no task of any job is placed any more: more
// tasks than fit a turn were lost with a worker that has come back, and none of them may go there first.
func TestPassOverManySuspectsEnds(t *testing.T) {
	const tasks = 2000
	h := newHarness(t)
	j := h.submitWith(func(submission *job.Submission) { submission.Steps[0].Count, submission.Steps[0].MilliCpu = tasks, 1 })
	h.attach()
	now := h.clock.Now()
	for _, task := range j.Tasks() {
		j.StartRun(task, job.Place{Incarnation: incarnation.New("i-0", 0), AgentAddress: agentAddress}, now)
		j.EndRun(task, 1, job.EndCrashed, "", now)
	}
	h.clock.Advance(time.Second)
	now = h.clock.Now()
	changes := newPlacementChanges()
	changes.addWorker(h.agent)
	h.owner.pass = h.owner.newPlacementPass(changes, now)
	for range tasks {
		if h.owner.pass != nil {
			h.owner.continuePass(now)
		}
	}
	if h.owner.pass != nil {
		t.Error("the pass does not end")
	}
}
