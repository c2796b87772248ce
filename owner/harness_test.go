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
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/wire"
)

const (
	jobID        = "0123456789abcdef"
	firstTask    = jobID + ".0.0.0"
	agentAddress = "10.0.0.1:7001"
	workerID     = "i-1"
)

// harness is an owner whose decisions the test makes itself: it has taken the
// job's shard, and one agent is attached.
type harness struct {
	t               testing.TB
	clock           *clockwork.FakeClock
	store           *wirestore.Store
	owner           *Owner
	shard           *shard
	agent           *agentView
	handledSequence int64
}

func newOwner(t testing.TB, clock clockwork.Clock, store *wirestore.Store) *Owner {
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return New(Options{
		Name: "edge-1", Strong: true, Address: "10.0.0.9:7000", Shards: 8, GrantDuration: 6 * time.Second, MemberTimeout: 1500 * time.Millisecond,
		Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.Transport()), Clock: clock, Events: event.Discard(),
	})
}

func newHarness(t testing.TB) *harness {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	made := &harness{t: t, clock: clock, store: store, owner: newOwner(t, clock, store)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	made.owner.ctx = ctx
	made.owner.lastJoinAt = clock.Now()
	number := job.ShardOf(jobID, 8)
	made.shard = newShard(ctx, number, 3, clock.Now())
	made.shard.loaded = true
	made.owner.shards[number] = made.shard
	made.agent = newAgentView(agentAddress)
	made.owner.agents[agentAddress] = made.agent
	return made
}

func newSubmission() *job.Submission {
	return &job.Submission{
		Id: jobID, Queue: "r-1", Service: "verbale", Attempts: 2, Extension: 2,
		Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000}},
	}
}

func newRecord(t testing.TB, key string, message proto.Message) platform.Record {
	value, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Record{Key: key, Value: value}
}

func (made *harness) readRecords(records ...platform.Record) {
	made.owner.applyRecords(made.shard, platform.Tail{Records: records}, made.clock.Now())
}

// submit has the owner read the job.
func (made *harness) submit() *job.Job {
	return made.submitWith(func(*job.Submission) {})
}

// submitWith has the owner read the job with what the test changes of it.
func (made *harness) submitWith(change func(handed *job.Submission)) *job.Job {
	handed := newSubmission()
	change(handed)
	made.readRecords(newRecord(made.t, job.SubmissionKey(jobID), handed))
	return made.shard.jobs[jobID]
}

func (made *harness) attach() {
	made.owner.handleConnected(made.agent, &agentConn{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}})
	made.receive(&wire.AgentMessage{})
}

// idleWorkerStatus is the status of a ready worker on which nothing runs.
func idleWorkerStatus() *wire.WorkerStatus {
	return &wire.WorkerStatus{
		Worker: workerID, Service: "verbale", Ready: true, MilliCpu: 4000, MemoryMb: 4000, FreeMilliCpu: 4000, FreeMemoryMb: 4000,
	}
}

// receive has the agent say something, with a worker that has room.
func (made *harness) receive(message *wire.AgentMessage) {
	message.Agent = "agent"
	if message.Status == nil {
		message.Status = idleWorkerStatus()
	}
	message.Handled = made.handledSequence
	made.owner.handleAgentMessage(made.agent, made.agent.conn, message, made.clock.Now())
}

// takeSent returns what has gone out to the agent, which then has handled it.
func (made *harness) takeSent() []*wire.OwnerMessage {
	var messages []*wire.OwnerMessage
	for {
		select {
		case message := <-made.agent.conn.outbox:
			messages = append(messages, message)
			made.handledSequence = message.GetSequence()
		default:
			return messages
		}
	}
}

func startOrders(messages []*wire.OwnerMessage) []*wire.StartOrder {
	var orders []*wire.StartOrder
	for _, message := range messages {
		orders = append(orders, message.GetStarts()...)
	}
	return orders
}

// awaitWrites waits until what is on its way to the store has come back.
func (made *harness) awaitWrites() {
	for made.shard.writing {
		made.owner.eventLoop.RunOne(made.clock.Now())
	}
}

// attachAndStart attaches the agent and has what waits started there: the orders
// are out.
func (made *harness) attachAndStart() {
	made.attach()
	made.step()
	made.awaitWrites()
	made.step()
	made.takeSent()
}

// adoptRun submits the job and takes up its run, which an earlier owner started.
func (made *harness) adoptRun(worker string) *job.Job {
	of := made.submit()
	of.StartRun(of.Tasks()[0], job.Place{Incarnation: incarnation.New(worker, 0), AgentAddress: agentAddress}, made.clock.Now())
	made.owner.adoptRuns(made.shard, made.clock.Now())
	return of
}

func (made *harness) step() {
	made.owner.tick(made.clock.Now())
}
