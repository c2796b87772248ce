package owner

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/wire"
)

const (
	jobID   = "0123456789abcdef"
	taskOne = jobID + ".0.0.0"
	agentAt = "10.0.0.1:7001"
	life    = "i-1"
)

// bench is an owner whose decisions the test makes itself: it has taken the
// job's shard, and one agent is attached.
type bench struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	store  *wirestore.Store
	owner  *Owner
	held   *shard
	view   *agentView
	agentN int64
}

func newOwner(t *testing.T, clock clockwork.Clock, store *wirestore.Store) *Owner {
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return New(Options{
		Name: "edge-1", Address: "10.0.0.9:7000", Shards: 8, Grant: 6 * time.Second, Silent: 1500 * time.Millisecond,
		Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.Transport()), Clock: clock, Events: event.Discard(),
	})
}

func newBench(t *testing.T) *bench {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	made := &bench{t: t, clock: clock, store: store, owner: newOwner(t, clock, store)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	made.owner.ctx = ctx
	made.owner.joinedAt = clock.Now()
	number := job.ShardOf(jobID, 8)
	shardCtx, cancelShard := context.WithCancel(ctx)
	made.held = &shard{
		number: number, epoch: 3, takenAt: clock.Now(), ctx: shardCtx, cancel: cancelShard, active: true,
		jobs: map[string]*job.Job{}, live: map[string]*job.Job{}, dirty: map[string]*job.Job{},
		durable: map[string]bool{}, cancelled: map[string]bool{},
	}
	made.owner.shards[number] = made.held
	made.view = &agentView{
		address: agentAt, status: &wire.WorkerStatus{}, runs: map[string]*runEntry{},
		message: &wire.OwnerMessage{}, claimSeq: map[int]int64{}, ended: map[string]bool{},
	}
	made.owner.agents[agentAt] = made.view
	return made
}

func submission() *job.Submission {
	return &job.Submission{
		Id: jobID, Queue: "r-1", Service: "verbale", Attempts: 2, Extension: 2,
		Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000}},
	}
}

func record(t *testing.T, key string, message proto.Message) platform.Record {
	value, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Record{Key: key, Value: value}
}

func (made *bench) read(records ...platform.Record) {
	made.owner.noteTail(made.held, platform.Tail{Records: records}, made.clock.Now())
}

func (made *bench) submit() *job.Job {
	made.read(record(made.t, job.SubmissionKey(jobID), submission()))
	return made.held.jobs[jobID]
}

func (made *bench) attach() {
	made.owner.noteAttached(made.view, &link{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}})
	made.hear(&wire.AgentMessage{})
}

// hear has the agent say something, with a worker that has room.
func (made *bench) hear(message *wire.AgentMessage) {
	message.Agent = "agent"
	if message.Status == nil {
		message.Status = &wire.WorkerStatus{
			Worker: life, Service: "verbale", Ready: true, MilliCpu: 4000, MemoryMb: 4000, FreeMilliCpu: 4000, FreeMemoryMb: 4000,
		}
	}
	message.Handled = made.agentN
	made.owner.noteAgent(made.view, made.view.link, message, made.clock.Now())
}

// sent returns what has gone out to the agent, which then has handled it.
func (made *bench) sent() []*wire.OwnerMessage {
	var messages []*wire.OwnerMessage
	for {
		select {
		case message := <-made.view.link.outbox:
			messages = append(messages, message)
			made.agentN = message.GetSequence()
		default:
			return messages
		}
	}
}

func starts(messages []*wire.OwnerMessage) []*wire.StartOrder {
	var orders []*wire.StartOrder
	for _, message := range messages {
		orders = append(orders, message.GetStarts()...)
	}
	return orders
}

// settle waits until what is on its way to the store has come back.
func (made *bench) settle() {
	for made.held.writing {
		made.owner.decisions.RunOne(made.clock.Now())
	}
}

func (made *bench) step() {
	made.owner.step(made.clock.Now())
}

func TestOrderOnlyOnceTheStartIsInTheStore(t *testing.T) {
	made := newBench(t)
	made.submit()
	made.attach()
	made.step()
	if got := starts(made.sent()); len(got) != 0 {
		t.Fatalf("ordered before the store had it: %v", got)
	}
	made.settle()
	if _, kept := made.store.Newest(job.TopicRuns, made.held.number, jobID); !kept {
		t.Fatal("the start is not in the store")
	}
	made.step()
	if got := starts(made.sent()); len(got) != 1 || got[0].GetTask() != taskOne || got[0].GetEpoch() != 3 {
		t.Errorf("ordered: %v", got)
	}
}

func TestEndIsSeenOnlyOnceItIsInTheStore(t *testing.T) {
	made := newBench(t)
	of := made.submit()
	made.attach()
	made.step()
	made.settle()
	made.step()
	made.sent()
	made.hear(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: life, Number: 4, Task: taskOne, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	if of.State() != job.State_STATE_COMPLETED {
		t.Fatalf("state %v", of.State())
	}
	if shown := made.held.shown(of); shown != job.State_STATE_RUNNING {
		t.Errorf("shown as %v before the store had it", shown)
	}
	made.step()
	for _, message := range made.sent() {
		if len(message.GetSeen()) > 0 {
			t.Error("seen before the store had it")
		}
	}
	made.settle()
	made.step()
	seen := 0
	for _, message := range made.sent() {
		seen += len(message.GetSeen())
	}
	if seen != 1 || made.held.shown(of) != job.State_STATE_COMPLETED {
		t.Errorf("seen %d, shown %v", seen, made.held.shown(of))
	}
}

// TestCancellationReadBeforeItsJob: the newest records come in the order of keys.
// The case that forced it: after the store had dropped its history a job ran on
// that had been cancelled.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	made := newBench(t)
	made.read(
		record(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}),
		record(t, job.SubmissionKey(jobID), submission()),
	)
	if got := made.held.jobs[jobID].State(); got != job.State_STATE_CANCELLED {
		t.Errorf("state %v", got)
	}
}

// TestInheritedRunWaitsOutItsGrant: the owner before may have granted time until
// it gave up. The case that forced it: after all processes had been killed, tasks
// were started a second time beside their first runs.
func TestInheritedRunWaitsOutItsGrant(t *testing.T) {
	made := newBench(t)
	of := made.submit()
	of.Start(of.Tasks()[0], job.Place{Worker: life, Agent: agentAt}, made.clock.Now())
	made.owner.adoptRuns(made.held, made.clock.Now())
	made.step()
	made.clock.Advance(grantAlone)
	made.owner.joinedAt = made.clock.Now()
	made.step()
	if of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while the owner before may still have granted")
	}
	made.clock.Advance(7 * time.Second)
	made.step()
	if of.Tasks()[0].State() == job.TaskState_TASK_STARTED {
		t.Error("not released although every grant must have ended")
	}
}

// TestInheritedRunIsReleasedWhereItsAgentLacksIt: once the agent has heard of the
// claim, no order of an earlier owner can start anything.
func TestInheritedRunIsReleasedWhereItsAgentLacksIt(t *testing.T) {
	made := newBench(t)
	of := made.submit()
	of.Start(of.Tasks()[0], job.Place{Worker: life, Agent: agentAt}, made.clock.Now())
	made.owner.adoptRuns(made.held, made.clock.Now())
	made.attach()
	made.hear(&wire.AgentMessage{Complete: true})
	if of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released before the agent had heard of the claim")
	}
	made.step()
	made.sent()
	made.hear(&wire.AgentMessage{Complete: true})
	if of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Error("not released although the agent lacks it")
	}
}

func TestSilentAgentKeepsItsRunsUntilTheGrantEnds(t *testing.T) {
	made := newBench(t)
	of := made.submit()
	made.attach()
	made.step()
	made.settle()
	made.step()
	made.sent()
	made.owner.noteDetached(made.view, made.view.link, context.Canceled)
	made.clock.Advance(6 * time.Second)
	made.step()
	if of.Tasks()[0].Attempt() != 1 || of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while its grant runs")
	}
	made.clock.Advance(2 * time.Second)
	made.step()
	if of.Tasks()[0].State() == job.TaskState_TASK_STARTED {
		t.Error("not released although the grant must have ended")
	}
}

// TestAnotherIncarnationEndsTheRuns: the case that forced it left lasting tasks
// waiting for twenty seconds after all machines had lost power.
func TestAnotherIncarnationEndsTheRuns(t *testing.T) {
	made := newBench(t)
	of := made.submit()
	of.Start(of.Tasks()[0], job.Place{Worker: "i-0", Agent: agentAt}, made.clock.Now())
	made.owner.adoptRuns(made.held, made.clock.Now())
	made.attach()
	made.hear(&wire.AgentMessage{Complete: true, Status: &wire.WorkerStatus{}})
	if of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("released while the agent knows of no worker")
	}
	made.hear(&wire.AgentMessage{Complete: true})
	if of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Error("not released although another incarnation stands there")
	}
}

// TestWorkerThatTheStoreSaysHasEnded: the case that forced it is a worker that left
// with its machine while its owner was cut off from the store; the next owner
// waited 17 s for lasting tasks to be over.
func TestWorkerThatTheStoreSaysHasEnded(t *testing.T) {
	tests := map[string]bool{"read before the shard": true, "read after the shard": false}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			of := made.submit()
			of.Start(of.Tasks()[0], job.Place{Worker: life, Agent: agentAt}, made.clock.Now())
			registered := platform.Tail{Records: []platform.Record{record(t, "side-1", &job.AgentRecord{Name: "side-1", Address: agentAt, Ended: []string{life}})}}
			if before {
				made.owner.noteAgents(registered, made.clock.Now())
			}
			made.owner.adoptRuns(made.held, made.clock.Now())
			if !before {
				made.owner.noteAgents(registered, made.clock.Now())
			}
			if of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
				t.Error("not released")
			}
		})
	}
}

// TestOldJobsAreForgotten: an ended job is known for as long as it must be, and
// then dropped from the store too.
func TestOldJobsAreForgotten(t *testing.T) {
	made := newBench(t)
	made.owner.options.StatusKept = 2 * time.Minute
	of := made.submit()
	made.owner.cancelJob(made.held, of, made.clock.Now())
	made.step()
	made.settle()
	made.clock.Advance(2*time.Minute + 30*time.Second)
	made.step()
	if made.held.jobs[jobID] == nil {
		t.Fatal("forgotten too early")
	}
	made.clock.Advance(time.Minute)
	made.step()
	made.settle()
	if made.held.jobs[jobID] != nil {
		t.Error("not forgotten")
	}
	if _, kept := made.store.Newest(job.TopicRuns, made.held.number, jobID); kept {
		t.Error("its progress is still in the store")
	}
}

// TestTaskThatWaitsIsPlacedWithoutAnotherEvent: the case that forced it is a lasting
// task that failed when nothing else went on; it was looked at just before its
// pause was over, and not again.
func TestTaskThatWaitsIsPlacedWithoutAnotherEvent(t *testing.T) {
	made := newBench(t)
	handed := submission()
	handed.Steps[0].Lasting = true
	made.read(record(t, job.SubmissionKey(jobID), handed))
	of := made.held.jobs[jobID]
	made.attach()
	made.step()
	made.settle()
	made.step()
	made.sent()
	made.hear(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: life, Number: 1, Task: taskOne, Attempt: 1, Reason: wire.EndReason_END_FAILED}}})
	for range 8 {
		made.step()
		made.settle()
		made.clock.Advance(95 * time.Millisecond)
		made.owner.joinedAt = made.clock.Now()
		made.view.heardAt = made.clock.Now()
	}
	if got := of.Tasks()[0].Attempt(); got != 2 {
		t.Errorf("after 0.8 s it is at attempt %d", got)
	}
}

// TestTakenIsTakenUpOnce: what a gateway tells and what the store's read brings is
// one job, and a cancellation that is told stops it.
func TestTakenIsTakenUpOnce(t *testing.T) {
	made := newBench(t)
	tell := func(handed platform.Record) {
		request := &wire.TakenRequest{Shard: int32(made.held.number), Key: handed.Key, Value: handed.Value}
		if _, err := made.owner.Taken(context.Background(), request); err != nil {
			t.Fatal(err)
		}
		made.owner.decisions.RunOne(made.clock.Now())
	}
	handed := record(t, job.SubmissionKey(jobID), submission())
	tell(handed)
	first := made.held.jobs[jobID]
	if first == nil {
		t.Fatal("not taken up")
	}
	made.read(handed)
	if made.held.jobs[jobID] != first {
		t.Error("taken up twice")
	}
	tell(record(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	if first.State() != job.State_STATE_CANCELLED {
		t.Errorf("state %v", first.State())
	}
}

// TestFillDoesNotWaitForEver: the case that forced it is a late job whose only task
// found no worker that bore it, and stood still although the workers were free.
func TestFillDoesNotWaitForEver(t *testing.T) {
	made := newBench(t)
	handed := submission()
	handed.Steps[0].Fills, handed.Steps[0].Image = true, "loud"
	made.read(record(t, job.SubmissionKey(jobID), handed))
	made.attach()
	status := &wire.WorkerStatus{
		Worker: life, Service: "verbale", Ready: true, MilliCpu: 4000, MemoryMb: 4000, FreeMilliCpu: 4000, FreeMemoryMb: 4000,
		Tolerances: []*wire.Tolerance{{Image: "loud", MilliCpu: 0}},
	}
	hear := func() {
		made.owner.joinedAt = made.clock.Now()
		made.hear(&wire.AgentMessage{Status: status})
		made.step()
	}
	hear()
	if len(made.view.runs) != 0 {
		t.Fatal("placed at once where it is not borne")
	}
	for range 4 {
		made.clock.Advance(500 * time.Millisecond)
		hear()
	}
	if len(made.view.runs) != 1 {
		t.Error("still waits after 2 s")
	}
}

func TestNoGrantOnceOwnershipMayBeGone(t *testing.T) {
	made := newBench(t)
	made.attach()
	made.step()
	if got := made.sent(); len(got) == 0 || got[len(got)-1].GetGrantUntilNanos() == 0 {
		t.Fatalf("no grant at first: %v", got)
	}
	made.clock.Advance(grantAlone + time.Second)
	made.hear(&wire.AgentMessage{})
	made.step()
	for _, message := range made.sent() {
		if message.GetGrantUntilNanos() != 0 {
			t.Error("granted without word from the store for longer than another owner waits")
		}
	}
}

// TestRefusedStartsLeaveTheJobPending: the job of a start that was refused has
// not begun.
func TestRefusedStartsLeaveTheJobPending(t *testing.T) {
	made := newBench(t)
	of := made.submit()
	made.attach()
	made.step()
	made.settle()
	made.step()
	made.sent()
	made.hear(&wire.AgentMessage{Results: []*wire.StartResult{{Task: taskOne, Attempt: 1, Worker: life, Outcome: wire.StartOutcome_START_NO_ROOM}}})
	if of.State() != job.State_STATE_QUEUED || of.Tasks()[0].State() != job.TaskState_TASK_WAITING {
		t.Errorf("job %v, task %v", of.State(), of.Tasks()[0].State())
	}
}

func TestStrayRunIsStopped(t *testing.T) {
	made := newBench(t)
	made.submit()
	made.attach()
	made.hear(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: taskOne, Attempt: 9}}})
	made.step()
	stops := 0
	for _, message := range made.sent() {
		stops += len(message.GetStops())
	}
	if stops != 1 {
		t.Errorf("%d stops were ordered", stops)
	}
}
