package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/agent"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

const (
	shardCount    = 8
	testTask      = "0123456789abcdef.0.0.0"
	workerID      = "i-1"
	grantDuration = 6 * time.Second
	testDomain    = "milano-a"
	// evacuationDeadline is how soon an evacuation holds.
	evacuationDeadline = 5 * time.Second
)

var testShard = int32(job.ShardOf("0123456789abcdef", shardCount))

// ownerStream is an owner's end of the connection.
type ownerStream struct {
	drpc.Stream
	in  chan *wire.OwnerMessage
	ctx context.Context

	// uptime is the agent's. A message with starts says that as of then no failure domain is
	// evacuated, unless it says something else; nil for an owner of an earlier build.
	uptime func() time.Duration

	mu       sync.Mutex
	received []*wire.AgentMessage
	sequence int64
}

func (owner *ownerStream) Send(message *wire.AgentMessage) error {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.received = append(owner.received, message)
	return nil
}

func (owner *ownerStream) Recv() (*wire.OwnerMessage, error) {
	select {
	case message := <-owner.in:
		return message, nil
	case <-owner.ctx.Done():
		return nil, owner.ctx.Err()
	}
}

func (owner *ownerStream) send(message *wire.OwnerMessage) {
	owner.sequence++
	message.Sequence = owner.sequence
	if owner.uptime != nil && len(message.GetStarts()) > 0 && message.GetEvacuations() == nil {
		message.Evacuations = &wire.Evacuations{AsOfNanos: int64(owner.uptime())}
	}
	owner.in <- message
}

// lastMatching returns the newest message that matches.
func (owner *ownerStream) lastMatching(matches func(message *wire.AgentMessage) bool) *wire.AgentMessage {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for index := len(owner.received) - 1; index >= 0; index-- {
		if matches(owner.received[index]) {
			return owner.received[index]
		}
	}
	return nil
}

func (owner *ownerStream) startOutcome() wire.StartOutcome {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for _, message := range owner.received {
		for _, result := range message.GetResults() {
			if result.GetTask() == testTask {
				return result.GetOutcome()
			}
		}
	}
	return wire.StartOutcome_START_UNSPECIFIED
}

// clearReceived drops what the owner was told.
func (owner *ownerStream) clearReceived() {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.received = nil
}

func (owner *ownerStream) firstEnd() *wire.RunEnd {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for _, message := range owner.received {
		for _, end := range message.GetEnds() {
			if end.GetTask() == testTask {
				return end
			}
		}
	}
	return nil
}

// harness holds an agent, its worker and an owner.
type harness struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	agent  *agent.Agent
	worker *wireworker.Worker
	// servedWorker is the worker that stands at the address.
	servedWorker atomic.Pointer[wireworker.Worker]
	// agentStartedAt is when the present agent was made.
	agentStartedAt time.Time
	ctx            context.Context
	// stopAgent ends the present agent.
	stopAgent context.CancelFunc
	// suspendedFor is for how long the machine has been suspended.
	suspendedFor atomic.Int64
	server       *httptest.Server
}

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	h := &harness{t: t, clock: clock, worker: wireworker.New(workerID, clock)}
	h.servedWorker.Store(h.worker)
	h.server = httptest.NewServer(http.HandlerFunc(func(answer http.ResponseWriter, request *http.Request) {
		h.servedWorker.Load().ServeHTTP(answer, request)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx = ctx
	t.Cleanup(func() {
		cancel()
		h.server.CloseClientConnections()
		h.server.Close()
	})
	h.startAgent()
	return h
}

// startAgent starts an agent, as after a restart.
func (h *harness) startAgent() {
	h.agent = agent.New(agent.Options{
		Name: "side-1", Shards: shardCount, FirstToken: h.clock.Now().UnixMilli(), Clock: h.clock, Events: event.Discard(),
		EvacuationDeadline: evacuationDeadline, Suspended: func() time.Duration { return time.Duration(h.suspendedFor.Load()) },
		Connect: func(address string, of incarnation.ID) *platform.Worker {
			return platform.NewWorker(address, of, platform.Transport())
		},
	})
	h.agentStartedAt = h.clock.Now()
	ctx, kill := context.WithCancel(h.ctx)
	h.stopAgent = kill
	go h.agent.Run(ctx)
}

// uptime is the clock that the agent reckons in towards owners.
func (h *harness) uptime() time.Duration { return h.clock.Now().Sub(h.agentStartedAt) }

// firstHeartbeat is what the worker says of itself first.
func (h *harness) firstHeartbeat() platform.Heartbeat {
	return platform.Heartbeat{
		Incarnation: incarnation.New(workerID, 0), Service: "verbale", Address: strings.TrimPrefix(h.server.URL, "http://"),
		MilliCPU: 4000, MemoryMB: 8000, Sequence: 1, FailureDomain: testDomain,
	}
}

// sendHeartbeat has the worker say that it is there.
func (h *harness) sendHeartbeat() {
	h.agent.Beat(h.firstHeartbeat())
}

// sendDrainNotice has the worker say that it drains and stays for a while at least.
func (h *harness) sendDrainNotice(remaining time.Duration) {
	beat := h.firstHeartbeat()
	beat.Sequence, beat.Draining, beat.Remaining = 2, true, remaining
	h.agent.Beat(beat)
}

// attachOwner connects an owner that claims the shard and grants it time.
func (h *harness) attachOwner(epoch int64) *ownerStream {
	return h.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: epoch}},
		GrantUntilNanos: int64(grantDuration),
	})
}

// connectOwner opens an owner's stream with a first message and waits until it is handled.
func (h *harness) connectOwner(first *wire.OwnerMessage) *ownerStream {
	owner := &ownerStream{in: make(chan *wire.OwnerMessage, 64), ctx: h.ctx, uptime: h.uptime}
	go func() { _ = h.agent.Attach(owner) }()
	owner.send(first)
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetHandled() >= 1 }) != nil
	})
	return owner
}

// attachReadyOwner connects an owner to the agent of a worker that is ready.
func (h *harness) attachReadyOwner(epoch int64) *ownerStream {
	h.sendHeartbeat()
	owner := h.attachOwner(epoch)
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
	return owner
}

// orderStart has the owner order a start and waits until it is told what became of it.
func (h *harness) orderStart(owner *ownerStream, order *wire.StartOrder) wire.StartOutcome {
	h.t.Helper()
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	h.waitFor(func() bool { return owner.startOutcome() != wire.StartOutcome_START_UNSPECIFIED })
	return owner.startOutcome()
}

// mustStart is starts for an order that has to be carried out.
func (h *harness) mustStart(owner *ownerStream, order *wire.StartOrder) {
	h.t.Helper()
	if got := h.orderStart(owner, order); got != wire.StartOutcome_START_STARTED {
		h.t.Fatalf("the start was answered %v", got)
	}
}

// attachOwnerWithRun connects an owner that grants a minute and has the task run with a demand.
func (h *harness) attachOwnerWithRun(demand *wire.Demand) *ownerStream {
	h.t.Helper()
	owner := h.attachReadyOwner(1)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	order := newStartOrder(1)
	order.Demand = demand
	h.mustStart(owner, order)
	return owner
}

// isRunning reports whether the task runs at the worker.
func (h *harness) isRunning() bool {
	_, found := h.worker.Running(testTask)
	return found
}

// waitFor lets short steps of the clock pass until what is waited for holds.
func (h *harness) waitFor(holds func() bool) {
	h.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		h.clock.Advance(5 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	h.t.Fatal("what was waited for did not happen")
}

const (
	// maxUnpolled is how much time passes at most without a look at the worker, which
	// comes each second: its lease of 4 s must not run out because the processes of the
	// test have no processor while the clock runs on.
	maxUnpolled = 1500 * time.Millisecond
	// maxPollTries bounds the wait for a look, in milliseconds, where the worker is silent on
	// purpose.
	maxPollTries = 200
)

// advance lets time go by in steps that the agent sees.
func (h *harness) advance(length time.Duration) {
	looks, lookedAt := 0, h.clock.Now()
	looked := func() bool {
		count, _ := h.worker.Looks()
		if count == looks {
			return false
		}
		looks, lookedAt = count, h.clock.Now()
		return true
	}
	for begin := h.clock.Now(); h.clock.Now().Sub(begin) < length; {
		h.clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
		for try := 0; try < maxPollTries && !looked() && h.clock.Now().Sub(lookedAt) >= maxUnpolled; try++ {
			time.Sleep(time.Millisecond)
		}
	}
}

// advanceUnpolled is pass for a worker that answers no look.
func (h *harness) advanceUnpolled(length time.Duration) {
	for begin := h.clock.Now(); h.clock.Now().Sub(begin) < length; {
		h.clock.Advance(20 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// newStartOrder orders a small run of the task, with a demand of its own for the test to change.
func newStartOrder(epoch int64) *wire.StartOrder {
	return &wire.StartOrder{
		Shard: testShard, Epoch: epoch, Task: testTask, Attempt: 1, Worker: workerID,
		Demand: &wire.Demand{MilliCpu: 1000, MemoryMb: 1000},
	}
}
