package owner

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
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

// harness is an owner whose event loop does not run: the test makes each step itself. The owner holds
// the shard of the job jobID and knows one agent.
type harness struct {
	t               testing.TB
	clock           *clockwork.FakeClock
	store           *wirestore.Store
	owner           *Owner
	shard           *shard
	agent           *agentView
	handledSequence int64
}

// newOwner returns an owner over a fake store.
func newOwner(t testing.TB, clock clockwork.Clock, store *wirestore.Store) *Owner {
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return New(Options{
		Name: "edge-1", Strong: true, Address: "10.0.0.9:7000", Shards: 8, GrantDuration: 6 * time.Second, MemberTimeout: 1500 * time.Millisecond,
		Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport()), Clock: clock, Events: event.Discard(),
	})
}

// newHarness returns a harness whose shard is loaded and whose agent is not connected yet.
func newHarness(t testing.TB) *harness {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	h := &harness{t: t, clock: clock, store: store, owner: newOwner(t, clock, store)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.owner.ctx = ctx
	h.owner.lastJoinAt = clock.Now()
	number := job.ShardOf(jobID, 8)
	h.shard = newShard(ctx, number, 3, clock.Now())
	h.shard.loaded = true
	h.owner.shards[number] = h.shard
	h.agent = newAgentView(agentAddress)
	h.owner.agents[agentAddress] = h.agent
	return h
}

// enable enables features of the owner.
func (h *harness) enable(features ...string) {
	h.t.Helper()
	enabled, err := feature.Parse(features)
	if err != nil {
		h.t.Fatal(err)
	}
	h.owner.options.Features = enabled
}

// captureLog returns what the owner logs from now on.
func (h *harness) captureLog() *bytes.Buffer {
	h.t.Helper()
	lines := &bytes.Buffer{}
	events, err := event.Open(lines, "json", "info")
	if err != nil {
		h.t.Fatal(err)
	}
	h.owner.options.Events = events
	return lines
}

// newSubmission returns a job with one step of one task.
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

// readRecords has the owner read records of the shard.
func (h *harness) readRecords(records ...platform.Record) {
	h.owner.applyRecords(h.shard, platform.ReadResult{Records: records}, h.clock.Now())
}

// submit has the owner read the submission of newSubmission.
func (h *harness) submit() *job.Job {
	return h.submitWith(func(*job.Submission) {})
}

// submitWith does the same after changing the submission.
func (h *harness) submitWith(change func(submission *job.Submission)) *job.Job {
	submission := newSubmission()
	change(submission)
	h.readRecords(newRecord(h.t, job.SubmissionKey(jobID), submission))
	return h.shard.jobs[jobID]
}

// attach connects the agent and has it send its first message.
func (h *harness) attach() {
	h.owner.handleConnected(h.agent, &agentConn{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}})
	h.receive(&wire.AgentMessage{})
}

// idleWorkerStatus returns the status of a ready worker without runs.
func idleWorkerStatus() *wire.WorkerStatus {
	return &wire.WorkerStatus{
		Worker: workerID, Service: "verbale", Ready: true, MilliCpu: 4000, MemoryMb: 4000, FreeMilliCpu: 4000, FreeMemoryMb: 4000,
	}
}

// receive has the owner handle a message from the agent. It adds the status of an idle worker if the
// message has none.
func (h *harness) receive(message *wire.AgentMessage) {
	message.Agent = "agent"
	if message.Status == nil {
		message.Status = idleWorkerStatus()
	}
	message.Handled = h.handledSequence
	h.owner.handleAgentMessage(h.agent, h.agent.conn, message, h.clock.Now())
}

// takeSent returns the messages sent to the agent. The agent's next message acknowledges them.
func (h *harness) takeSent() []*wire.OwnerMessage {
	messages := sentTo(h.agent)
	if len(messages) > 0 {
		h.handledSequence = messages[len(messages)-1].GetSequence()
	}
	return messages
}

// sentTo returns the messages that wait to be sent to an agent.
func sentTo(view *agentView) []*wire.OwnerMessage {
	var messages []*wire.OwnerMessage
	for len(view.conn.outbox) > 0 {
		messages = append(messages, <-view.conn.outbox)
	}
	return messages
}

// startOrders returns all start orders in messages.
func startOrders(messages []*wire.OwnerMessage) []*wire.StartOrder {
	var orders []*wire.StartOrder
	for _, message := range messages {
		orders = append(orders, message.GetStarts()...)
	}
	return orders
}

// awaitWrites waits until the shard's pending writes to the store have been answered, or the shard was released since
// the store has refused one.
func (h *harness) awaitWrites() {
	for h.shard.writing && h.owner.shards[h.shard.number] == h.shard {
		h.owner.eventLoop.RunNext(h.clock.Now())
	}
}

// actAndTakeSent has the owner do what is due, and returns what it has sent the agent once its writes are answered.
func (h *harness) actAndTakeSent() []*wire.OwnerMessage {
	h.tick()
	h.awaitWrites()
	h.tick()
	return h.takeSent()
}

// attachAndStart connects the agent and places the waiting tasks on its worker. Their start orders have
// been sent when it returns.
func (h *harness) attachAndStart() {
	h.attach()
	h.actAndTakeSent()
}

// adoptRun submits the job and has the owner adopt its run, which an earlier owner started.
func (h *harness) adoptRun(worker string) *job.Job {
	j := h.submit()
	j.StartRun(j.Tasks()[0], job.Place{Incarnation: incarnation.New(worker, 0), AgentAddress: agentAddress}, h.clock.Now())
	h.owner.adoptRuns(h.shard, h.clock.Now())
	return j
}

func (h *harness) tick() {
	h.owner.tick(h.clock.Now())
}

// placeAll runs a whole placement pass.
func (owner *Owner) placeAll(now time.Time) {
	owner.pass = owner.newPlacementPass(owner.placementChanges.take(now), now)
	for owner.pass != nil {
		owner.continuePass(now)
	}
}
