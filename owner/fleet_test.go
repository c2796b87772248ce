package owner_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/agent"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin/relay"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

const (
	fleetShards = 8
	// fleetTick is how much time passes at once, fleetTickPause how long the processes then have
	// to get on with it.
	fleetTick      = 2 * time.Millisecond
	fleetTickPause = time.Millisecond
	// heartbeatInterval is how often a worker sends a heartbeat, restartDelay how long a worker that has
	// crashed is away.
	heartbeatInterval = 1100 * time.Millisecond
	restartDelay      = 3 * time.Second
	// taskDuration is what a task of the fleet works.
	taskDuration = 800 * time.Millisecond
)

// fleet is an owner and some machines, each with an agent and a worker, over a stand-in for
// the store.
type fleet struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	store    *wirestore.Store
	owner    *owner.Owner
	machines []*machine
}

// machine is one worker after the other at one address, and the agent beside them.
type machine struct {
	name   string
	fleet  *fleet
	agent  *agent.Agent
	server *httptest.Server
	// relay is what owners reach the agent by.
	relay *relay.Relay
	// reportsStartTime has the worker say when it started, and start again under its id.
	reportsStartTime bool
	// crashingTasks are the tasks that bring a worker down.
	crashingTasks map[string]bool

	mu              sync.Mutex
	worker          *wireworker.Worker
	incarnations    int
	sequence        int64
	lastHeartbeatAt time.Time
	downAt          time.Time // zero while it is up
	// startedAt is when the runs of the present life began, started counts the starts of each
	// task on all lives.
	startedAt   map[string]time.Time
	startCounts map[string]int
	// acknowledged holds the tasks whose run the worker was told to forget as done.
	acknowledged   map[string]bool
	acknowledgedMu sync.Mutex
}

func newFleet(t *testing.T, machines int, crashers ...string) *fleet {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	made := &fleet{t: t, clock: clock, store: wirestore.New(fleetShards, clock.Now)}
	served := httptest.NewServer(made.store)
	t.Cleanup(func() {
		served.CloseClientConnections()
		served.Close()
	})
	calls := func() *platform.Store {
		return platform.NewStore(strings.TrimPrefix(served.URL, "http://"), platform.NewTransport())
	}
	made.owner = owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: "10.0.0.9:7000", Shards: fleetShards, GrantDuration: 5 * time.Second, MemberTimeout: 1500 * time.Millisecond,
		JobRetention: time.Minute, Store: calls(), Dial: rpc.DialOne, Clock: clock, Events: event.Discard(),
	})
	for number := range machines {
		made.machines = append(made.machines, made.newMachine(ctx, calls(), number, crashers))
	}
	go made.owner.Run(ctx)
	return made
}

func (made *fleet) newMachine(ctx context.Context, store *platform.Store, number int, crashers []string) *machine {
	begun := &machine{name: fmt.Sprintf("side-%d", number), fleet: made, reportsStartTime: number%2 == 1, crashingTasks: map[string]bool{}, startCounts: map[string]int{}, acknowledged: map[string]bool{}}
	for _, task := range crashers {
		begun.crashingTasks[task] = true
	}
	begun.startWorker()
	begun.server = httptest.NewServer(begun)
	made.t.Cleanup(func() {
		begun.server.CloseClientConnections()
		begun.server.Close()
	})
	begun.agent = agent.New(agent.Options{
		Name: begun.name, Shards: fleetShards, FirstToken: made.clock.Now().UnixMilli(), Clock: made.clock, Events: event.Discard(),
		EvacuationDeadline: 5 * time.Second,
		Connect: func(address string, of incarnation.ID) *platform.Worker {
			return platform.NewWorker(address, of, platform.NewTransport())
		},
	})
	listening, err := rpc.Listen(ctx, "127.0.0.1:0", nil, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, begun.agent) })
	if err != nil {
		made.t.Fatal(err)
	}
	go func() { _ = listening.Serve(ctx) }()
	go begun.agent.Run(ctx)
	begun.relay, err = relay.New(ctx, listening.Address())
	if err != nil {
		made.t.Fatal(err)
	}
	go begun.agent.Register(ctx, store, begun.relay.Address())
	return begun
}

// startWorker begins the next life of the worker: under the id of the one before where it says when it started.
func (machine *machine) startWorker() {
	machine.incarnations++
	switch {
	case !machine.reportsStartTime:
		machine.worker = wireworker.New(fmt.Sprintf("%s-life-%d", machine.name, machine.incarnations), machine.fleet.clock)
	case machine.worker == nil:
		machine.worker = wireworker.NewDated(machine.name, machine.fleet.clock)
	default:
		machine.worker = machine.worker.StartAgain()
	}
	machine.worker.Watch(machine.recordAcknowledged)
	machine.startedAt = map[string]time.Time{}
	machine.sequence, machine.lastHeartbeatAt, machine.downAt = 0, time.Time{}, time.Time{}
}

// recordAcknowledged takes note of ends that the worker was told to forget.
func (machine *machine) recordAcknowledged(change wireworker.Change) {
	if change.Kind == wireworker.Noted && change.How == "done" {
		// The worker is called with the machine's lock held, or by no one who holds it.
		machine.acknowledgedMu.Lock()
		defer machine.acknowledgedMu.Unlock()
		machine.acknowledged[change.Task] = true
	}
}

// ServeHTTP is the worker's address. A start of a task that brings workers down is taken, and
// the worker with all its connections is gone.
func (machine *machine) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	machine.mu.Lock()
	worker, down := machine.worker, !machine.downAt.IsZero()
	machine.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	before := len(worker.Starts())
	if request.URL.Path != "/v1/run-start" {
		worker.ServeHTTP(answer, request)
		return
	}
	kept := httptest.NewRecorder()
	worker.ServeHTTP(kept, request)
	if machine.recordStarts(worker, before) {
		go machine.server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	}
	answer.WriteHeader(kept.Code)
	_, _ = answer.Write(kept.Body.Bytes())
}

// recordStarts takes note of what a worker has started, and reports whether that brings it down.
func (machine *machine) recordStarts(worker *wireworker.Worker, before int) bool {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if machine.worker != worker {
		return true
	}
	now := machine.fleet.clock.Now()
	for _, start := range worker.Starts()[before:] {
		if _, runs := worker.Running(start.Task); !runs {
			continue
		}
		machine.startCounts[start.Task]++
		machine.startedAt[start.Task] = now
		if machine.crashingTasks[start.Task] {
			machine.downAt = now
		}
	}
	return !machine.downAt.IsZero()
}

// tick has the worker come back, send heartbeats, and end what has worked long enough.
func (machine *machine) tick(now time.Time) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if !machine.downAt.IsZero() {
		if now.Sub(machine.downAt) < restartDelay {
			return
		}
		machine.startWorker()
	}
	for task, begun := range machine.startedAt {
		if now.Sub(begun) >= taskDuration {
			machine.worker.End(task, "done")
			delete(machine.startedAt, task)
		}
	}
	if now.Sub(machine.lastHeartbeatAt) < heartbeatInterval {
		return
	}
	machine.sequence++
	machine.lastHeartbeatAt = now
	machine.agent.HandleHeartbeat(platform.Heartbeat{
		Incarnation: incarnation.New(machine.worker.ID(), machine.worker.Born()), Service: "verbale",
		Address: strings.TrimPrefix(machine.server.URL, "http://"), MilliCPU: 8000, MemoryMB: 8000, Sequence: machine.sequence,
	})
}

// submit hands a job of one step in.
func (made *fleet) submit(id string, tasks int32) {
	value, err := proto.Marshal(&job.Submission{
		Id: id, Queue: "r-1", Service: "verbale", Attempts: 3, Extension: 4, TargetLatencyMs: 1000, SubmittedMs: made.clock.Now().UnixMilli(),
		Steps: []*job.StepSpec{{Count: tasks, MilliCpu: 500, MemoryMb: 100, EstimateMs: taskDuration.Milliseconds()}},
	})
	if err != nil {
		made.t.Fatal(err)
	}
	made.store.Put(job.TopicJobs, job.ShardOf(id, fleetShards), job.SubmissionKey(id), value)
}

// state returns what a client is told of a job.
func (made *fleet) state(id string) job.State {
	reply, err := made.owner.JobState(context.Background(), &wire.JobStateRequest{Id: id, Shard: int32(job.ShardOf(id, fleetShards))})
	if err != nil {
		return job.State_STATE_QUEUED
	}
	return reply.GetState()
}

// startCount counts the starts of a task on all workers.
func (made *fleet) startCount(task string) int {
	count := 0
	for _, machine := range made.machines {
		machine.mu.Lock()
		count += machine.startCounts[task]
		machine.mu.Unlock()
	}
	return count
}

// incarnationCount counts the lives of all workers.
func (made *fleet) incarnationCount() int {
	count := 0
	for _, machine := range made.machines {
		machine.mu.Lock()
		count += machine.incarnations
		machine.mu.Unlock()
	}
	return count
}

// advanceUntil lets time pass until what is waited for holds, most of it at most.
func (made *fleet) advanceUntil(most time.Duration, holds func() bool) bool {
	for end := made.clock.Now().Add(most); made.clock.Now().Before(end); {
		made.owner.UpdateEvacuations(operator.NewEvacuations(1, nil), made.clock.Now())
		for range 50 {
			made.clock.Advance(fleetTick)
			time.Sleep(fleetTickPause)
			for _, machine := range made.machines {
				machine.tick(made.clock.Now())
			}
		}
		if holds() {
			return true
		}
	}
	return false
}
