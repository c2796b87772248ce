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
	jobID   = "0123456789abcdef"
	taskOne = jobID + ".0.0.0"
	agentAt = "10.0.0.1:7001"
	life    = "i-1"
)

// bench is an owner whose decisions the test makes itself: it has taken the
// job's shard, and one agent is attached.
type bench struct {
	t      testing.TB
	clock  *clockwork.FakeClock
	store  *wirestore.Store
	owner  *Owner
	held   *shard
	view   *agentView
	agentN int64
}

func newOwner(t testing.TB, clock clockwork.Clock, store *wirestore.Store) *Owner {
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return New(Options{
		Name: "edge-1", Strong: true, Address: "10.0.0.9:7000", Shards: 8, Grant: 6 * time.Second, Silent: 1500 * time.Millisecond,
		Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.Transport()), Clock: clock, Events: event.Discard(),
	})
}

func newBench(t testing.TB) *bench {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	made := &bench{t: t, clock: clock, store: store, owner: newOwner(t, clock, store)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	made.owner.ctx = ctx
	made.owner.joinedAt = clock.Now()
	number := job.ShardOf(jobID, 8)
	made.held = newShard(ctx, number, 3, clock.Now())
	made.held.active = true
	made.owner.shards[number] = made.held
	made.view = newView(agentAt)
	made.owner.agents[agentAt] = made.view
	return made
}

func submission() *job.Submission {
	return &job.Submission{
		Id: jobID, Queue: "r-1", Service: "verbale", Attempts: 2, Extension: 2,
		Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000}},
	}
}

func record(t testing.TB, key string, message proto.Message) platform.Record {
	value, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Record{Key: key, Value: value}
}

func (made *bench) read(records ...platform.Record) {
	made.owner.noteTail(made.held, platform.Tail{Records: records}, made.clock.Now())
}

// submit has the owner read the job.
func (made *bench) submit() *job.Job {
	return made.submitChanged(func(*job.Submission) {})
}

// submitChanged has the owner read the job with what the test changes of it.
func (made *bench) submitChanged(change func(handed *job.Submission)) *job.Job {
	handed := submission()
	change(handed)
	made.read(record(made.t, job.SubmissionKey(jobID), handed))
	return made.held.jobs[jobID]
}

func (made *bench) attach() {
	made.owner.noteAttached(made.view, &link{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}})
	made.hear(&wire.AgentMessage{})
}

// emptyWorker is the status of a ready worker on which nothing runs.
func emptyWorker() *wire.WorkerStatus {
	return &wire.WorkerStatus{
		Worker: life, Service: "verbale", Ready: true, MilliCpu: 4000, MemoryMb: 4000, FreeMilliCpu: 4000, FreeMemoryMb: 4000,
	}
}

// hear has the agent say something, with a worker that has room.
func (made *bench) hear(message *wire.AgentMessage) {
	message.Agent = "agent"
	if message.Status == nil {
		message.Status = emptyWorker()
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

// attachAndStart attaches the agent and has what waits started there: the orders
// are out.
func (made *bench) attachAndStart() {
	made.attach()
	made.step()
	made.settle()
	made.step()
	made.sent()
}

// inherit submits the job and takes up its run, which an earlier owner started.
func (made *bench) inherit(worker string) *job.Job {
	of := made.submit()
	of.StartRun(of.Tasks()[0], job.Place{Incarnation: incarnation.New(worker, 0), AgentAddress: agentAt}, made.clock.Now())
	made.owner.adoptRuns(made.held, made.clock.Now())
	return of
}

func (made *bench) step() {
	made.owner.step(made.clock.Now())
}
