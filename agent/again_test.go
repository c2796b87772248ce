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

// bornBench is a bench whose worker says when it started.
func bornBench(t *testing.T) *bench {
	made := newBench(t)
	made.worker = wireworker.NewDated(worker, made.clock)
	made.present.Store(made.worker)
	return made
}

// says has a life of the worker send a heartbeat with a number.
func (made *bench) says(of *wireworker.Worker, sequence int, state string) {
	made.t.Helper()
	if code := made.beatWith(made.beatOf(of, sequence, state)); code != http.StatusOK {
		made.t.Fatalf("the heartbeat was answered %d", code)
	}
}

// beatWith sends a heartbeat as it stands and returns how it was answered.
func (made *bench) beatWith(body string) int {
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPut, "/v1/instances/"+worker, strings.NewReader(body))
	platform.BeatHandler(made.beside).ServeHTTP(answer, request)
	return answer.Code
}

func (made *bench) beatOf(of *wireworker.Worker, sequence int, state string) string {
	return fmt.Sprintf(`{"service":"verbale","address":%q,"zone":%q,"state":%q,"capacity":{"cpu":4000,"mem_mb":8000},"seq":%d,"born":%d}`,
		strings.TrimPrefix(made.server.URL, "http://"), domain, state, sequence, of.Born())
}

// startAgain has the worker start again under its id after it was away for a while.
func (made *bench) startAgain(away time.Duration) {
	made.t.Helper()
	next := made.worker.StartAgain()
	made.server.CloseClientConnections()
	made.passSilently(away)
	made.worker = next
	made.present.Store(next)
}

// attachTo connects an owner to the agent of a life that is ready, and has it grant time for the whole test.
func (made *bench) attachTo(of *wireworker.Worker) *stream {
	made.t.Helper()
	made.says(of, 1, "ready")
	owner := made.attach(1)
	made.readyAs(owner, of)
	owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	return owner
}

// readyAs waits until a life was asked what runs, and the owner is told that it is ready. That is told
// without the moment of its start by a build that doesn't know lives apart.
func (made *bench) readyAs(owner *stream, of *wireworker.Worker) {
	made.t.Helper()
	made.until(func() bool {
		looks, _ := of.Looks()
		status := owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus()
		return looks > 0 && status.GetReady() && (status.GetBorn() == of.Born() || status.GetBorn() == 0)
	})
}

// startAt orders a run of a task on a life.
func startAt(of *wireworker.Worker, task string) *wire.StartOrder {
	order := start(1)
	order.Task, order.Born = task, of.Born()
	return order
}

// numbered names a task of the job.
func numbered(number int) string { return fmt.Sprintf("0123456789abcdef.0.0.%d", number) }

// runsHere has the owner order a run, and waits until it goes.
func (made *bench) runsHere(owner *stream, order *wire.StartOrder) {
	made.t.Helper()
	owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	made.until(func() bool {
		attempt, runs := made.worker.Running(order.GetTask())
		return runs && attempt == order.GetAttempt()
	})
}

// told returns the ends that the owner was told of a task.
func (owner *stream) told(task string) []*wire.RunEnd {
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

// seen has the owner say that an end is in the store.
func (owner *stream) seen(end *wire.RunEnd) {
	owner.tell(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: end.GetWorker(), Number: end.GetNumber(), Born: end.GetBorn()}}})
}

// endsAsDone has runs on the worker end, waits until the owner is told, and has it note them.
func (made *bench) endsAsDone(owner *stream, count int) {
	made.t.Helper()
	for number := range count {
		made.runsHere(owner, startAt(made.worker, numbered(number)))
		made.worker.End(numbered(number), "done")
		made.until(func() bool { return len(owner.told(numbered(number))) > 0 })
		owner.seen(owner.told(numbered(number))[0])
	}
	made.until(func() bool { _, seen := made.worker.Looks(); return seen == int64(count) })
}

// TestEndsOfTheNextLifeAreRead: the owner hears of each end of the next life, whose numbers begin anew,
// and the worker is told to forget none before its owner has noted it.
func TestEndsOfTheNextLifeAreRead(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.endsAsDone(owner, 3)
	made.startAgain(300 * time.Millisecond)
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
	for number := 3; number < 6; number++ {
		made.runsHere(owner, startAt(made.worker, numbered(number)))
		made.worker.End(numbered(number), "done")
	}
	made.pass(4 * time.Second)
	if _, seen := made.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget its ends up to %d, of which none was noted", seen)
	}
	for number := 3; number < 6; number++ {
		ends := owner.told(numbered(number))
		if len(ends) != 1 || ends[0].GetReason() != wire.EndReason_END_DONE {
			t.Errorf("the end of %s was told as %v", numbered(number), ends)
		}
	}
}

// TestLateWordOnAnEndOfBefore: that an end of the life before is in the store has no effect on the next one,
// also where it is an owner of an earlier build that says it, which knows of ids alone.
func TestLateWordOnAnEndOfBefore(t *testing.T) {
	for name, dated := range map[string]bool{"of this build": true, "of an earlier build": false} {
		t.Run(name, func(t *testing.T) {
			made := bornBench(t)
			owner := made.attachTo(made.worker)
			made.runsHere(owner, startAt(made.worker, numbered(0)))
			made.worker.End(numbered(0), "done")
			made.until(func() bool { return len(owner.told(numbered(0))) > 0 })
			before := owner.told(numbered(0))[0]
			made.startAgain(300 * time.Millisecond)
			made.says(made.worker, 1, "ready")
			made.readyAs(owner, made.worker)
			made.runsHere(owner, startAt(made.worker, numbered(1)))
			made.worker.End(numbered(1), "done")
			made.pass(time.Second)
			if !dated {
				before.Born = 0
			}
			owner.seen(before)
			made.pass(2 * time.Second)
			if _, seen := made.worker.Looks(); seen != 0 {
				t.Errorf("the worker was told to forget its ends up to %d", seen)
			}
		})
	}
}

// TestWordOnAnEndThatAnAgentBeforeTold: an owner keeps what it has to say until it has connected anew, and may
// say it to another process of the agent. What that one was told by the worker may have another number.
func TestWordOnAnEndThatAnAgentBeforeTold(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.endsAsDone(owner, 3)
	made.startAgain(300 * time.Millisecond)
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
	made.runsHere(owner, startAt(made.worker, numbered(3)))
	made.worker.End(numbered(3), "done")
	made.until(func() bool { return len(owner.told(numbered(3))) > 0 })
	made.kill()
	made.pass(200 * time.Millisecond)
	made.begin()
	again := made.attachTo(made.worker)
	for number := 4; number < 8; number++ {
		made.runsHere(again, startAt(made.worker, numbered(number)))
		made.worker.End(numbered(number), "done")
	}
	made.until(func() bool { return len(again.told(numbered(7))) > 0 })
	again.seen(owner.told(numbered(3))[0]) // It was the fourth of that process, and is the first of its life.
	for number := 3; number < 6; number++ {
		again.seen(again.told(numbered(number))[0])
	}
	made.pass(2 * time.Second)
	if _, seen := made.worker.Looks(); seen != 3 {
		t.Errorf("the worker was told to forget its ends up to %d", seen)
	}
	for number := 6; number < 8; number++ {
		again.seen(again.told(numbered(number))[0])
	}
	made.until(func() bool { _, seen := made.worker.Looks(); return seen == 5 })
}

// TestWorkerThatLeftIsUsedAgain: it may start again under its id.
func TestWorkerThatLeftIsUsedAgain(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.says(made.worker, 2, "draining")
	made.pass(200 * time.Millisecond)
	made.beside.Left(worker)
	made.startAgain(300 * time.Millisecond)
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
	made.runsHere(owner, startAt(made.worker, numbered(0)))
}

// TestHeartbeatsOfTheNextLifeCount: their numbers begin anew, and what they say holds.
func TestHeartbeatsOfTheNextLifeCount(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.says(made.worker, 40, "ready")
	made.startAgain(300 * time.Millisecond)
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
	made.says(made.worker, 2, "draining")
	made.until(func() bool {
		owner.tell(&wire.OwnerMessage{})
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus().GetDraining() }) != nil
	})
}

// TestHeartbeatOfTheLifeBeforeIsLate: it may arrive after that of the next one, and changes nothing.
func TestHeartbeatOfTheLifeBeforeIsLate(t *testing.T) {
	made := bornBench(t)
	first := made.worker
	owner := made.attachTo(first)
	made.startAgain(200 * time.Millisecond)
	second := made.worker
	made.startAgain(200 * time.Millisecond) // Twice within one heartbeat.
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
	made.runsHere(owner, startAt(made.worker, numbered(0)))
	for range 3 {
		made.says(first, 90, "draining")
		made.says(second, 91, "draining")
		made.pass(500 * time.Millisecond)
	}
	made.pass(2 * time.Second)
	if ends := owner.told(numbered(0)); len(ends) > 0 {
		t.Errorf("the run was told as over: %v", ends)
	}
	last := owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetBorn() != made.worker.Born() || last.GetStatus().GetDraining() {
		t.Errorf("takes care of %v", last.GetStatus())
	}
}

// TestOrdersForTheLifeBefore: none of them has any effect on the next one.
func TestOrdersForTheLifeBefore(t *testing.T) {
	made := bornBench(t)
	first := made.worker
	owner := made.attachTo(first)
	made.startAgain(300 * time.Millisecond)
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
	made.runsHere(owner, startAt(made.worker, numbered(1)))
	if got := made.starts(owner, startAt(first, task)); got != wire.StartOutcome_START_WRONG_WORKER {
		t.Errorf("the start was answered %v", got)
	}
	owner.tell(&wire.OwnerMessage{Stops: []*wire.StopOrder{{Shard: shard, Epoch: 1, Task: numbered(1), Attempt: 1, Worker: worker, Born: first.Born()}}})
	owner.tell(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{
		Shard: shard, Epoch: 1, Worker: worker, Born: first.Born(), Demand: &wire.Demand{MilliCpu: 4000, MemoryMb: 100, Priority: -1},
	}}})
	made.pass(time.Second)
	if _, runs := made.worker.Running(numbered(1)); !runs {
		t.Error("the run of the present life was stopped")
	}
}

// TestLeaseOfTheNextLife: its clock begins again, so that a lease is reckoned on readings of it alone.
func TestLeaseOfTheNextLife(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	for range 20 {
		made.pass(time.Second)
		owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	}
	made.startAgain(300 * time.Millisecond)
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
	made.runsHere(owner, startAt(made.worker, numbered(0)))
	made.pass(2 * time.Second)
	if left := made.worker.LeaseEnd() - made.worker.Clock(); left <= 0 || left > 5*time.Second {
		t.Errorf("the worker runs on for %v without its agent", left)
	}
}

// startsAgainUnanswered has the owner order a start that gets no answer and is still on its way when the worker
// starts again.
func (made *bench) startsAgainUnanswered(owner *stream) {
	made.t.Helper()
	made.worker.Fail(func(path string) wireworker.Fault {
		if path == "/v1/run-start" {
			return wireworker.FaultLate
		}
		return wireworker.FaultReset
	})
	owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{startAt(made.worker, task)}})
	made.passSilently(200 * time.Millisecond)
	made.startAgain(100 * time.Millisecond)
}

// TestLateStartOfTheLifeBefore: a start without an answer may be carried out by the next life, which has seen
// no fencing token. Its owner is not told that it did not start while it goes, nor that it is lost once it
// has ended: the task would be started beside it, or after its end.
func TestLateStartOfTheLifeBefore(t *testing.T) {
	tests := map[string]struct {
		goes func(made *bench)
		want wire.EndReason
	}{
		"it goes":      {func(*bench) {}, wire.EndReason_END_STOPPED},
		"it has ended": {func(made *bench) { made.worker.End(task, "done") }, wire.EndReason_END_DONE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := bornBench(t)
			owner := made.attachTo(made.worker)
			made.startsAgainUnanswered(owner)
			made.worker.CarryOut()
			if !made.runs() {
				t.Fatal("the late start was not carried out")
			}
			test.goes(made)
			made.says(made.worker, 1, "ready")
			made.readyAs(owner, made.worker)
			made.until(func() bool { return len(owner.told(task)) > 0 })
			made.pass(time.Second)
			ends := owner.told(task)
			if len(ends) != 1 || ends[0].GetReason() != test.want {
				t.Errorf("told as over by %v", ends)
			}
			if owner.outcome() == wire.StartOutcome_START_WORKER_FAILED {
				t.Error("told as not started")
			}
			made.worker.CarryOut()
			if made.runs() {
				t.Error("it goes again")
			}
		})
	}
}

// TestStartThatIsLateAfterTheTakeOver: once owners have been told that a life is over, the next one obeys no
// order of it any more.
func TestStartThatIsLateAfterTheTakeOver(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.startsAgainUnanswered(owner)
	made.says(made.worker, 1, "ready")
	made.until(func() bool {
		return len(owner.told(task)) > 0 || owner.outcome() != wire.StartOutcome_START_UNSPECIFIED
	})
	made.worker.CarryOut()
	if made.runs() {
		t.Error("the start was carried out after its owner was told that it is over")
	}
}

// TestCrashUnderOneID: a run that had just begun when its worker went down may be why, also where the worker
// starts again under its id.
func TestCrashUnderOneID(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.runsHere(owner, startAt(made.worker, task))
	made.startAgain(300 * time.Millisecond)
	made.says(made.worker, 1, "ready")
	made.endOf(owner, wire.EndReason_END_CRASHED)
}

// TestAnswerOfTheNextLife: the worker may be found to have started again by its answer, before it sends a
// heartbeat. Nothing more is asked of it then as of the life before, and owners give it nothing.
func TestAnswerOfTheNextLife(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.endsAsDone(owner, 3)
	made.startAgain(300 * time.Millisecond)
	made.pass(time.Second)
	if _, seen := made.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget its ends up to %d", seen)
	}
	last := owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetReady() {
		t.Error("told as ready")
	}
	made.says(made.worker, 1, "ready")
	made.readyAs(owner, made.worker)
}

// TestWorkersOfTheEarlierTerm: a worker that does not say when it started is used as before, and one that
// says it in one heartbeat is not taken for another one by a heartbeat that lacks it.
func TestWorkersOfTheEarlierTerm(t *testing.T) {
	made := bornBench(t)
	owner := made.attachTo(made.worker)
	made.runsHere(owner, startAt(made.worker, task))
	foreign := map[string]string{
		"missing":    `"seq":9`,
		"a text":     `"seq":9,"born":"1700000000000"`,
		"not whole":  `"seq":9,"born":1700000000000.5`,
		"no number":  `"seq":9,"born":null`,
		"not a date": `"seq":9,"born":-4`,
		"a list":     `"seq":9,"born":[1]`,
	}
	sound := made.beatOf(made.worker, 9, "draining")
	for name, tail := range foreign {
		before, _, _ := strings.Cut(sound, `"seq"`)
		body := before + tail + "}"
		if code := made.beatWith(body); name != "missing" && code != http.StatusBadRequest {
			t.Errorf("%s: answered %d", name, code)
		}
	}
	made.pass(2 * time.Second)
	last := owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil })
	if last.GetStatus().GetDraining() || last.GetStatus().GetBorn() != made.worker.Born() || !made.runs() {
		t.Errorf("takes care of %v", last.GetStatus())
	}
}

// TestWorkerWhoseAnswersSayItAlone: the lives of a worker whose heartbeats don't say when it started are told apart
// by its answers.
func TestWorkerWhoseAnswersSayItAlone(t *testing.T) {
	made := bornBench(t)
	made.beat()
	owner := made.attach(1)
	made.readyAs(owner, made.worker)
	owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
	made.endsAsDone(owner, 2)
	made.startAgain(300 * time.Millisecond)
	made.pass(time.Second)
	if _, seen := made.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget its ends up to %d", seen)
	}
}

// TestNextLifeThatHasSeenALaterToken: a look for the life before, under a token that was raised since the agent
// started, may reach the next life first. That one is taken care of all the same. The case that forced it: the
// next life refused each question for its token, and its room stood unused for good.
func TestNextLifeThatHasSeenALaterToken(t *testing.T) {
	tests := map[string]time.Duration{"raised by this agent": 0, "raised by an agent whose clock was ahead": time.Minute}
	for name, ahead := range tests {
		t.Run(name, func(t *testing.T) {
			made := bornBench(t)
			owner := made.attachTo(made.worker)
			made.worker.Fail(func(path string) wireworker.Fault {
				if path == "/v1/run-start" {
					return wireworker.FaultReset
				}
				return wireworker.FaultNone
			})
			if got := made.starts(owner, startAt(made.worker, task)); got != wire.StartOutcome_START_WORKER_FAILED {
				t.Fatalf("the start was answered %v", got)
			}
			made.startAgain(300 * time.Millisecond)
			made.until(func() bool { looks, _ := made.worker.Looks(); return looks > 0 })
			made.worker.RaiseToken(ahead)
			made.pass(500 * time.Millisecond)
			for beat := range 3 {
				made.says(made.worker, beat+1, "ready")
				made.pass(500 * time.Millisecond)
			}
			made.readyAs(owner, made.worker)
			made.runsHere(owner, startAt(made.worker, numbered(1)))
		})
	}
}

// TestWhatAnAgentAccountsFor: an agent knows all that runs once its worker has listed it, also while that is silent
// later, and without any worker once every lease that an agent before may have renewed is over.
func TestWhatAnAgentAccountsFor(t *testing.T) {
	accounts := func(owner *stream) bool {
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus() != nil }).GetStatus().GetAccounted()
	}
	speaks := func(made *bench, owner *stream, length time.Duration) {
		for begin := made.clock.Now(); made.clock.Now().Sub(begin) < length; {
			owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour)})
			made.passSilently(500 * time.Millisecond)
		}
	}
	t.Run("no worker has come", func(t *testing.T) {
		made := newBench(t)
		owner := made.attach(1)
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
		made := newBench(t)
		made.crash()
		made.beat()
		owner := made.attach(1)
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
		made := newBench(t)
		owner := made.attachReady(1)
		made.crash()
		speaks(made, owner, time.Second)
		if !accounts(owner) {
			t.Error("does not account for what the worker had listed")
		}
	})
}

// registered returns what the store has of the agent, once it has been told that a life is over or a while has passed.
func (made *bench) registered(store *wirestore.Store, over *wireworker.Worker) bool {
	made.t.Helper()
	for range 40 {
		made.passSilently(50 * time.Millisecond)
		value, found := store.Newest(job.TopicAgents, job.AgentPartition("side-1", shards), "side-1")
		if !found {
			continue
		}
		record := &job.AgentRecord{}
		if err := proto.Unmarshal(value, record); err != nil {
			made.t.Fatal(err)
		}
		if slices.Contains(record.EndedIncarnations(), incarnation.New(worker, over.Born())) {
			return true
		}
	}
	return false
}

// TestLifeWhoseOrderWentOnIsNotSaidToBeOver: owners read from the store that a life is over, and release its runs. Where
// the next life has carried out an order of it, the end of that run is still to reach its owner. The case that
// forced it: six tasks were started again some milliseconds before their ends as done were heard.
func TestLifeWhoseOrderWentOnIsNotSaidToBeOver(t *testing.T) {
	for name, carriedOut := range map[string]bool{"carried out by the next life": true, "not carried out": false} {
		t.Run(name, func(t *testing.T) {
			made := bornBench(t)
			store := wirestore.New(shards, made.clock.Now)
			served := httptest.NewServer(store)
			t.Cleanup(func() {
				served.CloseClientConnections()
				served.Close()
			})
			go made.beside.Register(made.ctx, platform.NewStore(strings.TrimPrefix(served.URL, "http://"), platform.Transport()), "10.0.0.1:1")
			first := made.worker
			owner := made.attachTo(first)
			made.startsAgainUnanswered(owner)
			if carriedOut {
				made.worker.CarryOut()
				made.worker.End(task, "done")
			}
			made.says(made.worker, 1, "ready")
			made.readyAs(owner, made.worker)
			if over := made.registered(store, first); over == carriedOut {
				t.Errorf("said to be over: %v", over)
			}
		})
	}
}
