package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// The tests in this file guard against treating a worker ID as one incarnation: a worker may restart under
// the same ID. The owner once took the end of one incarnation for that of the next, and released the runs
// of the next while they continued. The agent's tests cover the agent's part of this failure.

// Start times, in ms, of the two incarnations of a worker in these tests.
const (
	firstStartedMs  = int64(1_790_000_000_000)
	secondStartedMs = firstStartedMs + 60_000
)

// idleWorkerStartedAt returns the status of a ready worker without runs that started at a time in ms.
func idleWorkerStartedAt(startedMs int64) *wire.WorkerStatus {
	status := idleWorkerStatus()
	status.Born = startedMs
	return status
}

// restoreRun loads the job with a run on an incarnation of a worker, as an earlier owner stored it, and
// returns the job. Without a start time, the record has the worker's ID alone.
func (h *harness) restoreRun(startedMs ...int64) *job.Job {
	h.t.Helper()
	j := h.submit()
	h.owner.applyProgress(h.shard, newRecord(h.t, jobID, &job.Progress{
		Id: jobID, State: job.State_STATE_RUNNING, Workers: []string{workerID}, Agents: []string{agentAddress}, Born: startedMs,
		Tasks: []*job.TaskProgress{{Attempt: 1, State: job.TaskState_TASK_STARTED, Worker: 1}},
	}), h.clock.Now())
	h.owner.adoptRuns(h.shard, h.clock.Now())
	return j
}

// firstRunActive reports whether the owner considers the first run of the job's task to be still running.
func firstRunActive(j *job.Job) bool {
	task := j.Tasks()[0]
	return task.State() == job.TaskState_TASK_STARTED && task.Attempt() == 1
}

// firstRunListed returns what an agent lists while the first run of the task is running.
func firstRunListed() []*wire.RunStatus {
	return []*wire.RunStatus{{Task: firstTask, Attempt: 1, Begun: true}}
}

// TestEndOfEarlierIncarnation: the end of one incarnation must not release a run on the next one. Neither
// must an ended worker ID without a start time, as written by earlier versions that could not tell
// incarnations apart.
func TestEndOfEarlierIncarnation(t *testing.T) {
	endedRecord := func(startedMs int64) *job.AgentRecord {
		return &job.AgentRecord{Name: "side-1", Address: agentAddress, Over: []*job.Incarnation{{Id: workerID, Born: startedMs}}}
	}
	endedByID := &job.AgentRecord{Name: "side-1", Address: agentAddress, Ended: []string{workerID}}
	tests := map[string]struct {
		startedMs []int64 // start time of the incarnation that has the run
		ended     *job.AgentRecord
		active    bool
	}{
		"previous incarnation ended":                {[]int64{secondStartedMs}, endedRecord(firstStartedMs), true},
		"own incarnation ended":                     {[]int64{secondStartedMs}, endedRecord(secondStartedMs), false},
		"ID without start time ended":               {[]int64{secondStartedMs}, endedByID, true},
		"run and ended ID both without start time":  {nil, endedByID, false},
		"incarnation ended, run without start time": {nil, endedRecord(firstStartedMs), true},
	}
	for name, test := range tests {
		for order, before := range map[string]bool{", record read before the shard": true, ", record read after the shard": false} {
			t.Run(name+order, func(t *testing.T) {
				h := newHarness(t)
				read := func() {
					h.owner.applyAgentRecords(platform.ReadResult{Records: []platform.Record{newRecord(t, "side-1", test.ended)}}, h.clock.Now())
				}
				if before {
					read()
				}
				j := h.restoreRun(test.startedMs...)
				if !before {
					read()
				}
				if firstRunActive(j) != test.active {
					t.Errorf("run considered active: %v", firstRunActive(j))
				}
			})
		}
	}
}

// TestRunOnAnotherIncarnation: a listed run continues, whichever incarnation its record names. A run is
// over if another incarnation of its worker does not list it, or if its record names no incarnation and it
// is not listed.
func TestRunOnAnotherIncarnation(t *testing.T) {
	tests := map[string]struct {
		startedMs []int64
		status    int64
		runs      []*wire.RunStatus
		active    bool
	}{
		"next incarnation does not list it":               {[]int64{firstStartedMs}, secondStartedMs, nil, false},
		"next incarnation lists it":                       {[]int64{firstStartedMs}, secondStartedMs, firstRunListed(), true},
		"own incarnation lists it":                        {[]int64{secondStartedMs}, secondStartedMs, firstRunListed(), true},
		"record without start time, worker lists it":      {nil, secondStartedMs, firstRunListed(), true},
		"worker reports no start time":                    {[]int64{firstStartedMs}, 0, firstRunListed(), true},
		"record without start time, worker lacks the run": {nil, secondStartedMs, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.restoreRun(test.startedMs...)
			h.attach()
			for range 2 {
				h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(test.status), Complete: true, Runs: test.runs})
				h.tick()
				h.takeSent()
			}
			if firstRunActive(j) != test.active {
				t.Errorf("run considered active: %v", firstRunActive(j))
			}
		})
	}
}

// TestOrdersNameIncarnation: start orders, acknowledgments of ends and stored starts name the incarnation
// that they are about.
func TestOrdersNameIncarnation(t *testing.T) {
	h := newHarness(t)
	j := h.submit()
	h.attach()
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	orders := startOrders(h.actAndTakeSent())
	if len(orders) != 1 || orders[0].GetBorn() != secondStartedMs {
		t.Fatalf("start orders: %v", orders)
	}
	if progress := j.Progress(); len(progress.GetBorn()) != 1 || progress.GetBorn()[0] != secondStartedMs {
		t.Errorf("stored progress: %v", progress)
	}
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs), Ends: []*wire.RunEnd{
		{Worker: workerID, Born: secondStartedMs, Number: 7, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE},
	}})
	var acknowledged []*wire.EndSeen
	for _, message := range h.actAndTakeSent() {
		acknowledged = append(acknowledged, message.GetSeen()...)
	}
	if len(acknowledged) != 1 || acknowledged[0].GetBorn() != secondStartedMs || acknowledged[0].GetNumber() != 7 {
		t.Errorf("acknowledged ends: %v", acknowledged)
	}
}

// TestWorkerRestartsBeforeStartOrder: a run that was placed on one incarnation is not ordered from the next
// one.
func TestWorkerRestartsBeforeStartOrder(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attach()
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(firstStartedMs)})
	h.tick()
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	h.awaitWrites()
	h.owner.sendUpdate(h.agent, h.clock.Now())
	for _, order := range startOrders(h.takeSent()) {
		if order.GetBorn() != secondStartedMs {
			t.Errorf("start order for the previous incarnation: %v", order)
		}
	}
}

// TestProbationEndsWithIncarnation: failures on one incarnation of a worker don't count against the next one.
func TestProbationEndsWithIncarnation(t *testing.T) {
	h := newHarness(t)
	h.attach()
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(firstStartedMs)})
	h.agent.consecutiveFailures, h.agent.avoidUntil = failuresBeforeProbation, h.clock.Now().Add(time.Minute)
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	if h.agent.consecutiveFailures != 0 || !h.agent.avoidUntil.IsZero() {
		t.Errorf("%d failures, avoided until %v", h.agent.consecutiveFailures, h.agent.avoidUntil)
	}
}

// TestTicketIsPerIncarnation: a ticket is not used for the worker's next incarnation, which is queried again.
func TestTicketIsPerIncarnation(t *testing.T) {
	h := newHarness(t)
	j := h.submitWith(func(submission *job.Submission) { submission.Advice = &job.Advice{ValidMs: 60_000} })
	h.attach()
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(firstStartedMs)})
	task, now := j.Tasks()[0], h.clock.Now()
	advice := &stepAdvice{timing: j.Submission().GetAdvice(), service: "verbale"}
	name := stepName(task)
	h.owner.advice.steps[name] = advice
	queried := h.owner.workersToQuery(advice)
	if len(queried) != 1 {
		t.Fatalf("workers to query: %v, want 1", queried)
	}
	h.owner.handleAdvice(name, advice, queried, platform.Advice{Tickets: map[string]string{workerID: "t-1"}, ValidFor: time.Minute}, nil, now)
	if worker := h.owner.bestWorker(task, h.owner.candidates(h.owner.agentViews(), now), now); worker == nil {
		t.Fatal("no worker found although there is a ticket")
	}
	h.receive(&wire.AgentMessage{Status: idleWorkerStartedAt(secondStartedMs)})
	if worker := h.owner.bestWorker(task, h.owner.candidates(h.owner.agentViews(), now), now); worker != nil {
		t.Error("the ticket of the previous incarnation was used")
	}
	if again := h.owner.workersToQuery(advice); len(again) != 1 {
		t.Errorf("workers to query: %v, want 1", again)
	}
}

// TestInheritedRunOnUnresponsiveWorker: an earlier owner may have stored a start that it never ordered, so
// no agent knows the run. The run must be released once the agent knows all runs, even if its worker never
// answers again or there is no worker. Otherwise the task would wait for an end that nobody reports.
func TestInheritedRunOnUnresponsiveWorker(t *testing.T) {
	unready := idleWorkerStartedAt(firstStartedMs)
	unready.Ready = false
	accounted := idleWorkerStartedAt(firstStartedMs)
	accounted.Ready, accounted.Accounted = false, true
	tests := map[string]struct {
		status *wire.WorkerStatus
		runs   []*wire.RunStatus
		active bool
	}{
		"agent does not know all runs":          {unready, nil, true},
		"agent lists the run":                   {accounted, firstRunListed(), true},
		"agent knows all runs, without this":    {accounted, nil, false},
		"no worker, lease may not have expired": {&wire.WorkerStatus{}, nil, true},
		"no worker, all leases have expired":    {&wire.WorkerStatus{Accounted: true}, nil, false},
		"another worker that has not answered":  {&wire.WorkerStatus{Worker: "i-9", Accounted: true}, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.restoreRun(firstStartedMs)
			h.attach()
			h.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if !firstRunActive(j) {
				t.Fatal("released before the agent had received the claim of the shard")
			}
			h.tick()
			h.takeSent()
			h.receive(&wire.AgentMessage{Status: test.status, Complete: true, Runs: test.runs})
			if firstRunActive(j) != test.active {
				t.Errorf("run considered active: %v", firstRunActive(j))
			}
		})
	}
}

// TestDelayedStateOfPreviousWorkerReleasesRun guards against taking a worker that an agent had before a run was started
// for the next one: a message may arrive long after it was sent.
func TestDelayedStateOfPreviousWorkerReleasesRun(t *testing.T) {
	for name, startedMs := range map[string][]int64{"workers report start times": {firstStartedMs}, "workers report none": nil} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.restoreRun(startedMs...)
			h.attach()
			other := idleWorkerStatus()
			other.Worker = "i-9"
			h.receive(&wire.AgentMessage{Status: other, Complete: true})
			if !firstRunActive(j) {
				t.Error("released by a message that the agent may have sent before the run was started")
			}
			h.tick()
			h.takeSent()
			h.receive(&wire.AgentMessage{Status: other, Complete: true})
			if firstRunActive(j) {
				t.Error("not released although the agent has had another worker since it received the claim of the shard")
			}
		})
	}
}
