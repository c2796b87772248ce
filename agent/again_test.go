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

// The tests of this file are of failures that users met.
//
// What they saw: tasks that had ended as done were started again, and jobs that were accepted did
// not end though most of the workers' room was free.
//
// The order of events: a worker with dozens of ends behind it is gone and starts again under its id. Its
// agent takes it for the one before. The new life numbers its ends from 1; those up to the number that
// the agent had read last are passed over unread, and the agent's word on how far it has read has
// the worker forget them, which is the note that counts. Two looks later the run is missed and told as
// lost. Its owner starts the task again: done twice, or again and again until the day is over, while
// the steps after it wait.
//
// The cause: an id was taken for one life of a worker. Everything that is known of a worker was kept under
// it: numbers of ends, clock, lease, fencing token, heartbeats, runs, who has ended.
//
// The evidence: after the restart the agent's log has no end until number 58, one above the last number of the
// life before; in between two dozen runs ended as done for the worker and were lost to the agent. Of 1,867
// lost runs of the other record all were on workers that had started again.

// newDatedHarness is a bench whose worker says when it started.
func newDatedHarness(t *testing.T) *harness {
	made := newHarness(t)
	made.worker = wireworker.NewDated(workerID, made.clock)
	made.servedWorker.Store(made.worker)
	return made
}

// sendHeartbeatOf has a life of the worker send a heartbeat with a number.
func (made *harness) sendHeartbeatOf(of *wireworker.Worker, sequence int, state string) {
	made.t.Helper()
	if code := made.putHeartbeat(made.heartbeatJSON(of, sequence, state)); code != http.StatusOK {
		made.t.Fatalf("the heartbeat was answered %d", code)
	}
}

// putHeartbeat sends a heartbeat as it stands and returns how it was answered.
func (made *harness) putHeartbeat(body string) int {
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPut, "/v1/instances/"+workerID, strings.NewReader(body))
	platform.BeatHandler(made.agent).ServeHTTP(answer, request)
	return answer.Code
}

func (made *harness) heartbeatJSON(of *wireworker.Worker, sequence int, state string) string {
	return fmt.Sprintf(`{"service":"verbale","address":%q,"zone":%q,"state":%q,"capacity":{"cpu":4000,"mem_mb":8000},"seq":%d,"born":%d}`,
		strings.TrimPrefix(made.server.URL, "http://"), testDomain, state, sequence, of.Born())
}

// restartWorker has the worker start again under its id after it was away for a while.
func (made *harness) restartWorker(away time.Duration) {
	made.t.Helper()
	next := made.worker.StartAgain()
	made.server.CloseClientConnections()
	made.advanceUnpolled(away)
	made.worker = next
	made.servedWorker.Store(next)
}

// attachOwnerTo connects an owner to the agent of a life that is ready, and has it grant time for the whole test.
func (made *harness) attachOwnerTo(of *wireworker.Worker) *ownerStream {
	made.t.Helper()
	made.sendHeartbeatOf(of, 1, "ready")
	owner := made.attachOwner(1)
	made.waitReadyAs(owner, of)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	return owner
}

// waitReadyAs waits until a life was asked what runs, and the owner is told that it is ready. That is told
// without the moment of its start by a build that doesn't know lives apart.
func (made *harness) waitReadyAs(owner *ownerStream, of *wireworker.Worker) {
	made.t.Helper()
	made.waitFor(func() bool {
		looks, _ := of.Looks()
		status := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus()
		return looks > 0 && status.GetReady() && (status.GetBorn() == of.Born() || status.GetBorn() == 0)
	})
}

// newStartOrderFor orders a run of a task on a life.
func newStartOrderFor(of *wireworker.Worker, task string) *wire.StartOrder {
	order := newStartOrder(1)
	order.Task, order.Born = task, of.Born()
	return order
}

// numberedTask names a task of the job.
func numberedTask(number int) string { return fmt.Sprintf("0123456789abcdef.0.0.%d", number) }

// startRun has the owner order a run, and waits until it goes.
func (made *harness) startRun(owner *ownerStream, order *wire.StartOrder) {
	made.t.Helper()
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	made.waitFor(func() bool {
		attempt, runs := made.worker.Running(order.GetTask())
		return runs && attempt == order.GetAttempt()
	})
}

// endsOf returns the ends that the owner was told of a task.
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

// confirmEnd has the owner say that an end is in the store.
func (owner *ownerStream) confirmEnd(end *wire.RunEnd) {
	owner.send(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: end.GetWorker(), Number: end.GetNumber(), Born: end.GetBorn()}}})
}

// finishRuns has runs on the worker end, waits until the owner is told, and has it note them.
func (made *harness) finishRuns(owner *ownerStream, count int) {
	made.t.Helper()
	for number := range count {
		made.startRun(owner, newStartOrderFor(made.worker, numberedTask(number)))
		made.worker.End(numberedTask(number), "done")
		made.waitFor(func() bool { return len(owner.endsOf(numberedTask(number))) > 0 })
		owner.confirmEnd(owner.endsOf(numberedTask(number))[0])
	}
	made.waitFor(func() bool { _, seen := made.worker.Looks(); return seen == int64(count) })
}

// TestEndsAfterRestartAreReported: the owner hears of each end of the next life, whose numbers begin anew,
// and the worker is told to forget none before its owner has noted it.
func TestEndsAfterRestartAreReported(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.finishRuns(owner, 3)
	made.restartWorker(300 * time.Millisecond)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
	for number := 3; number < 6; number++ {
		made.startRun(owner, newStartOrderFor(made.worker, numberedTask(number)))
		made.worker.End(numberedTask(number), "done")
	}
	made.advance(4 * time.Second)
	if _, seen := made.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget its ends up to %d, of which none was noted", seen)
	}
	for number := 3; number < 6; number++ {
		ends := owner.endsOf(numberedTask(number))
		if len(ends) != 1 || ends[0].GetReason() != wire.EndReason_END_DONE {
			t.Errorf("the end of %s was told as %v", numberedTask(number), ends)
		}
	}
}

// TestLateConfirmationForPredecessor: that an end of the life before is in the store has no effect on the next one,
// also where it is an owner of an earlier build that says it, which knows of ids alone.
func TestLateConfirmationForPredecessor(t *testing.T) {
	for name, dated := range map[string]bool{"of this build": true, "of an earlier build": false} {
		t.Run(name, func(t *testing.T) {
			made := newDatedHarness(t)
			owner := made.attachOwnerTo(made.worker)
			made.startRun(owner, newStartOrderFor(made.worker, numberedTask(0)))
			made.worker.End(numberedTask(0), "done")
			made.waitFor(func() bool { return len(owner.endsOf(numberedTask(0))) > 0 })
			before := owner.endsOf(numberedTask(0))[0]
			made.restartWorker(300 * time.Millisecond)
			made.sendHeartbeatOf(made.worker, 1, "ready")
			made.waitReadyAs(owner, made.worker)
			made.startRun(owner, newStartOrderFor(made.worker, numberedTask(1)))
			made.worker.End(numberedTask(1), "done")
			made.advance(time.Second)
			if !dated {
				before.Born = 0
			}
			owner.confirmEnd(before)
			made.advance(2 * time.Second)
			if _, seen := made.worker.Looks(); seen != 0 {
				t.Errorf("the worker was told to forget its ends up to %d", seen)
			}
		})
	}
}

// TestConfirmationForEarlierAgent: an owner keeps what it has to say until it has connected anew, and may
// say it to another process of the agent. What that one was told by the worker may have another number.
func TestConfirmationForEarlierAgent(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.finishRuns(owner, 3)
	made.restartWorker(300 * time.Millisecond)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
	made.startRun(owner, newStartOrderFor(made.worker, numberedTask(3)))
	made.worker.End(numberedTask(3), "done")
	made.waitFor(func() bool { return len(owner.endsOf(numberedTask(3))) > 0 })
	made.stopAgent()
	made.advance(200 * time.Millisecond)
	made.startAgent()
	again := made.attachOwnerTo(made.worker)
	for number := 4; number < 8; number++ {
		made.startRun(again, newStartOrderFor(made.worker, numberedTask(number)))
		made.worker.End(numberedTask(number), "done")
	}
	made.waitFor(func() bool { return len(again.endsOf(numberedTask(7))) > 0 })
	again.confirmEnd(owner.endsOf(numberedTask(3))[0]) // It was the fourth of that process, and is the first of its life.
	for number := 3; number < 6; number++ {
		again.confirmEnd(again.endsOf(numberedTask(number))[0])
	}
	made.advance(2 * time.Second)
	if _, seen := made.worker.Looks(); seen != 3 {
		t.Errorf("the worker was told to forget its ends up to %d", seen)
	}
	for number := 6; number < 8; number++ {
		again.confirmEnd(again.endsOf(numberedTask(number))[0])
	}
	made.waitFor(func() bool { _, seen := made.worker.Looks(); return seen == 5 })
}

// TestWorkerRestartsAfterLeaving: it may start again under its id.
func TestWorkerRestartsAfterLeaving(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.sendHeartbeatOf(made.worker, 2, "draining")
	made.advance(200 * time.Millisecond)
	made.agent.Left(workerID)
	made.restartWorker(300 * time.Millisecond)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
	made.startRun(owner, newStartOrderFor(made.worker, numberedTask(0)))
}

// TestHeartbeatSequenceRestarts: their numbers begin anew, and what they say holds.
func TestHeartbeatSequenceRestarts(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.sendHeartbeatOf(made.worker, 40, "ready")
	made.restartWorker(300 * time.Millisecond)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
	made.sendHeartbeatOf(made.worker, 2, "draining")
	made.waitFor(func() bool {
		owner.send(&wire.OwnerMessage{})
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetDraining() }) != nil
	})
}

// TestLateHeartbeatOfPredecessor: it may arrive after that of the next one, and changes nothing.
func TestLateHeartbeatOfPredecessor(t *testing.T) {
	made := newDatedHarness(t)
	first := made.worker
	owner := made.attachOwnerTo(first)
	made.restartWorker(200 * time.Millisecond)
	second := made.worker
	made.restartWorker(200 * time.Millisecond) // Twice within one heartbeat.
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
	made.startRun(owner, newStartOrderFor(made.worker, numberedTask(0)))
	for range 3 {
		made.sendHeartbeatOf(first, 90, "draining")
		made.sendHeartbeatOf(second, 91, "draining")
		made.advance(500 * time.Millisecond)
	}
	made.advance(2 * time.Second)
	if ends := owner.endsOf(numberedTask(0)); len(ends) > 0 {
		t.Errorf("the run was told as over: %v", ends)
	}
	last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetBorn() != made.worker.Born() || last.GetStatus().GetDraining() {
		t.Errorf("takes care of %v", last.GetStatus())
	}
}

// TestOrdersForPredecessorAreIgnored: none of them has any effect on the next one.
func TestOrdersForPredecessorAreIgnored(t *testing.T) {
	made := newDatedHarness(t)
	first := made.worker
	owner := made.attachOwnerTo(first)
	made.restartWorker(300 * time.Millisecond)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
	made.startRun(owner, newStartOrderFor(made.worker, numberedTask(1)))
	if got := made.orderStart(owner, newStartOrderFor(first, testTask)); got != wire.StartOutcome_START_WRONG_WORKER {
		t.Errorf("the start was answered %v", got)
	}
	owner.send(&wire.OwnerMessage{Stops: []*wire.StopOrder{{Shard: testShard, Epoch: 1, Task: numberedTask(1), Attempt: 1, Worker: workerID, Born: first.Born()}}})
	owner.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{
		Shard: testShard, Epoch: 1, Worker: workerID, Born: first.Born(), Demand: &wire.Demand{MilliCpu: 4000, MemoryMb: 100, Priority: -1},
	}}})
	made.advance(time.Second)
	if _, runs := made.worker.Running(numberedTask(1)); !runs {
		t.Error("the run of the present life was stopped")
	}
}

// TestLeaseAfterRestart: its clock begins again, so that a lease is reckoned on readings of it alone.
func TestLeaseAfterRestart(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	for range 20 {
		made.advance(time.Second)
		owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	}
	made.restartWorker(300 * time.Millisecond)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
	made.startRun(owner, newStartOrderFor(made.worker, numberedTask(0)))
	made.advance(2 * time.Second)
	if left := made.worker.LeaseEnd() - made.worker.Clock(); left <= 0 || left > 5*time.Second {
		t.Errorf("the worker runs on for %v without its agent", left)
	}
}

// restartDuringStart has the owner order a start that gets no answer and is still on its way when the worker
// starts again.
func (made *harness) restartDuringStart(owner *ownerStream) {
	made.t.Helper()
	made.worker.Fail(func(path string) wireworker.Fault {
		if path == "/v1/run-start" {
			return wireworker.FaultLate
		}
		return wireworker.FaultReset
	})
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{newStartOrderFor(made.worker, testTask)}})
	made.advanceUnpolled(200 * time.Millisecond)
	made.restartWorker(100 * time.Millisecond)
}

// TestLateStartReachesRestartedWorker: a start without an answer may be carried out by the next life, which has seen
// no fencing token. Its owner is not told that it did not start while it goes, nor that it is lost once it
// has ended: the task would be started beside it, or after its end.
func TestLateStartReachesRestartedWorker(t *testing.T) {
	tests := map[string]struct {
		goes func(made *harness)
		want wire.EndReason
	}{
		"it goes":      {func(*harness) {}, wire.EndReason_END_STOPPED},
		"it has ended": {func(made *harness) { made.worker.End(testTask, "done") }, wire.EndReason_END_DONE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newDatedHarness(t)
			owner := made.attachOwnerTo(made.worker)
			made.restartDuringStart(owner)
			made.worker.CarryOut()
			if !made.isRunning() {
				t.Fatal("the late start was not carried out")
			}
			test.goes(made)
			made.sendHeartbeatOf(made.worker, 1, "ready")
			made.waitReadyAs(owner, made.worker)
			made.waitFor(func() bool { return len(owner.endsOf(testTask)) > 0 })
			made.advance(time.Second)
			ends := owner.endsOf(testTask)
			if len(ends) != 1 || ends[0].GetReason() != test.want {
				t.Errorf("told as over by %v", ends)
			}
			if owner.startOutcome() == wire.StartOutcome_START_WORKER_FAILED {
				t.Error("told as not started")
			}
			made.worker.CarryOut()
			if made.isRunning() {
				t.Error("it goes again")
			}
		})
	}
}

// TestLateStartAfterReplacement: once owners have been told that a life is over, the next one obeys no
// order of it any more.
func TestLateStartAfterReplacement(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.restartDuringStart(owner)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitFor(func() bool {
		return len(owner.endsOf(testTask)) > 0 || owner.startOutcome() != wire.StartOutcome_START_UNSPECIFIED
	})
	made.worker.CarryOut()
	if made.isRunning() {
		t.Error("the start was carried out after its owner was told that it is over")
	}
}

// TestCrashWithRestartUnderSameID: a run that had just begun when its worker went down may be why, also where the worker
// starts again under its id.
func TestCrashWithRestartUnderSameID(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.startRun(owner, newStartOrderFor(made.worker, testTask))
	made.restartWorker(300 * time.Millisecond)
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitForEnd(owner, wire.EndReason_END_CRASHED)
}

// TestRestartDetectedByAnswer: the worker may be found to have started again by its answer, before it sends a
// heartbeat. Nothing more is asked of it then as of the life before, and owners give it nothing.
func TestRestartDetectedByAnswer(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.finishRuns(owner, 3)
	made.restartWorker(300 * time.Millisecond)
	made.advance(time.Second)
	if _, seen := made.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget its ends up to %d", seen)
	}
	last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetReady() {
		t.Error("told as ready")
	}
	made.sendHeartbeatOf(made.worker, 1, "ready")
	made.waitReadyAs(owner, made.worker)
}

// TestInvalidStartTime: a worker that does not say when it started is used as before, and one that
// says it in one heartbeat is not taken for another one by a heartbeat that lacks it.
func TestInvalidStartTime(t *testing.T) {
	made := newDatedHarness(t)
	owner := made.attachOwnerTo(made.worker)
	made.startRun(owner, newStartOrderFor(made.worker, testTask))
	foreign := map[string]string{
		"missing":    `"seq":9`,
		"a text":     `"seq":9,"born":"1700000000000"`,
		"not whole":  `"seq":9,"born":1700000000000.5`,
		"no number":  `"seq":9,"born":null`,
		"not a date": `"seq":9,"born":-4`,
		"a list":     `"seq":9,"born":[1]`,
	}
	sound := made.heartbeatJSON(made.worker, 9, "draining")
	for name, tail := range foreign {
		before, _, _ := strings.Cut(sound, `"seq"`)
		body := before + tail + "}"
		if code := made.putHeartbeat(body); name != "missing" && code != http.StatusBadRequest {
			t.Errorf("%s: answered %d", name, code)
		}
	}
	made.advance(2 * time.Second)
	last := owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetDraining() || last.GetStatus().GetBorn() != made.worker.Born() || !made.isRunning() {
		t.Errorf("takes care of %v", last.GetStatus())
	}
}

// TestRestartWithoutStartTimeInHeartbeats: the lives of a worker whose heartbeats don't say when it started are told apart
// by its answers.
func TestRestartWithoutStartTimeInHeartbeats(t *testing.T) {
	made := newDatedHarness(t)
	made.sendHeartbeat()
	owner := made.attachOwner(1)
	made.waitReadyAs(owner, made.worker)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	made.finishRuns(owner, 2)
	made.restartWorker(300 * time.Millisecond)
	made.advance(time.Second)
	if _, seen := made.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget its ends up to %d", seen)
	}
}

// TestRestartedWorkerWithHigherToken: a look for the life before, under a token that was raised since the agent
// started, may reach the next life first. That one is taken care of all the same. The case that forced it: the
// next life refused each question for its token, and its room stood unused for good.
func TestRestartedWorkerWithHigherToken(t *testing.T) {
	tests := map[string]time.Duration{"raised by this agent": 0, "raised by an agent whose clock was ahead": time.Minute}
	for name, ahead := range tests {
		t.Run(name, func(t *testing.T) {
			made := newDatedHarness(t)
			owner := made.attachOwnerTo(made.worker)
			made.worker.Fail(func(path string) wireworker.Fault {
				if path == "/v1/run-start" {
					return wireworker.FaultReset
				}
				return wireworker.FaultNone
			})
			if got := made.orderStart(owner, newStartOrderFor(made.worker, testTask)); got != wire.StartOutcome_START_WORKER_FAILED {
				t.Fatalf("the start was answered %v", got)
			}
			made.restartWorker(300 * time.Millisecond)
			made.waitFor(func() bool { looks, _ := made.worker.Looks(); return looks > 0 })
			made.worker.RaiseToken(ahead)
			made.advance(500 * time.Millisecond)
			for beat := range 3 {
				made.sendHeartbeatOf(made.worker, beat+1, "ready")
				made.advance(500 * time.Millisecond)
			}
			made.waitReadyAs(owner, made.worker)
			made.startRun(owner, newStartOrderFor(made.worker, numberedTask(1)))
		})
	}
}

// TestAccounted: an agent knows all that runs once its worker has listed it, also while that is silent
// later, and without any worker once every lease that an agent before may have renewed is over.
func TestAccounted(t *testing.T) {
	accounts := func(owner *ownerStream) bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus().GetAccounted()
	}
	speaks := func(made *harness, owner *ownerStream, length time.Duration) {
		for begin := made.clock.Now(); made.clock.Now().Sub(begin) < length; {
			owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
			made.advanceUnpolled(500 * time.Millisecond)
		}
	}
	t.Run("no worker has come", func(t *testing.T) {
		made := newHarness(t)
		owner := made.attachOwner(1)
		speaks(made, owner, 3*time.Second)
		if accounts(owner) {
			t.Error("accounts for runs whose lease may go on")
		}
		speaks(made, owner, 3*time.Second)
		if !accounts(owner) {
			t.Error("accounts for nothing though every lease is over")
		}
	})
	t.Run("the worker is silent from the start", func(t *testing.T) {
		made := newHarness(t)
		made.crashWorker()
		made.sendHeartbeat()
		owner := made.attachOwner(1)
		speaks(made, owner, 3*time.Second)
		if accounts(owner) {
			t.Error("accounts for runs whose lease may go on")
		}
		speaks(made, owner, 3*time.Second)
		if !accounts(owner) {
			t.Error("accounts for nothing though every lease is over")
		}
	})
	t.Run("the worker falls silent", func(t *testing.T) {
		made := newHarness(t)
		owner := made.attachReadyOwner(1)
		made.crashWorker()
		speaks(made, owner, time.Second)
		if !accounts(owner) {
			t.Error("does not account for what the worker had listed")
		}
	})
}

// isRegisteredAsEnded returns what the store has of the agent, once it has been told that a life is over or a while has passed.
func (made *harness) isRegisteredAsEnded(store *wirestore.Store, over *wireworker.Worker) bool {
	made.t.Helper()
	for range 40 {
		made.advanceUnpolled(50 * time.Millisecond)
		value, found := store.Newest(job.TopicAgents, job.AgentPartition("side-1", shardCount), "side-1")
		if !found {
			continue
		}
		record := &job.AgentRecord{}
		if err := proto.Unmarshal(value, record); err != nil {
			made.t.Fatal(err)
		}
		if slices.Contains(record.EndedIncarnations(), incarnation.New(workerID, over.Born())) {
			return true
		}
	}
	return false
}

// TestCarriedOverOrderDelaysRegistration: owners read from the store that a life is over, and release its runs. Where
// the next life has carried out an order of it, the end of that run is still to reach its owner. The case that
// forced it: six tasks were started again some milliseconds before their ends as done were heard.
func TestCarriedOverOrderDelaysRegistration(t *testing.T) {
	for name, carriedOut := range map[string]bool{"carried out by the next life": true, "not carried out": false} {
		t.Run(name, func(t *testing.T) {
			made := newDatedHarness(t)
			store := wirestore.New(shardCount, made.clock.Now)
			served := httptest.NewServer(store)
			t.Cleanup(func() {
				served.CloseClientConnections()
				served.Close()
			})
			go made.agent.Register(made.ctx, platform.NewStore(strings.TrimPrefix(served.URL, "http://"), platform.Transport()), "10.0.0.1:1")
			first := made.worker
			owner := made.attachOwnerTo(first)
			made.restartDuringStart(owner)
			if carriedOut {
				made.worker.CarryOut()
				made.worker.End(testTask, "done")
			}
			made.sendHeartbeatOf(made.worker, 1, "ready")
			made.waitReadyAs(owner, made.worker)
			if over := made.isRegisteredAsEnded(store, first); over == carriedOut {
				t.Errorf("said to be over: %v", over)
			}
		})
	}
}
