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
	// evacuationDeadline is how long after an operator's request starts are still allowed in an evacuated
	// failure domain.
	evacuationDeadline = 5 * time.Second
)

var testShard = int32(job.ShardOf("0123456789abcdef", shardCount))

// ownerStream is an owner's side of its connection to the agent. It implements wire.DRPCAgent_AttachStream.
type ownerStream struct {
	drpc.Stream
	in  chan *wire.OwnerMessage
	ctx context.Context

	// uptime returns the agent's uptime, or is nil for an owner of an earlier build, which sends no
	// evacuations. A message with starts states that no failure domain is evacuated as of now, unless it
	// has evacuations of its own.
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

// send sends a message to the agent, with the next sequence number.
func (owner *ownerStream) send(message *wire.OwnerMessage) {
	owner.sequence++
	message.Sequence = owner.sequence
	if owner.uptime != nil && len(message.GetStarts()) > 0 && message.GetEvacuations() == nil {
		message.Evacuations = &wire.Evacuations{AsOfNanos: int64(owner.uptime())}
	}
	owner.in <- message
}

// lastMatching returns the last received message that matches, or nil if none does.
func (owner *ownerStream) lastMatching(matches func(message *wire.AgentMessage) bool) *wire.AgentMessage {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for i := len(owner.received) - 1; i >= 0; i-- {
		if matches(owner.received[i]) {
			return owner.received[i]
		}
	}
	return nil
}

// startOutcome returns the first reported outcome of a start of the test task, or START_UNSPECIFIED.
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

// clearReceived forgets the messages received so far.
func (owner *ownerStream) clearReceived() {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.received = nil
}

// firstEnd returns the first reported end of the test task, or nil.
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

// harness runs an agent with a worker, both on a fake clock. Tests connect owners to the agent.
type harness struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	agent  *agent.Agent
	worker *wireworker.Worker
	// servedWorker is the worker that answers at the server's address.
	servedWorker atomic.Pointer[wireworker.Worker]
	// agentStartedAt is when the current agent was created.
	agentStartedAt time.Time
	ctx            context.Context
	// stopAgent stops the current agent.
	stopAgent context.CancelFunc
	// suspendedFor is how long the machine has been suspended, in nanoseconds.
	suspendedFor atomic.Int64
	server       *httptest.Server
	log          logLines
}

// logLines keeps what the agent logs.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer. It is called with one line each time.
func (lines *logLines) Write(line []byte) (int, error) {
	lines.mu.Lock()
	defer lines.mu.Unlock()
	lines.lines = append(lines.lines, string(line))
	return len(line), nil
}

// count returns how many lines contain a text.
func (lines *logLines) count(text string) int {
	lines.mu.Lock()
	defer lines.mu.Unlock()
	count := 0
	for _, line := range lines.lines {
		if strings.Contains(line, text) {
			count++
		}
	}
	return count
}

// newHarness starts an agent, and a worker that sends no heartbeat yet.
func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	h := &harness{t: t, clock: clock, worker: wireworker.New(workerID, clock)}
	h.servedWorker.Store(h.worker)
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		h.servedWorker.Load().ServeHTTP(w, request)
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

// startAgent starts a new agent process.
func (h *harness) startAgent() {
	events, err := event.Open(&h.log, "json", "info")
	if err != nil {
		h.t.Fatal(err)
	}
	h.agent = agent.New(agent.Options{
		Name: "side-1", Shards: shardCount, FirstToken: h.clock.Now().UnixMilli(), Clock: h.clock, Events: events,
		EvacuationDeadline: evacuationDeadline, Suspended: func() time.Duration { return time.Duration(h.suspendedFor.Load()) },
		Connect: func(address string, of incarnation.ID) *platform.Worker {
			return platform.NewWorker(address, of, platform.NewTransport())
		},
	})
	h.agentStartedAt = h.clock.Now()
	ctx, cancel := context.WithCancel(h.ctx)
	h.stopAgent = cancel
	go h.agent.Run(ctx)
}

// uptime returns the agent's uptime, which is the clock of its messages to owners.
func (h *harness) uptime() time.Duration { return h.clock.Now().Sub(h.agentStartedAt) }

// firstHeartbeat returns the worker's first heartbeat, for the test to change.
func (h *harness) firstHeartbeat() platform.Heartbeat {
	return platform.Heartbeat{
		Incarnation: incarnation.New(workerID, 0), Service: "verbale", Address: strings.TrimPrefix(h.server.URL, "http://"),
		MilliCPU: 4000, MemoryMB: 8000, Sequence: 1, FailureDomain: testDomain,
	}
}

// sendHeartbeat sends the worker's first heartbeat.
func (h *harness) sendHeartbeat() {
	h.agent.HandleHeartbeat(h.firstHeartbeat())
}

// sendDrainNotice sends a heartbeat of a worker that drains and stays for at least the remaining time.
func (h *harness) sendDrainNotice(remaining time.Duration) {
	heartbeat := h.firstHeartbeat()
	heartbeat.Sequence, heartbeat.Draining, heartbeat.Remaining = 2, true, remaining
	h.agent.HandleHeartbeat(heartbeat)
}

// attachOwner connects an owner that claims the test shard and grants its runs grantDuration.
func (h *harness) attachOwner(epoch int64) *ownerStream {
	return h.connectOwner(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: testShard, Epoch: epoch}},
		GrantUntilNanos: int64(grantDuration),
	})
}

// connectOwner connects an owner that sends a first message, and waits until the agent has handled it.
func (h *harness) connectOwner(first *wire.OwnerMessage) *ownerStream {
	owner := &ownerStream{in: make(chan *wire.OwnerMessage, 64), ctx: h.ctx, uptime: h.uptime}
	go func() { _ = h.agent.Attach(owner) }()
	owner.send(first)
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetHandled() >= 1 }) != nil
	})
	return owner
}

// attachReadyOwner attaches an owner and waits until the worker is reported as ready.
func (h *harness) attachReadyOwner(epoch int64) *ownerStream {
	h.sendHeartbeat()
	owner := h.attachOwner(epoch)
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
	return owner
}

// orderStart sends a start order and returns its outcome.
func (h *harness) orderStart(owner *ownerStream, order *wire.StartOrder) wire.StartOutcome {
	h.t.Helper()
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	h.waitFor(func() bool { return owner.startOutcome() != wire.StartOutcome_START_UNSPECIFIED })
	return owner.startOutcome()
}

// mustStart sends a start order and fails the test unless the run starts.
func (h *harness) mustStart(owner *ownerStream, order *wire.StartOrder) {
	h.t.Helper()
	if got := h.orderStart(owner, order); got != wire.StartOutcome_START_STARTED {
		h.t.Fatalf("start outcome %v, want START_STARTED", got)
	}
}

// attachOwnerWithRun attaches an owner that grants a minute, and starts the test task with a demand. The run has the age 0
// when it returns.
func (h *harness) attachOwnerWithRun(demand *wire.Demand) *ownerStream {
	h.t.Helper()
	owner := h.attachReadyOwner(1)
	owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	order := newStartOrder(1)
	order.Demand = demand
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	h.awaitNow(func() bool { return owner.startOutcome() != wire.StartOutcome_START_UNSPECIFIED })
	if got := owner.startOutcome(); got != wire.StartOutcome_START_STARTED {
		h.t.Fatalf("start outcome %v, want START_STARTED", got)
	}
	return owner
}

// isRunning reports whether the test task runs on the worker.
func (h *harness) isRunning() bool {
	_, found := h.worker.Running(testTask)
	return found
}

// waitFor advances the clock in short steps until the condition holds, and fails the test if it does not.
func (h *harness) waitFor(condition func() bool) {
	h.t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		h.clock.Advance(5 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	h.t.Fatal("timed out waiting for a condition")
}

// awaitNow waits until the condition holds while the clock stands still, for what the agent does at once, however long it
// takes to get a processor. It fails the test if the condition does not hold.
func (h *harness) awaitNow(condition func() bool) {
	h.t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	h.t.Fatal("timed out waiting for a condition while the clock stands still")
}

const (
	// maxUnpolled is the longest time on the fake clock that passes without a poll of the worker, which
	// comes once a second. The lease of 4 s must not expire only because the goroutines of the test get no
	// CPU while the clock advances.
	maxUnpolled = 1500 * time.Millisecond
	// maxPollTries bounds the wait for a poll, in milliseconds, where the worker is unreachable on purpose.
	maxPollTries = 200
)

// advance advances the clock in steps, and lets the agent poll the worker in between.
func (h *harness) advance(duration time.Duration) {
	polls, polledAt := 0, h.clock.Now()
	polled := func() bool {
		count, _ := h.worker.Polls()
		if count == polls {
			return false
		}
		polls, polledAt = count, h.clock.Now()
		return true
	}
	for begin := h.clock.Now(); h.clock.Now().Sub(begin) < duration; {
		h.clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
		for try := 0; try < maxPollTries && !polled() && h.clock.Now().Sub(polledAt) >= maxUnpolled; try++ {
			time.Sleep(time.Millisecond)
		}
	}
}

// advanceUnpolled advances the clock in steps without waiting for polls, which the worker does not answer.
func (h *harness) advanceUnpolled(duration time.Duration) {
	for begin := h.clock.Now(); h.clock.Now().Sub(begin) < duration; {
		h.clock.Advance(20 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// newStartOrder returns an order to start a small run of the test task, for the test to change.
func newStartOrder(epoch int64) *wire.StartOrder {
	return &wire.StartOrder{
		Shard: testShard, Epoch: epoch, Task: testTask, Attempt: 1, Worker: workerID,
		Demand: &wire.Demand{MilliCpu: 1000, MemoryMb: 1000},
	}
}
