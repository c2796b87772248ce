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
	shards = 8
	task   = "0123456789abcdef.0.0.0"
	worker = "i-1"
	grant  = 6 * time.Second
	domain = "milano-a"
	// evacuateWithin is how soon an evacuation holds.
	evacuateWithin = 5 * time.Second
)

var shard = int32(job.ShardOf("0123456789abcdef", shards))

// stream is an owner's end of the connection.
type stream struct {
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

func (owner *stream) Send(message *wire.AgentMessage) error {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.received = append(owner.received, message)
	return nil
}

func (owner *stream) Recv() (*wire.OwnerMessage, error) {
	select {
	case message := <-owner.in:
		return message, nil
	case <-owner.ctx.Done():
		return nil, owner.ctx.Err()
	}
}

func (owner *stream) tell(message *wire.OwnerMessage) {
	owner.sequence++
	message.Sequence = owner.sequence
	if owner.uptime != nil && len(message.GetStarts()) > 0 && message.GetEvacuations() == nil {
		message.Evacuations = &wire.Evacuations{AsOfNanos: int64(owner.uptime())}
	}
	owner.in <- message
}

// last returns the newest message that matches.
func (owner *stream) last(matches func(message *wire.AgentMessage) bool) *wire.AgentMessage {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for index := len(owner.received) - 1; index >= 0; index-- {
		if matches(owner.received[index]) {
			return owner.received[index]
		}
	}
	return nil
}

func (owner *stream) outcome() wire.StartOutcome {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for _, message := range owner.received {
		for _, result := range message.GetResults() {
			if result.GetTask() == task {
				return result.GetOutcome()
			}
		}
	}
	return wire.StartOutcome_START_UNSPECIFIED
}

// forget drops what the owner was told.
func (owner *stream) forget() {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.received = nil
}

func (owner *stream) end() *wire.RunEnd {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for _, message := range owner.received {
		for _, end := range message.GetEnds() {
			if end.GetTask() == task {
				return end
			}
		}
	}
	return nil
}

// bench holds an agent, its worker and an owner.
type bench struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	beside *agent.Agent
	worker *wireworker.Worker
	// present is the worker that stands at the address.
	present atomic.Pointer[wireworker.Worker]
	// began is when the present agent was made.
	began time.Time
	ctx   context.Context
	// kill ends the present agent.
	kill context.CancelFunc
	// slept is for how long the machine has been suspended.
	slept  atomic.Int64
	server *httptest.Server
}

func newBench(t *testing.T) *bench {
	clock := clockwork.NewFakeClock()
	made := &bench{t: t, clock: clock, worker: wireworker.New(worker, clock)}
	made.present.Store(made.worker)
	made.server = httptest.NewServer(http.HandlerFunc(func(answer http.ResponseWriter, request *http.Request) {
		made.present.Load().ServeHTTP(answer, request)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	made.ctx = ctx
	t.Cleanup(func() {
		cancel()
		made.server.CloseClientConnections()
		made.server.Close()
	})
	made.begin()
	return made
}

// begin starts an agent, as after a restart.
func (made *bench) begin() {
	made.beside = agent.New(agent.Options{
		Name: "side-1", Shards: shards, FirstToken: made.clock.Now().UnixMilli(), Clock: made.clock, Events: event.Discard(),
		EvacuateWithin: evacuateWithin, Suspended: func() time.Duration { return time.Duration(made.slept.Load()) },
		Connect: func(address string, of incarnation.ID) *platform.Worker {
			return platform.NewWorker(address, of, platform.Transport())
		},
	})
	made.began = made.clock.Now()
	ctx, kill := context.WithCancel(made.ctx)
	made.kill = kill
	go made.beside.Run(ctx)
}

// uptime is the clock that the agent reckons in towards owners.
func (made *bench) uptime() time.Duration { return made.clock.Now().Sub(made.began) }

// heartbeat is what the worker says of itself first.
func (made *bench) heartbeat() platform.Heartbeat {
	return platform.Heartbeat{
		Incarnation: incarnation.New(worker, 0), Service: "verbale", Address: strings.TrimPrefix(made.server.URL, "http://"),
		MilliCPU: 4000, MemoryMB: 8000, Sequence: 1, FailureDomain: domain,
	}
}

// beat has the worker say that it is there.
func (made *bench) beat() {
	made.beside.Beat(made.heartbeat())
}

// beatLeaving has the worker say that it drains and stays for a while at least.
func (made *bench) beatLeaving(remaining time.Duration) {
	beat := made.heartbeat()
	beat.Sequence, beat.Draining, beat.Remaining = 2, true, remaining
	made.beside.Beat(beat)
}

// attach connects an owner that claims the shard and grants it time.
func (made *bench) attach(epoch int64) *stream {
	return made.connect(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: shard, Epoch: epoch}},
		GrantUntilNanos: int64(grant),
	})
}

// connect opens an owner's stream with a first message and waits until it is handled.
func (made *bench) connect(first *wire.OwnerMessage) *stream {
	owner := &stream{in: make(chan *wire.OwnerMessage, 64), ctx: made.ctx, uptime: made.uptime}
	go func() { _ = made.beside.Attach(owner) }()
	owner.tell(first)
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetHandled() >= 1 }) != nil
	})
	return owner
}

// attachReady connects an owner to the agent of a worker that is ready.
func (made *bench) attachReady(epoch int64) *stream {
	made.beat()
	owner := made.attach(epoch)
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
	return owner
}

// starts has the owner order a start and waits until it is told what became of it.
func (made *bench) starts(owner *stream, order *wire.StartOrder) wire.StartOutcome {
	made.t.Helper()
	owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
	made.until(func() bool { return owner.outcome() != wire.StartOutcome_START_UNSPECIFIED })
	return owner.outcome()
}

// startsRun is starts for an order that has to be carried out.
func (made *bench) startsRun(owner *stream, order *wire.StartOrder) {
	made.t.Helper()
	if got := made.starts(owner, order); got != wire.StartOutcome_START_STARTED {
		made.t.Fatalf("the start was answered %v", got)
	}
}

// attachRunning connects an owner that grants a minute and has the task run with a demand.
func (made *bench) attachRunning(demand *wire.Demand) *stream {
	made.t.Helper()
	owner := made.attachReady(1)
	owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	order := start(1)
	order.Demand = demand
	made.startsRun(owner, order)
	return owner
}

// runs reports whether the task runs at the worker.
func (made *bench) runs() bool {
	_, found := made.worker.Running(task)
	return found
}

// until lets short steps of the clock pass until what is waited for holds.
func (made *bench) until(holds func() bool) {
	made.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		made.clock.Advance(5 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	made.t.Fatal("what was waited for did not happen")
}

const (
	// unlookedMost is how much time passes at most without a look at the worker, which
	// comes each second: its lease of 4 s must not run out because the processes of the
	// test have no processor while the clock runs on.
	unlookedMost = 1500 * time.Millisecond
	// lookTries bounds the wait for a look, in milliseconds, where the worker is silent on
	// purpose.
	lookTries = 200
)

// pass lets time go by in steps that the agent sees.
func (made *bench) pass(length time.Duration) {
	looks, lookedAt := 0, made.clock.Now()
	looked := func() bool {
		count, _ := made.worker.Looks()
		if count == looks {
			return false
		}
		looks, lookedAt = count, made.clock.Now()
		return true
	}
	for begin := made.clock.Now(); made.clock.Now().Sub(begin) < length; {
		made.clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
		for try := 0; try < lookTries && !looked() && made.clock.Now().Sub(lookedAt) >= unlookedMost; try++ {
			time.Sleep(time.Millisecond)
		}
	}
}

// passSilently is pass for a worker that answers no look.
func (made *bench) passSilently(length time.Duration) {
	for begin := made.clock.Now(); made.clock.Now().Sub(begin) < length; {
		made.clock.Advance(20 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// start orders a small run of the task, with a demand of its own for the test to change.
func start(epoch int64) *wire.StartOrder {
	return &wire.StartOrder{
		Shard: shard, Epoch: epoch, Task: task, Attempt: 1, Worker: worker,
		Demand: &wire.Demand{MilliCpu: 1000, MemoryMb: 1000},
	}
}
