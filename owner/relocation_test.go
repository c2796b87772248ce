package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/relocation"
	"ambertiller.example/ambertiller/wire"
)

const (
	otherAddress = "10.0.0.2:7001"
	secondTask   = jobID + ".0.0.1"
)

// moveHarness is a harness with two slowed fill runs on its agent's worker, and with a second worker. firstTask is
// the task of one of them.
type moveHarness struct {
	*harness
	job         *job.Job
	destination *agentView
	// sourceTolerance is what the serving tasks on the first worker tolerate.
	sourceTolerance int64
}

func newMoveHarness(t *testing.T, features ...string) *moveHarness {
	h := &moveHarness{harness: newHarness(t), sourceTolerance: -100}
	h.enable(features...)
	h.job = h.submitWith(func(submission *job.Submission) {
		step := submission.Steps[0]
		step.Fills, step.Image, step.Checkpointing, step.EstimateMs, step.Count = true, "f", true, 20000, 2
	})
	h.attach()
	tolerant := idleWorkerStatus()
	tolerant.ToleratedMilliCpu = 4000
	h.receive(&wire.AgentMessage{Status: tolerant})
	h.actAndTakeSent()
	h.receive(&wire.AgentMessage{Results: []*wire.StartResult{{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_STARTED}}})
	h.destination = h.connect(otherAddress)
	h.report(4000)
	h.tick()
	h.takeSent()
	return h
}

// connect connects a further agent.
func (h *moveHarness) connect(address string) *agentView {
	view := newAgentView(address)
	h.owner.agents[address] = view
	h.owner.handleConnected(view, &agentConn{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}})
	return view
}

// report has the second worker report how much it tolerates.
func (h *moveHarness) report(tolerated int64) { h.reportAs(h.destination, "i-2", tolerated) }

// reportAs has a worker report how much it tolerates.
func (h *moveHarness) reportAs(view *agentView, worker string, tolerated int64) {
	status := idleWorkerStatus()
	status.Worker, status.ToleratedMilliCpu = worker, tolerated
	h.owner.lastJoinAt = h.clock.Now()
	h.owner.handleAgentMessage(view, view.conn, &wire.AgentMessage{Agent: worker, Status: status}, h.clock.Now())
}

func newOffer(number int64) *wire.MoveOffer {
	return &wire.MoveOffer{Number: number, Task: firstTask, Attempt: 1, Percent: 20, RemainingMs: 15000, MinGainMs: 1500, LapsesNanos: int64(600 * time.Millisecond)}
}

// offer has the agent offer its run, and returns the answers.
func (h *moveHarness) offer(offers ...*wire.MoveOffer) []*wire.MoveAnswer {
	h.receive(&wire.AgentMessage{Offers: offers, Status: h.sourceStatus()})
	h.tick()
	var answers []*wire.MoveAnswer
	for _, message := range h.takeSent() {
		answers = append(answers, message.GetMoves()...)
	}
	return answers
}

// sourceStatus returns the status of the first worker.
func (h *moveHarness) sourceStatus() *wire.WorkerStatus {
	status := idleWorkerStatus()
	status.Tolerances = []*wire.Tolerance{{Image: "f", MilliCpu: h.sourceTolerance}}
	return status
}

// endRuns has the agent report that the runs of tasks were stopped, and makes one tick.
func (h *moveHarness) endRuns(tasks ...string) {
	var ends []*wire.RunEnd
	for i, task := range tasks {
		ends = append(ends, &wire.RunEnd{Worker: workerID, Number: int64(i + 1), Task: task, Attempt: 1, Reason: wire.EndReason_END_STOPPED, Checkpoint: "c"})
	}
	h.receive(&wire.AgentMessage{Status: h.sourceStatus(), Ends: ends})
	h.tick()
}

// freeMemory returns the memory of the second worker that the owner takes for free.
func (h *moveHarness) freeMemory(t *testing.T) int64 {
	for _, worker := range h.owner.candidates(h.owner.agentViews(), h.clock.Now()) {
		if worker.view == h.destination {
			return worker.free.MemoryMB()
		}
	}
	t.Fatal("the second worker is no candidate")
	return 0
}

// TestOfferIsAnswered checks which offers are accepted, declined or not answered.
func TestOfferIsAnswered(t *testing.T) {
	on := []string{"offers"}
	tests := map[string]struct {
		features []string
		change   func(h *moveHarness, offer *wire.MoveOffer)
		answered bool
		accepted bool
	}{
		"a worker tolerates it":           {on, func(*moveHarness, *wire.MoveOffer) {}, true, true},
		"none tolerates enough":           {on, func(h *moveHarness, _ *wire.MoveOffer) { h.report(290) }, true, false},
		"a worker tolerates a part of it": {on, func(h *moveHarness, _ *wire.MoveOffer) { h.report(400) }, true, true},
		"it would hardly go faster there": {on, func(h *moveHarness, offer *wire.MoveOffer) {
			h.report(400)
			offer.Percent = 35
		}, true, false},
		"only its own worker does": {on, func(h *moveHarness, _ *wire.MoveOffer) {
			h.report(290)
			h.sourceTolerance = 4000
		}, true, false},
		"only a worker on probation does": {on, func(h *moveHarness, _ *wire.MoveOffer) {
			h.destination.consecutiveFailures = failuresBeforeProbation
		}, true, false},
		"none is connected":   {on, func(h *moveHarness, _ *wire.MoveOffer) { h.destination.conn = nil }, true, false},
		"it gains too little": {on, func(_ *moveHarness, offer *wire.MoveOffer) { offer.Percent = 95 }, true, false},
		"it gains enough":     {on, func(_ *moveHarness, offer *wire.MoveOffer) { offer.MinGainMs = 6000 }, true, true},
		"it gains enough for a first move only": {on, func(h *moveHarness, offer *wire.MoveOffer) {
			task := h.agent.runs[firstTask].task
			h.job.EndRun(task, 1, job.EndInterrupted, "", h.clock.Now())
			h.owner.startTask(task, h.agent, h.clock.Now())
			offer.Attempt, offer.MinGainMs = 2, 6000
		}, true, false},
		"it costs more than it gains": {on, func(_ *moveHarness, offer *wire.MoveOffer) { offer.MinGainMs = 7000 }, true, false},
		"the store is away": {on, func(h *moveHarness, _ *wire.MoveOffer) {
			h.owner.lastJoinAt = h.clock.Now().Add(-h.owner.options.MemberTimeout)
		}, true, false},
		"a gang":                        {on, func(h *moveHarness, _ *wire.MoveOffer) { h.job.Tasks()[0].Spec().Gang = true }, true, false},
		"a task that reserves":          {on, func(h *moveHarness, _ *wire.MoveOffer) { h.job.Tasks()[0].Spec().Fills = false }, true, false},
		"an earlier run":                {on, func(_ *moveHarness, offer *wire.MoveOffer) { offer.Attempt = 0 }, true, false},
		"its job has ended":             {on, func(h *moveHarness, _ *wire.MoveOffer) { h.job.Cancel(h.clock.Now()) }, true, false},
		"it has lapsed":                 {on, func(_ *moveHarness, offer *wire.MoveOffer) { offer.LapsesNanos = 0 }, false, false},
		"its shard is not loaded":       {on, func(h *moveHarness, _ *wire.MoveOffer) { h.shard.loaded = false }, false, false},
		"its shard is another owner's":  {on, func(h *moveHarness, _ *wire.MoveOffer) { delete(h.owner.shards, h.shard.number) }, false, false},
		"its task has no readable name": {on, func(_ *moveHarness, offer *wire.MoveOffer) { offer.Task = "?" }, false, false},
		"the feature is off":            {nil, func(*moveHarness, *wire.MoveOffer) {}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newMoveHarness(t, test.features...)
			offer := newOffer(1)
			test.change(h, offer)
			answers := h.offer(offer)
			if len(answers) > 0 != test.answered || test.answered && answers[0].GetAccepted() != test.accepted {
				t.Fatalf("answers %v, want answered %v, accepted %v", answers, test.answered, test.accepted)
			}
			if reserved := len(h.owner.moves.reserved) == 1; reserved != test.accepted {
				t.Errorf("reserved %v, want %v", reserved, test.accepted)
			}
		})
	}
}

// TestWorkerIsReservedForOneMove checks that a worker is not reserved for two runs, however much it tolerates: the
// second one gets the next best worker, if there is one.
func TestWorkerIsReservedForOneMove(t *testing.T) {
	tests := map[string]struct{ hasThirdWorker bool }{"two workers": {false}, "three workers": {true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newMoveHarness(t, "offers")
			if test.hasThirdWorker {
				h.reportAs(h.connect("10.0.0.3:7001"), "i-3", 2000)
			}
			other := newOffer(2)
			other.Task = secondTask
			answers := h.offer(newOffer(1), other)
			if len(answers) != 2 || !answers[0].GetAccepted() || answers[1].GetAccepted() != test.hasThirdWorker {
				t.Errorf("answers %v, want the first accepted, and the second %v", answers, test.hasThirdWorker)
			}
		})
	}
}

// TestMovedTaskStartsOnReservedWorker checks that the worker is kept free for the run, and that its task is
// placed there in the tick in which its end arrives, before a task that would else go first, and even if the
// offer was told twice.
func TestMovedTaskStartsOnReservedWorker(t *testing.T) {
	h := newMoveHarness(t, "offers")
	h.report(1000) // As much as one of the tasks asks for.
	before := h.freeMemory(t)
	offer := newOffer(1)
	offer.Task = secondTask
	answers := append(h.offer(offer), h.offer(offer)...)
	again := newOffer(2) // The answers to the first were lost.
	again.Task = secondTask
	answers = append(answers, h.offer(again)...)
	for _, answer := range answers {
		if len(answers) != 3 || !answer.GetAccepted() || len(h.owner.moves.reserved) != 1 {
			t.Fatalf("answers %v, %d reservations; want three answers for one", answers, len(h.owner.moves.reserved))
		}
	}
	if after := h.freeMemory(t); after != before-100 {
		t.Errorf("%d MB are free with the reservation, %d without", after, before)
	}
	if h.job.Tasks()[1].State() != job.TaskState_TASK_STARTED || h.agent.runs[secondTask] == nil {
		t.Error("the run does not go on until its end arrives")
	}
	h.endRuns(firstTask, secondTask)
	if h.destination.runs[secondTask] == nil || len(h.owner.moves.reserved) != 0 || h.freeMemory(t) != before-100 {
		t.Errorf("runs %v, reservations %v; want the run on the second worker", h.destination.runs, h.owner.moves.reserved)
	}
	h.owner.confirmRun(h.destination.runs[secondTask], h.clock.Now())
	if len(h.owner.moves.stoppedAt) != 0 {
		t.Error("the gap of the move is not recorded")
	}
}

// checkNothingReserved fails the test if there is a reservation.
func (h *moveHarness) checkNothingReserved(t *testing.T) {
	t.Helper()
	if reservations := h.owner.moves.reservations.All(); len(reservations)+len(h.owner.moves.reserved) != 0 {
		t.Errorf("still reserved: %v", reservations)
	}
}

// TestReservationFails checks that a reservation ends with its destination, its job or its time, and that the
// task of a run that has been stopped waits for a place like any other then.
func TestReservationFails(t *testing.T) {
	tests := map[string]struct {
		fail    func(h *moveHarness)
		waiting bool // the run ends afterwards, and its task has to wait
		atEnd   bool // that is noticed only then
	}{
		"the destination is lost": {func(h *moveHarness) {
			h.owner.handleDisconnected(h.destination, h.destination.conn, nil, h.clock.Now())
		}, true, false},
		"the destination is silent": {func(h *moveHarness) { h.clock.Advance(1900 * time.Millisecond) }, true, false},
		"the destination drains":    {func(h *moveHarness) { h.destination.status().Draining = true }, true, false},
		"the destination is evacuated": {func(h *moveHarness) {
			h.destination.status().FailureDomain = evacuatedDomain
			h.evacuate(1, evacuatedDomain)
		}, true, false},
		"it tolerates no more":  {func(h *moveHarness) { h.report(-2000) }, true, true},
		"the shard is released": {func(h *moveHarness) { h.owner.releaseShard(h.shard, "test", h.clock.Now()) }, false, false},
		"the job is cancelled":  {func(h *moveHarness) { h.job.Cancel(h.clock.Now()) }, false, false},
		"the end does not come": {func(h *moveHarness) { h.clock.Advance(relocation.ReservationTime); h.report(4000) }, false, false},
		"the run is done before": {func(h *moveHarness) {
			h.job.EndRun(h.job.Tasks()[0], 1, job.EndDone, "", h.clock.Now())
			delete(h.agent.runs, firstTask)
		}, false, false},
		"it is offered again": {func(h *moveHarness) { h.report(0); h.offer(newOffer(2)) }, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newMoveHarness(t, "offers")
			h.offer(newOffer(1))
			test.fail(h)
			if !test.atEnd {
				h.tick()
				h.checkNothingReserved(t)
			}
			if !test.waiting {
				return
			}
			h.endRuns(firstTask)
			h.checkNothingReserved(t)
			if h.job.Tasks()[0].State() != job.TaskState_TASK_WAITING {
				t.Errorf("the task is %v, want it to wait", h.job.Tasks()[0].State())
			}
		})
	}
}

// TestMovedTaskIsPlacedElsewhere checks that a task whose run has been stopped goes to another worker if the reserved
// one tolerates no more, in the tick in which its end arrives.
func TestMovedTaskIsPlacedElsewhere(t *testing.T) {
	tests := map[string]struct {
		tolerated int64 // by a third worker
		placed    bool
	}{
		"another worker tolerates a part of it": {400, true},
		"no worker tolerates enough":            {290, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newMoveHarness(t, "offers")
			h.offer(newOffer(1))
			third := h.connect("10.0.0.3:7001")
			h.reportAs(third, "i-3", test.tolerated)
			h.report(-2000)
			h.endRuns(firstTask)
			h.checkNothingReserved(t)
			if placed := third.runs[firstTask] != nil; placed != test.placed {
				t.Errorf("placed on the third worker: %v", placed)
			}
		})
	}
}

// TestStoppedRunWithoutReservation checks that a run that was stopped for the reservation of an earlier owner,
// which is lost with that owner, is placed like any other task.
func TestStoppedRunWithoutReservation(t *testing.T) {
	h := newMoveHarness(t, "offers")
	h.offer(newOffer(1))
	h.owner.moves = newMoveState()
	h.endRuns(firstTask)
	if h.destination.runs[firstTask] == nil {
		t.Errorf("the task is %v, want it on the worker that tolerates it", h.job.Tasks()[0].State())
	}
}

// TestOfferOfEarlierRunEndsNoReservation checks that the reservation for a task's present run stays when the agent of
// a worker on which an earlier run may go on offers that one.
func TestOfferOfEarlierRunEndsNoReservation(t *testing.T) {
	h := newMoveHarness(t, "offers")
	h.offer(newOffer(1))
	stray := newOffer(4)
	stray.Attempt = 0
	other := h.connect("10.0.0.3:7001")
	h.owner.handleAgentMessage(other, other.conn, &wire.AgentMessage{Agent: "i-3", Offers: []*wire.MoveOffer{stray}}, h.clock.Now())
	h.tick()
	if _, reserved := h.owner.moves.reservations.ByTask(firstTask); !reserved {
		t.Error("the reservation has ended")
	}
	h.endRuns(firstTask)
	if h.destination.runs[firstTask] == nil {
		t.Error("the task is not on the worker that was reserved for it")
	}
}

// TestRepeatedOffersKeepNoTaskWaiting checks that a task that needs the whole reserved worker is placed there before
// the worker is reserved anew, when the run is offered again.
func TestRepeatedOffersKeepNoTaskWaiting(t *testing.T) {
	h := newMoveHarness(t, "offers")
	h.destination.status().Labels = []string{"b"}
	h.offer(newOffer(1))
	submission := newSubmission()
	submission.Id = jobIDInShard(h.shard.number, 1)
	submission.Steps[0].MemoryMb, submission.Steps[0].Label = 4000, "b"
	h.readRecords(newRecord(t, job.SubmissionKey(submission.GetId()), submission))
	waiting := h.shard.jobs[submission.GetId()].Tasks()[0]
	h.tick()
	if waiting.State() != job.TaskState_TASK_WAITING {
		t.Fatalf("the task is %v while the worker is reserved", waiting.State())
	}
	answers := h.offer(newOffer(2))
	if h.destination.runs[waiting.Name()] == nil || len(answers) != 1 || answers[0].GetAccepted() {
		t.Errorf("the task is %v, answers %v; want it on the worker, and the offer declined", waiting.State(), answers)
	}
}

// TestReservationCountsForSpread checks that no further task of a step is placed on a worker that is reserved for one,
// if the step allows one on each worker: the moved task would find no place.
func TestReservationCountsForSpread(t *testing.T) {
	h := newMoveHarness(t, "offers")
	h.job.Tasks()[0].Spec().MostPerWorker = 1
	h.offer(newOffer(1))
	if len(h.owner.moves.reserved) != 1 {
		t.Fatal("nothing is reserved")
	}
	for _, worker := range h.owner.candidates(h.owner.agentViews(), h.clock.Now()) {
		if worker.view == h.destination && worker.fits(h.job.Tasks()[1]) {
			t.Error("another task of the step may be placed on the reserved worker")
		}
	}
	h.endRuns(firstTask)
	if h.destination.runs[firstTask] == nil {
		t.Error("the task is not on the worker that was reserved for it")
	}
}

// TestFailedRunIsNotMoved checks that a task whose run fails while a worker is reserved for it waits for its next
// attempt like any other.
func TestFailedRunIsNotMoved(t *testing.T) {
	h := newMoveHarness(t, "offers")
	h.offer(newOffer(1))
	h.receive(&wire.AgentMessage{Status: h.sourceStatus(), Ends: []*wire.RunEnd{
		{Worker: workerID, Number: 1, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_FAILED},
	}})
	task := h.job.Tasks()[0]
	if len(task.Job().ReadyTasks(h.clock.Now())) != 0 {
		t.Fatal("the task does not wait for its next attempt")
	}
	h.tick()
	h.checkNothingReserved(t)
	if task.State() != job.TaskState_TASK_WAITING {
		t.Errorf("the task is %v, want it to wait", task.State())
	}
}

// TestOwnerSaysWhetherItTakesOffers checks that an owner's first message says so only if the feature is enabled.
func TestOwnerSaysWhetherItTakesOffers(t *testing.T) {
	for name, features := range map[string][]string{"on": {"offers"}, "off": nil} {
		t.Run(name, func(t *testing.T) {
			h := newMoveHarness(t, features...)
			if got := h.connect("10.0.0.3:7001").nextMessage.GetTakesOffers(); got != (features != nil) {
				t.Errorf("takes offers: %v", got)
			}
		})
	}
}
