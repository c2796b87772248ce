package agent_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// waitForEnd waits until the owner is sent an end with the given reason, and returns it.
func (h *harness) waitForEnd(owner *ownerStream, reason wire.EndReason) *wire.RunEnd {
	h.t.Helper()
	find := func() *wire.RunEnd {
		message := owner.lastMatching(func(message *wire.AgentMessage) bool {
			return len(message.GetEnds()) > 0 && message.GetEnds()[0].GetReason() == reason
		})
		if message == nil {
			return nil
		}
		return message.GetEnds()[0]
	}
	h.waitFor(func() bool { return find() != nil })
	return find()
}

// crashWorker closes all connections to the worker and lets it answer no more calls.
func (h *harness) crashWorker() {
	h.worker.InjectFaults(func(string) wireworker.Fault { return wireworker.FaultReset })
	h.server.CloseClientConnections()
}

// crashKnownWorker does the same with a worker that answers, and waits until the agent has noticed it. The runs do not get
// older meanwhile.
func (h *harness) crashKnownWorker() {
	h.t.Helper()
	before := h.log.count("worker silent")
	h.crashWorker()
	h.awaitNow(func() bool { return h.log.count("worker silent") > before })
}

// replaceWorker starts a worker with another ID in place of the first one, and sends its heartbeat.
func (h *harness) replaceWorker() {
	beat := h.firstHeartbeat()
	beat.Incarnation = incarnation.New("i-2", 0)
	next := httptest.NewServer(wireworker.New(beat.Incarnation.WorkerID(), h.clock))
	h.t.Cleanup(func() {
		next.CloseClientConnections()
		next.Close()
	})
	beat.Address = strings.TrimPrefix(next.URL, "http://")
	h.agent.HandleHeartbeat(beat)
}

// TestCrashIsReported checks which runs are reported as possible causes when their worker crashes: those that
// are new, but neither one that has survived its start nor one whose worker has left.
func TestCrashIsReported(t *testing.T) {
	tests := map[string]struct {
		end    func(h *harness, owner *ownerStream)
		want   wire.EndReason
		proven bool
	}{
		"new run": {func(h *harness, _ *ownerStream) {
			h.crashKnownWorker()
			h.advance(time.Second)
			h.replaceWorker()
		}, wire.EndReason_END_CRASHED, false},
		"new run, worker replaced after its lease has expired": {func(h *harness, owner *ownerStream) {
			h.crashKnownWorker()
			h.waitForEnd(owner, wire.EndReason_END_LOST)
			h.replaceWorker()
		}, wire.EndReason_END_CRASHED, false},
		"older run, no answer since its start": {func(h *harness, _ *ownerStream) {
			h.advance(400 * time.Millisecond)
			h.crashKnownWorker()
			h.advance(time.Second)
			h.replaceWorker()
		}, wire.EndReason_END_LOST, false},
		"run that survived its start": {func(h *harness, _ *ownerStream) {
			h.advance(3 * time.Second)
			h.crashKnownWorker()
			h.advance(time.Second)
			h.replaceWorker()
		}, wire.EndReason_END_LOST, true},
		"worker left": {func(h *harness, owner *ownerStream) { h.agent.HandleLeave(workerID) }, wire.EndReason_END_LOST, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000, MemoryMb: 1000})
			test.end(h, owner)
			end := h.waitForEnd(owner, test.want)
			if end.GetProven() != test.proven {
				t.Errorf("end is marked as proven: %v", end.GetProven())
			}
		})
	}
}

// TestSilenceIsNoCrash checks that a worker which does not answer until its lease has expired, and then
// answers again, is not considered crashed.
func TestSilenceIsNoCrash(t *testing.T) {
	h := newHarness(t)
	owner := h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000, MemoryMb: 1000})
	h.crashKnownWorker()
	h.waitForEnd(owner, wire.EndReason_END_LOST)
	h.worker.InjectFaults(func(string) wireworker.Fault { return wireworker.FaultNone })
	h.advance(2 * time.Second)
	h.crashWorker()
	h.advance(time.Second)
	h.replaceWorker()
	h.advance(time.Second)
	if end := owner.firstEnd(); end.GetReason() != wire.EndReason_END_LOST {
		t.Errorf("the run was reported as %v, want END_LOST", end.GetReason())
	}
	if owner.lastMatching(func(message *wire.AgentMessage) bool {
		return len(message.GetEnds()) > 0 && message.GetEnds()[0].GetReason() == wire.EndReason_END_CRASHED
	}) != nil {
		t.Error("the run was reported as crashed")
	}
}

// TestSuspectsAreStartedApart checks that a suspected task is refused while the run of another one on the
// same worker is new, and that other tasks are not.
func TestSuspectsAreStartedApart(t *testing.T) {
	const other = "0123456789abcdef.0.0.1"
	tests := map[string]struct {
		suspect bool
		after   time.Duration
		want    wire.StartOutcome
	}{
		"another suspect at once": {true, 0, wire.StartOutcome_START_SUSPECT},
		"another suspect later":   {true, time.Second, wire.StartOutcome_START_STARTED},
		"not a suspect":           {false, 0, wire.StartOutcome_START_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(1)
			first := newStartOrder(1)
			first.Suspect = true
			h.mustStart(owner, first)
			owner.clearReceived()
			h.advance(test.after)
			second := newStartOrder(1)
			second.Task, second.Suspect = other, test.suspect
			owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{second}})
			matches := func(message *wire.AgentMessage) bool {
				return len(message.GetResults()) > 0 && message.GetResults()[0].GetTask() == other
			}
			h.waitFor(func() bool { return owner.lastMatching(matches) != nil })
			if got := owner.lastMatching(matches).GetResults()[0].GetOutcome(); got != test.want {
				t.Errorf("start outcome %v", got)
			}
		})
	}
}

// TestCrashBesideSuspectIsReported has a worker crash on which two runs are new: one of a suspected task, and
// one of another task. Both must be reported. When the agent reported only the suspect, the crash did not
// count for the other task. If that was the one that crashed workers, it was started again, as long as it was
// started beside suspects: two such tasks were started seven and eight times, and their workers crashed 10 ms
// later each time.
func TestCrashBesideSuspectIsReported(t *testing.T) {
	const other = "0123456789abcdef.0.0.1"
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	first := newStartOrder(1)
	first.Suspect = true
	h.mustStart(owner, first)
	second := newStartOrder(1)
	second.Task = other
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{second}})
	h.waitFor(func() bool { _, runs := h.worker.Running(other); return runs })
	h.crashKnownWorker()
	h.advance(time.Second)
	h.replaceWorker()
	h.advance(time.Second)
	reasons := map[string]wire.EndReason{}
	owner.mu.Lock()
	for _, message := range owner.received {
		for _, end := range message.GetEnds() {
			reasons[end.GetTask()] = end.GetReason()
		}
	}
	owner.mu.Unlock()
	if reasons[testTask] != wire.EndReason_END_CRASHED {
		t.Errorf("the suspect was reported as %v", reasons[testTask])
	}
	if reasons[other] != wire.EndReason_END_CRASHED_BESIDE {
		t.Errorf("the new run beside it was reported as %v", reasons[other])
	}
}
