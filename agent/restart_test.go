package agent_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// The tests of this file guard against failures after a worker has restarted under the same ID. If the agent
// takes the restarted worker for the previous incarnation, it applies to it all that it knows of that one: end
// numbers, clock, lease, fencing token, heartbeats, runs, and whether it is over.
//
// The restarted worker numbers its ends from 1. The agent ignored ends up to the last number that it had read
// before, 57 in a case with two dozen such ends, and also confirmed them, so that the worker forgot them and
// they counted as stored. After two more polls the runs were missed and reported as lost, and their owners
// started the tasks again, although they had ended as done. Tasks were done twice or never came to an end, and
// jobs waited for them although most of the workers' resources were free. Of 1,867 runs that were reported as
// lost, all were on workers that had restarted.

// newDatedHarness returns a harness whose worker reports its start time.
func newDatedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.worker = wireworker.NewWithStartTime(workerID, h.clock)
	h.servedWorker.Store(h.worker)
	return h
}

// sendHeartbeatOf sends a heartbeat of an incarnation of the worker, with a sequence number and a state.
func (h *harness) sendHeartbeatOf(worker *wireworker.Worker, sequence int, state string) {
	h.t.Helper()
	if code := h.putHeartbeat(h.heartbeatJSON(worker, sequence, state)); code != http.StatusOK {
		h.t.Fatalf("the heartbeat was answered %d", code)
	}
}

// putHeartbeat sends the body of a heartbeat to the agent and returns the status code of the response.
func (h *harness) putHeartbeat(body string) int {
	response := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPut, "/v1/instances/"+workerID, strings.NewReader(body))
	platform.HeartbeatHandler(h.agent).ServeHTTP(response, request)
	return response.Code
}

// heartbeatJSON returns the body of a heartbeat of an incarnation of the worker.
func (h *harness) heartbeatJSON(worker *wireworker.Worker, sequence int, state string) string {
	return fmt.Sprintf(`{"service":"verbale","address":%q,"zone":%q,"state":%q,"capacity":{"cpu":4000,"mem_mb":8000},"seq":%d,"born":%d}`,
		strings.TrimPrefix(h.server.URL, "http://"), testDomain, state, sequence, worker.StartTime())
}

// restartWorker restarts the worker under the same ID, after it was away for the given time.
func (h *harness) restartWorker(away time.Duration) {
	h.t.Helper()
	next := h.worker.Restart()
	h.server.CloseClientConnections()
	h.advanceUnpolled(away)
	h.worker = next
	h.servedWorker.Store(next)
}

// attachOwnerTo connects an owner to the agent of an incarnation that is ready, and has it grant time for the
// whole test.
func (h *harness) attachOwnerTo(worker *wireworker.Worker) *ownerStream {
	h.t.Helper()
	h.sendHeartbeatOf(worker, 1, "ready")
	owner := h.attachOwner(1)
	h.waitReadyAs(owner, worker)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	return owner
}

// waitReadyAs waits until an incarnation has been polled and is reported ready to the owner. The status
// has no start time in builds that don't distinguish incarnations.
func (h *harness) waitReadyAs(owner *ownerStream, worker *wireworker.Worker) {
	h.t.Helper()
	h.waitFor(func() bool {
		looks, _ := worker.Polls()
		status := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus()
		return looks > 0 && status.GetReady() && (status.GetBorn() == worker.StartTime() || status.GetBorn() == 0)
	})
}

// newStartOrderFor returns an order to start a run of a task on an incarnation.
func newStartOrderFor(worker *wireworker.Worker, task string) *wire.StartOrder {
	order := newStartOrder(1)
	order.Task, order.Born = task, worker.StartTime()
	return order
}

// numberedTask returns the name of the job's task with the given number.
func numberedTask(number int) string { return fmt.Sprintf("0123456789abcdef.0.0.%d", number) }

// startRun has the owner order a run, and waits until it runs.
func (h *harness) startRun(owner *ownerStream, order *wire.StartOrder) {
	h.t.Helper()
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	h.waitFor(func() bool {
		attempt, runs := h.worker.Running(order.GetTask())
		return runs && attempt == order.GetAttempt()
	})
}

// endsOf returns the ends of a task that the owner was sent.
func (owner *ownerStream) endsOf(task string) []*wire.RunEnd {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	var ends []*wire.RunEnd
	for _, message := range owner.received {
		for _, end := range message.GetEnds() {
			if end.GetTask() == task {
				ends = append(ends, end)
			}
		}
	}
	return ends
}

// confirmEnd has the owner confirm that an end is in the store.
func (owner *ownerStream) confirmEnd(end *wire.RunEnd) {
	owner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: end.GetWorker(), Number: end.GetNumber(), Born: end.GetBorn()}}})
}

// finishRuns lets the given number of runs start and end one after another. The owner confirms each end, and
// finishRuns returns when the worker has been ordered to forget them.
func (h *harness) finishRuns(owner *ownerStream, count int) {
	h.t.Helper()
	for number := range count {
		h.startRun(owner, newStartOrderFor(h.worker, numberedTask(number)))
		h.worker.End(numberedTask(number), "done")
		h.waitFor(func() bool { return len(owner.endsOf(numberedTask(number))) > 0 })
		owner.confirmEnd(owner.endsOf(numberedTask(number))[0])
	}
	h.waitFor(func() bool { _, storedEnd := h.worker.Polls(); return storedEnd == int64(count) })
}

// TestEndsAfterRestartAreReported checks that each end after a restart is reported to the owner, when the
// worker numbers its ends from 1 again, and that the worker is not ordered to forget any before the owner has
// confirmed it.
func TestEndsAfterRestartAreReported(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.finishRuns(owner, 3)
	h.restartWorker(300 * time.Millisecond)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
	for number := 3; number < 6; number++ {
		h.startRun(owner, newStartOrderFor(h.worker, numberedTask(number)))
		h.worker.End(numberedTask(number), "done")
	}
	h.advance(4 * time.Second)
	if _, storedEnd := h.worker.Polls(); storedEnd != 0 {
		t.Errorf("the worker was ordered to forget its ends up to %d, of which none was confirmed", storedEnd)
	}
	for number := 3; number < 6; number++ {
		ends := owner.endsOf(numberedTask(number))
		if len(ends) != 1 || ends[0].GetReason() != wire.EndReason_END_DONE {
			t.Errorf("ends of %s: %v, want one END_DONE", numberedTask(number), ends)
		}
	}
}

// TestLateConfirmationForPredecessor checks that the confirmation of an end of the previous incarnation has
// no effect on the restarted worker, also if it comes from an owner of an earlier build, which identifies
// workers by their ID alone.
func TestLateConfirmationForPredecessor(t *testing.T) {
	for name, hasStartTime := range map[string]bool{"of this build": true, "of an earlier build": false} {
		t.Run(name, func(t *testing.T) {
			h := newDatedHarness(t)
			owner := h.attachOwnerTo(h.worker)
			h.startRun(owner, newStartOrderFor(h.worker, numberedTask(0)))
			h.worker.End(numberedTask(0), "done")
			h.waitFor(func() bool { return len(owner.endsOf(numberedTask(0))) > 0 })
			end := owner.endsOf(numberedTask(0))[0]
			h.restartWorker(300 * time.Millisecond)
			h.sendHeartbeatOf(h.worker, 1, "ready")
			h.waitReadyAs(owner, h.worker)
			h.startRun(owner, newStartOrderFor(h.worker, numberedTask(1)))
			h.worker.End(numberedTask(1), "done")
			h.advance(time.Second)
			if !hasStartTime {
				end.Born = 0
			}
			owner.confirmEnd(end)
			h.advance(2 * time.Second)
			if _, storedEnd := h.worker.Polls(); storedEnd != 0 {
				t.Errorf("the worker was ordered to forget its ends up to %d, want none", storedEnd)
			}
		})
	}
}

// TestConfirmationForEarlierAgent checks the confirmation of an end that an earlier agent process had
// reported. An owner keeps its messages until it has reconnected, and may then send them to a new agent
// process, for which the same end may have another number.
func TestConfirmationForEarlierAgent(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.finishRuns(owner, 3)
	h.restartWorker(300 * time.Millisecond)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
	h.startRun(owner, newStartOrderFor(h.worker, numberedTask(3)))
	h.worker.End(numberedTask(3), "done")
	h.waitFor(func() bool { return len(owner.endsOf(numberedTask(3))) > 0 })
	h.stopAgent()
	h.advance(200 * time.Millisecond)
	h.startAgent()
	nextOwner := h.attachOwnerTo(h.worker)
	for number := 4; number < 8; number++ {
		h.startRun(nextOwner, newStartOrderFor(h.worker, numberedTask(number)))
		h.worker.End(numberedTask(number), "done")
	}
	h.waitFor(func() bool { return len(nextOwner.endsOf(numberedTask(7))) > 0 })
	// This is the fourth end of the earlier agent, and the first one of its incarnation.
	nextOwner.confirmEnd(owner.endsOf(numberedTask(3))[0])
	for number := 3; number < 6; number++ {
		nextOwner.confirmEnd(nextOwner.endsOf(numberedTask(number))[0])
	}
	h.advance(2 * time.Second)
	if _, storedEnd := h.worker.Polls(); storedEnd != 3 {
		t.Errorf("the worker was ordered to forget its ends up to %d, want 3", storedEnd)
	}
	for number := 6; number < 8; number++ {
		nextOwner.confirmEnd(nextOwner.endsOf(numberedTask(number))[0])
	}
	h.waitFor(func() bool { _, storedEnd := h.worker.Polls(); return storedEnd == 5 })
}

// TestWorkerRestartsAfterLeaving checks that a worker may restart under the same ID after it has left.
func TestWorkerRestartsAfterLeaving(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.sendHeartbeatOf(h.worker, 2, "draining")
	h.advance(200 * time.Millisecond)
	h.agent.HandleLeave(workerID)
	h.restartWorker(300 * time.Millisecond)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
	h.startRun(owner, newStartOrderFor(h.worker, numberedTask(0)))
}

// TestHeartbeatSequenceRestarts checks that heartbeats after a restart are accepted, though their sequence
// numbers start again from 1.
func TestHeartbeatSequenceRestarts(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.sendHeartbeatOf(h.worker, 40, "ready")
	h.restartWorker(300 * time.Millisecond)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
	h.sendHeartbeatOf(h.worker, 2, "draining")
	h.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{})
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetDraining() }) != nil
	})
}

// TestLateHeartbeatOfPredecessor checks that heartbeats of earlier incarnations change nothing if they arrive
// after one of the restarted worker.
func TestLateHeartbeatOfPredecessor(t *testing.T) {
	h := newDatedHarness(t)
	first := h.worker
	owner := h.attachOwnerTo(first)
	h.restartWorker(200 * time.Millisecond)
	second := h.worker
	h.restartWorker(200 * time.Millisecond) // The second restart is within the same heartbeat interval.
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
	h.startRun(owner, newStartOrderFor(h.worker, numberedTask(0)))
	for range 3 {
		h.sendHeartbeatOf(first, 90, "draining")
		h.sendHeartbeatOf(second, 91, "draining")
		h.advance(500 * time.Millisecond)
	}
	h.advance(2 * time.Second)
	if ends := owner.endsOf(numberedTask(0)); len(ends) > 0 {
		t.Errorf("the run was reported as over: %v", ends)
	}
	last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetBorn() != h.worker.StartTime() || last.GetStatus().GetDraining() {
		t.Errorf("the agent manages %v", last.GetStatus())
	}
}

// TestOrdersForPredecessorAreIgnored checks that orders for the previous incarnation have no effect on a
// restarted worker.
func TestOrdersForPredecessorAreIgnored(t *testing.T) {
	h := newDatedHarness(t)
	first := h.worker
	owner := h.attachOwnerTo(first)
	h.restartWorker(300 * time.Millisecond)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
	h.startRun(owner, newStartOrderFor(h.worker, numberedTask(1)))
	if got := h.orderStart(owner, newStartOrderFor(first, testTask)); got != wire.StartOutcome_START_WRONG_WORKER {
		t.Errorf("start outcome %v, want START_WRONG_WORKER", got)
	}
	owner.send(&wire.OwnerMessage{Stops: []*wire.StopOrder{{Shard: testShard, Epoch: 1, Task: numberedTask(1), Attempt: 1, Worker: workerID, Born: first.StartTime()}}})
	owner.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{
		Shard: testShard, Epoch: 1, Worker: workerID, Born: first.StartTime(), Demand: &wire.Demand{MilliCpu: 4000, MemoryMb: 100, Priority: -1},
	}}})
	h.advance(time.Second)
	if _, runs := h.worker.Running(numberedTask(1)); !runs {
		t.Error("the run of the present incarnation was stopped")
	}
}

// TestLeaseAfterRestart checks that the lease of a restarted worker is computed from readings of its own
// clock, which starts again.
func TestLeaseAfterRestart(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	for range 20 {
		h.advance(time.Second)
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	}
	h.restartWorker(300 * time.Millisecond)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
	h.startRun(owner, newStartOrderFor(h.worker, numberedTask(0)))
	h.advance(2 * time.Second)
	if left := h.worker.LeaseEnd() - h.worker.Clock(); left <= 0 || left > 5*time.Second {
		t.Errorf("the worker runs on for %v without its agent", left)
	}
}

// restartDuringStart has the owner order a start that gets no answer, and restarts the worker while the start
// is in transit.
func (h *harness) restartDuringStart(owner *ownerStream) {
	h.t.Helper()
	h.worker.InjectFaults(func(path string) wireworker.Fault {
		if path == "/v1/run-start" {
			return wireworker.FaultDelayed
		}
		return wireworker.FaultReset
	})
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{newStartOrderFor(h.worker, testTask)}})
	h.awaitNow(func() bool { return h.worker.DelayedStarts() > 0 })
	h.advanceUnpolled(200 * time.Millisecond)
	h.restartWorker(100 * time.Millisecond)
}

// TestLateStartReachesRestartedWorker checks a start without an answer that the restarted worker carries out,
// since it has seen no fencing token. While it runs, it must not be reported to its owner as not started, and
// once it has ended, not that it is lost: the owner would start the task beside the run, or after its end.
func TestLateStartReachesRestartedWorker(t *testing.T) {
	tests := map[string]struct {
		act  func(h *harness)
		want wire.EndReason
	}{
		"running": {func(*harness) {}, wire.EndReason_END_STOPPED},
		"ended":   {func(h *harness) { h.worker.End(testTask, "done") }, wire.EndReason_END_DONE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newDatedHarness(t)
			owner := h.attachOwnerTo(h.worker)
			h.restartDuringStart(owner)
			h.worker.ExecuteDelayedStarts()
			if !h.isRunning() {
				t.Fatal("the late start was not carried out")
			}
			test.act(h)
			h.sendHeartbeatOf(h.worker, 1, "ready")
			h.waitReadyAs(owner, h.worker)
			h.waitFor(func() bool { return len(owner.endsOf(testTask)) > 0 })
			h.advance(time.Second)
			ends := owner.endsOf(testTask)
			if len(ends) != 1 || ends[0].GetReason() != test.want {
				t.Errorf("the ends were reported as %v", ends)
			}
			if owner.startOutcome() == wire.StartOutcome_START_WORKER_FAILED {
				t.Error("the run was reported as not started")
			}
			h.worker.ExecuteDelayedStarts()
			if h.isRunning() {
				t.Error("the run was started again")
			}
		})
	}
}

// TestLateStartAfterReplacement checks that a restarted worker refuses the orders to its previous incarnation
// once that one has been reported as over to the owners.
func TestLateStartAfterReplacement(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.restartDuringStart(owner)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitFor(func() bool {
		return len(owner.endsOf(testTask)) > 0 || owner.startOutcome() != wire.StartOutcome_START_UNSPECIFIED
	})
	h.worker.ExecuteDelayedStarts()
	if h.isRunning() {
		t.Error("the start was carried out after the run was reported to its owner as over")
	}
}

// TestCrashWithRestartUnderSameID checks that a run that was new when its worker crashed is a suspect, also
// if the worker restarts under the same ID.
func TestCrashWithRestartUnderSameID(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.startRun(owner, newStartOrderFor(h.worker, testTask))
	h.restartWorker(300 * time.Millisecond)
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitForEnd(owner, wire.EndReason_END_CRASHED)
}

// TestRestartDetectedByAnswer checks a restart that the agent notices by an answer of the worker, before it
// has sent a heartbeat. From then on, no call is made for the previous incarnation, and the worker is reported
// to owners as not ready.
func TestRestartDetectedByAnswer(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.finishRuns(owner, 3)
	h.restartWorker(300 * time.Millisecond)
	h.advance(time.Second)
	if _, storedEnd := h.worker.Polls(); storedEnd != 0 {
		t.Errorf("the worker was ordered to forget its ends up to %d, want none", storedEnd)
	}
	last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetReady() {
		t.Error("the worker was reported as ready")
	}
	h.sendHeartbeatOf(h.worker, 1, "ready")
	h.waitReadyAs(owner, h.worker)
}

// TestInvalidStartTime checks that heartbeats with an invalid start time are refused, and that one without a
// start time is ignored if the worker has sent its start time before.
func TestInvalidStartTime(t *testing.T) {
	h := newDatedHarness(t)
	owner := h.attachOwnerTo(h.worker)
	h.startRun(owner, newStartOrderFor(h.worker, testTask))
	invalid := map[string]string{
		"missing":  `"seq":9`,
		"string":   `"seq":9,"born":"1700000000000"`,
		"fraction": `"seq":9,"born":1700000000000.5`,
		"null":     `"seq":9,"born":null`,
		"negative": `"seq":9,"born":-4`,
		"list":     `"seq":9,"born":[1]`,
	}
	valid := h.heartbeatJSON(h.worker, 9, "draining")
	for name, tail := range invalid {
		before, _, _ := strings.Cut(valid, `"seq"`)
		body := before + tail + "}"
		if code := h.putHeartbeat(body); name != "missing" && code != http.StatusBadRequest {
			t.Errorf("%s: answered %d", name, code)
		}
	}
	h.advance(2 * time.Second)
	last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetDraining() || last.GetStatus().GetBorn() != h.worker.StartTime() || !h.isRunning() {
		t.Errorf("the agent manages %v", last.GetStatus())
	}
}

// TestRestartWithoutStartTimeInHeartbeats checks that the incarnations of a worker whose heartbeats lack the
// start time are distinguished by its answers.
func TestRestartWithoutStartTimeInHeartbeats(t *testing.T) {
	h := newDatedHarness(t)
	h.sendHeartbeat()
	owner := h.attachOwner(1)
	h.waitReadyAs(owner, h.worker)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	h.finishRuns(owner, 2)
	h.restartWorker(300 * time.Millisecond)
	h.advance(time.Second)
	if _, storedEnd := h.worker.Polls(); storedEnd != 0 {
		t.Errorf("the worker was ordered to forget its ends up to %d, want none", storedEnd)
	}
}

// TestRestartedWorkerWithHigherToken checks that a restarted worker is managed even if it has seen a higher
// fencing token than that of the probes. A poll for the previous incarnation, with a token that was raised
// after the agent started, may reach it first. When that was not handled, it refused every probe for its
// token, and its resources were never used.
func TestRestartedWorkerWithHigherToken(t *testing.T) {
	tests := map[string]time.Duration{"raised by this agent": 0, "raised by an agent whose clock was ahead": time.Minute}
	for name, ahead := range tests {
		t.Run(name, func(t *testing.T) {
			h := newDatedHarness(t)
			owner := h.attachOwnerTo(h.worker)
			h.worker.InjectFaults(func(path string) wireworker.Fault {
				if path == "/v1/run-start" {
					return wireworker.FaultReset
				}
				return wireworker.FaultNone
			})
			if got := h.orderStart(owner, newStartOrderFor(h.worker, testTask)); got != wire.StartOutcome_START_WORKER_FAILED {
				t.Fatalf("start outcome %v, want START_WORKER_FAILED", got)
			}
			h.restartWorker(300 * time.Millisecond)
			h.waitFor(func() bool { polls, _ := h.worker.Polls(); return polls > 0 })
			h.worker.RaiseFencingToken(ahead)
			h.advance(500 * time.Millisecond)
			for i := range 3 {
				h.sendHeartbeatOf(h.worker, i+1, "ready")
				h.advance(500 * time.Millisecond)
			}
			h.waitReadyAs(owner, h.worker)
			h.startRun(owner, newStartOrderFor(h.worker, numberedTask(1)))
		})
	}
}

// TestAccounted checks that an agent knows all runs once its worker has listed them, even if the worker does
// not answer later, and without any worker once every lease that an earlier agent may have renewed has
// expired.
func TestAccounted(t *testing.T) {
	knowsAllRuns := func(owner *ownerStream) bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus().GetAccounted()
	}
	grantFor := func(h *harness, owner *ownerStream, length time.Duration) {
		for begin := h.clock.Now(); h.clock.Now().Sub(begin) < length; {
			owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
			h.advanceUnpolled(500 * time.Millisecond)
		}
	}
	t.Run("no worker", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachOwner(1)
		grantFor(h, owner, 3*time.Second)
		if knowsAllRuns(owner) {
			t.Error("reports that it knows all runs while a lease may go on")
		}
		grantFor(h, owner, 3*time.Second)
		if !knowsAllRuns(owner) {
			t.Error("reports unknown runs although every lease has expired")
		}
	})
	t.Run("worker never answers", func(t *testing.T) {
		h := newHarness(t)
		h.crashWorker()
		h.sendHeartbeat()
		owner := h.attachOwner(1)
		grantFor(h, owner, 3*time.Second)
		if knowsAllRuns(owner) {
			t.Error("reports that it knows all runs while a lease may go on")
		}
		grantFor(h, owner, 3*time.Second)
		if !knowsAllRuns(owner) {
			t.Error("reports unknown runs although every lease has expired")
		}
	})
	t.Run("worker stops answering", func(t *testing.T) {
		h := newHarness(t)
		owner := h.attachReadyOwner(1)
		h.crashWorker()
		grantFor(h, owner, time.Second)
		if !knowsAllRuns(owner) {
			t.Error("reports unknown runs although the worker has listed them")
		}
	})
}

// isRegisteredAsEnded reports whether the agent's record in the store says within 2 s that an incarnation is
// over.
func (h *harness) isRegisteredAsEnded(store *wirestore.Store, ended *wireworker.Worker) bool {
	h.t.Helper()
	for range 40 {
		h.advanceUnpolled(50 * time.Millisecond)
		value, found := store.Newest(job.TopicAgents, job.AgentPartition("side-1", shardCount), "side-1")
		if !found {
			continue
		}
		record := &job.AgentRecord{}
		if err := proto.Unmarshal(value, record); err != nil {
			h.t.Fatal(err)
		}
		if slices.Contains(record.EndedIncarnations(), incarnation.New(workerID, ended.StartTime())) {
			return true
		}
	}
	return false
}

// TestCarriedOverOrderDelaysRegistration checks that an incarnation is not registered as ended if the
// restarted worker has carried out one of its orders, since the end of that run has yet to reach its owner.
// Owners read from the store that an incarnation is over, and release its runs. Without this rule, six tasks
// were started again some milliseconds before their owners learned that they had ended as done.
func TestCarriedOverOrderDelaysRegistration(t *testing.T) {
	for name, carriedOut := range map[string]bool{"carried out by the restarted worker": true, "not carried out": false} {
		t.Run(name, func(t *testing.T) {
			h := newDatedHarness(t)
			store := wirestore.New(shardCount, h.clock.Now)
			served := httptest.NewServer(store)
			t.Cleanup(func() {
				served.CloseClientConnections()
				served.Close()
			})
			go h.agent.Register(h.ctx, platform.NewStore(strings.TrimPrefix(served.URL, "http://"), platform.NewTransport()), "10.0.0.1:1")
			first := h.worker
			owner := h.attachOwnerTo(first)
			h.restartDuringStart(owner)
			if carriedOut {
				h.worker.ExecuteDelayedStarts()
				h.worker.End(testTask, "done")
			}
			h.sendHeartbeatOf(h.worker, 1, "ready")
			h.waitReadyAs(owner, h.worker)
			if ended := h.isRegisteredAsEnded(store, first); ended == carriedOut {
				t.Errorf("registered as ended: %v", ended)
			}
		})
	}
}
