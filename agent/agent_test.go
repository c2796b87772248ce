package agent_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/agent"
	"ambertiller.example/ambertiller/event"
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
)

var shard = int32(job.ShardOf("0123456789abcdef", shards))

// stream is an owner's end of the connection.
type stream struct {
	drpc.Stream
	in  chan *wire.OwnerMessage
	ctx context.Context

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
	ctx    context.Context
	server *httptest.Server
}

func newBench(t *testing.T) *bench {
	clock := clockwork.NewFakeClock()
	made := &bench{t: t, clock: clock, worker: wireworker.New(worker, clock)}
	made.server = httptest.NewServer(made.worker)
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
		Connect: func(address, incarnation string) *platform.Worker {
			return platform.NewWorker(address, incarnation, platform.Transport())
		},
	})
	go made.beside.Run(made.ctx)
}

func (made *bench) beat() {
	made.beside.Beat(platform.Heartbeat{
		Incarnation: worker, Service: "verbale", Address: strings.TrimPrefix(made.server.URL, "http://"),
		MilliCPU: 4000, MemoryMB: 8000, Sequence: 1,
	})
}

// attach connects an owner that claims the shard and grants it time.
func (made *bench) attach(epoch int64) *stream {
	owner := &stream{in: make(chan *wire.OwnerMessage, 64), ctx: made.ctx}
	go func() { _ = made.beside.Attach(owner) }()
	owner.tell(&wire.OwnerMessage{
		Owner: "edge-1", Owned: true, Shards: []*wire.ShardEpoch{{Shard: shard, Epoch: epoch}},
		GrantUntilNanos: int64(grant),
	})
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetHandled() >= 1 }) != nil
	})
	return owner
}

func (made *bench) ready(owner *stream) {
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetStatus().GetReady() }) != nil
	})
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

// pass lets time go by in steps that the agent sees.
func (made *bench) pass(length time.Duration) {
	for begin := made.clock.Now(); made.clock.Now().Sub(begin) < length; {
		made.clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

func start(epoch int64) *wire.StartOrder {
	return &wire.StartOrder{
		Shard: shard, Epoch: epoch, Task: task, Attempt: 1, Worker: worker,
		Demand: &wire.Demand{MilliCpu: 1000, MemoryMb: 1000},
	}
}

func TestStartUntilItsEndIsDurable(t *testing.T) {
	made := newBench(t)
	made.beat()
	owner := made.attach(1)
	made.ready(owner)
	owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
	made.until(func() bool { return owner.outcome() == wire.StartOutcome_START_STARTED })
	made.worker.End(task, "done")
	made.until(func() bool { return owner.end() != nil })
	if _, seen := made.worker.Looks(); seen != 0 {
		t.Errorf("the worker was told to forget end %d before it was durable", seen)
	}
	owner.tell(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: worker, Number: 1}}})
	made.until(func() bool { _, seen := made.worker.Looks(); return seen == 1 })
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(order *wire.StartOrder)
		want   wire.StartOutcome
	}{
		"an earlier owner's epoch": {func(order *wire.StartOrder) { order.Epoch = 6 }, wire.StartOutcome_START_STALE},
		"another incarnation":      {func(order *wire.StartOrder) { order.Worker = "i-0" }, wire.StartOutcome_START_WRONG_WORKER},
		"no room":                  {func(order *wire.StartOrder) { order.Demand.MilliCpu = 4001 }, wire.StartOutcome_START_NO_ROOM},
		"no memory":                {func(order *wire.StartOrder) { order.Demand.MemoryMb = 8001 }, wire.StartOutcome_START_NO_ROOM},
		"fills take no room": {func(order *wire.StartOrder) { order.Demand.MilliCpu, order.Demand.Fills = 4001, true },
			wire.StartOutcome_START_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			made.beat()
			owner := made.attach(7)
			made.ready(owner)
			order := start(7)
			test.change(order)
			owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{order}})
			made.until(func() bool { return owner.outcome() != wire.StartOutcome_START_UNSPECIFIED })
			if got := owner.outcome(); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestStartWithoutAnswer: whatever became of the order, what the owner is told
// holds for good.
func TestStartWithoutAnswer(t *testing.T) {
	tests := map[string]struct {
		fault wireworker.Fault
		want  wire.StartOutcome
		runs  bool
	}{
		"carried out":               {wireworker.FaultLost, wire.StartOutcome_START_STARTED, true},
		"carried out after seconds": {wireworker.FaultLate, wire.StartOutcome_START_WORKER_FAILED, false},
		"never reached the worker":  {wireworker.FaultReset, wire.StartOutcome_START_WORKER_FAILED, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			made.beat()
			owner := made.attach(1)
			made.ready(owner)
			made.worker.Fail(func(path string) wireworker.Fault {
				if path == "/v1/run-start" {
					return test.fault
				}
				return wireworker.FaultNone
			})
			owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
			made.until(func() bool { return owner.outcome() != wire.StartOutcome_START_UNSPECIFIED })
			if got := owner.outcome(); got != test.want {
				t.Errorf("told %v", got)
			}
			made.worker.CarryOut()
			if _, runs := made.worker.Running(task); runs != test.runs {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}

// TestSilentWorkerIsGivenUp: looks that fail renew nothing, and once the lease
// that the worker may have is over its runs are. The case that forced it: a
// worker that was gone for good was renewed by every look.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	made := newBench(t)
	made.beat()
	owner := made.attach(1)
	made.ready(owner)
	owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
	made.until(func() bool { return owner.outcome() == wire.StartOutcome_START_STARTED })
	made.worker.Fail(func(string) wireworker.Fault { return wireworker.FaultReset })
	made.pass(time.Second)
	if owner.end() != nil {
		t.Fatal("given up while the worker's lease runs")
	}
	made.until(func() bool { return owner.end() != nil })
	if _, runs := made.worker.Running(task); runs {
		t.Error("given up while it runs")
	}
	if got := owner.end().GetReason(); got != wire.EndReason_END_LOST {
		t.Errorf("told %v", got)
	}
}

// TestRestartedAgentFindsEndsOfLongAgo: the worker counts on from ends that it
// was told to forget by the agent before.
func TestRestartedAgentFindsEndsOfLongAgo(t *testing.T) {
	made := newBench(t)
	made.worker.Number(200)
	made.worker.Put(task, 3, 4*time.Second)
	made.beat()
	owner := made.attach(1)
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return len(message.GetRuns()) == 1 }) != nil
	})
	made.worker.End(task, "done")
	made.until(func() bool { return owner.end() != nil })
	owner.tell(&wire.OwnerMessage{Seen: []*wire.EndSeen{{Worker: worker, Number: 201}}})
	made.until(func() bool { _, seen := made.worker.Looks(); return seen == 201 })
}

// TestSilentOwnersRunsAreStopped: a run whose owner grants no more time ends
// before the last grant does.
func TestSilentOwnersRunsAreStopped(t *testing.T) {
	made := newBench(t)
	made.beat()
	owner := made.attach(1)
	made.ready(owner)
	granted := made.clock.Now().Add(grant)
	owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
	made.until(func() bool { return owner.outcome() == wire.StartOutcome_START_STARTED })
	made.until(func() bool { _, runs := made.worker.Running(task); return !runs })
	if now := made.clock.Now(); now.After(granted) {
		t.Errorf("it ran %v beyond the grant", now.Sub(granted))
	}
	if got := owner.end(); got != nil && got.GetReason() == wire.EndReason_END_LAPSED {
		t.Error("it was left to its lease, and what ran beside it would have ended with it")
	}
}

// TestFoundRunWaitsForItsOwner: an agent that has just started leaves a run that
// it finds alone until an owner has had time to attach.
func TestFoundRunWaitsForItsOwner(t *testing.T) {
	made := newBench(t)
	made.worker.Put(task, 1, 4*time.Second)
	made.beat()
	made.pass(time.Second)
	if _, runs := made.worker.Running(task); !runs {
		t.Fatal("stopped before an owner could attach")
	}
	owner := made.attach(1)
	made.pass(500 * time.Millisecond)
	if _, runs := made.worker.Running(task); !runs {
		t.Fatal("stopped although its owner attached")
	}
	owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
	made.pass(5 * time.Second)
	if _, runs := made.worker.Running(task); !runs {
		t.Error("its lease was not renewed")
	}
}

// TestHigherEpochTakesOver: once a later owner has claimed the shard, the earlier
// one's orders have no effect.
func TestHigherEpochTakesOver(t *testing.T) {
	made := newBench(t)
	made.beat()
	before := made.attach(1)
	made.ready(before)
	made.attach(2)
	before.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
	made.until(func() bool { return before.outcome() != wire.StartOutcome_START_UNSPECIFIED })
	if got := before.outcome(); got != wire.StartOutcome_START_STALE {
		t.Errorf("told %v", got)
	}
}
