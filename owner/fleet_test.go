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
	// fleetTick is how far the fake clock advances at a time. fleetTickPause is the real time that the
	// processes then get to react.
	fleetTick      = 2 * time.Millisecond
	fleetTickPause = time.Millisecond
	// heartbeatInterval is how often a worker sends heartbeats. restartDelay is how long after a crash a
	// worker restarts.
	heartbeatInterval = 1100 * time.Millisecond
	restartDelay      = 3 * time.Second
	// taskDuration is how long a task of the fleet runs.
	taskDuration = 800 * time.Millisecond
)

// fleet is an owner and some machines, each with an agent and a worker, which share a fake store.
type fleet struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	store    *wirestore.Store
	owner    *owner.Owner
	machines []*machine
}

// machine runs one worker at a time, always at the same address, and an agent.
type machine struct {
	name   string
	fleet  *fleet
	agent  *agent.Agent
	server *httptest.Server
	// relay forwards connections of owners to the agent.
	relay *relay.Relay
	// reportsStartTime is set if the worker reports its start time, and keeps its ID when it restarts.
	reportsStartTime bool
	// crashingTasks are the tasks whose start crashes the worker.
	crashingTasks map[string]bool

	mu              sync.Mutex
	worker          *wireworker.Worker
	incarnations    int
	sequence        int64
	lastHeartbeatAt time.Time
	downAt          time.Time // when the worker crashed; zero while it is up
	// startedAt is when the runs of the current incarnation started. startCounts counts the starts of each
	// task on all incarnations.
	startedAt   map[string]time.Time
	startCounts map[string]int
	// acknowledged holds the tasks of which the worker was ordered to forget a run as done.
	acknowledged   map[string]bool
	acknowledgedMu sync.Mutex
}

func newFleet(t *testing.T, machineCount int, crashingTasks ...string) *fleet {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fleet{t: t, clock: clock, store: wirestore.New(fleetShards, clock.Now)}
	server := httptest.NewServer(f.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	newStore := func() *platform.Store {
		return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport())
	}
	f.owner = owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: "10.0.0.9:7000", Shards: fleetShards, GrantDuration: 5 * time.Second, MemberTimeout: 1500 * time.Millisecond,
		JobRetention: time.Minute, Store: newStore(), Dial: rpc.DialUnpooled, Clock: clock, Events: event.Discard(),
	})
	for number := range machineCount {
		f.machines = append(f.machines, f.newMachine(ctx, newStore(), number, crashingTasks))
	}
	go f.owner.Run(ctx)
	return f
}

func (f *fleet) newMachine(ctx context.Context, store *platform.Store, number int, crashingTasks []string) *machine {
	machine := &machine{name: fmt.Sprintf("side-%d", number), fleet: f, reportsStartTime: number%2 == 1, crashingTasks: map[string]bool{}, startCounts: map[string]int{}, acknowledged: map[string]bool{}}
	for _, task := range crashingTasks {
		machine.crashingTasks[task] = true
	}
	machine.startWorker()
	machine.server = httptest.NewServer(machine)
	f.t.Cleanup(func() {
		machine.server.CloseClientConnections()
		machine.server.Close()
	})
	machine.agent = agent.New(agent.Options{
		Name: machine.name, Shards: fleetShards, FirstToken: f.clock.Now().UnixMilli(), Clock: f.clock, Events: event.Discard(),
		EvacuationDeadline: 5 * time.Second,
		Connect: func(address string, id incarnation.ID) *platform.Worker {
			return platform.NewWorker(address, id, platform.NewTransport())
		},
	})
	server, err := rpc.Listen(ctx, "127.0.0.1:0", nil, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, machine.agent) })
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx) }()
	go machine.agent.Run(ctx)
	machine.relay, err = relay.New(ctx, server.Address())
	if err != nil {
		f.t.Fatal(err)
	}
	go machine.agent.Register(ctx, store, machine.relay.Address())
	return machine
}

// startWorker starts the next incarnation of the worker. It has the same ID as the previous one if the worker
// reports its start time.
func (machine *machine) startWorker() {
	machine.incarnations++
	switch {
	case !machine.reportsStartTime:
		machine.worker = wireworker.New(fmt.Sprintf("%s-life-%d", machine.name, machine.incarnations), machine.fleet.clock)
	case machine.worker == nil:
		machine.worker = wireworker.NewWithStartTime(machine.name, machine.fleet.clock)
	default:
		machine.worker = machine.worker.Restart()
	}
	machine.worker.OnChange(machine.recordAcknowledged)
	machine.startedAt = map[string]time.Time{}
	machine.sequence, machine.lastHeartbeatAt, machine.downAt = 0, time.Time{}, time.Time{}
}

// recordAcknowledged records the tasks of which the worker is ordered to forget a run as done.
func (machine *machine) recordAcknowledged(change wireworker.Change) {
	if change.Kind == wireworker.Acknowledged && change.Reason == "done" {
		// The caller may or may not hold machine.mu, so the field has a lock of its own.
		machine.acknowledgedMu.Lock()
		defer machine.acknowledgedMu.Unlock()
		machine.acknowledged[change.Task] = true
	}
}

// ServeHTTP passes requests on to the worker. After the start of a task that crashes workers, the worker
// and all its connections are gone.
func (machine *machine) ServeHTTP(response http.ResponseWriter, request *http.Request) {
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
		worker.ServeHTTP(response, request)
		return
	}
	recorded := httptest.NewRecorder()
	worker.ServeHTTP(recorded, request)
	if machine.recordStarts(worker, before) {
		go machine.server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	}
	response.WriteHeader(recorded.Code)
	_, _ = response.Write(recorded.Body.Bytes())
}

// recordStarts records the tasks that a worker has started, and reports whether the worker is down or was
// replaced.
func (machine *machine) recordStarts(worker *wireworker.Worker, before int) bool {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if machine.worker != worker {
		return true
	}
	now := machine.fleet.clock.Now()
	for _, start := range worker.Starts()[before:] {
		if _, running := worker.Running(start.Task); !running {
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

// tick restarts a crashed worker when that is due, ends runs after taskDuration, and sends heartbeats.
func (machine *machine) tick(now time.Time) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if !machine.downAt.IsZero() {
		if now.Sub(machine.downAt) < restartDelay {
			return
		}
		machine.startWorker()
	}
	for task, startedAt := range machine.startedAt {
		if now.Sub(startedAt) >= taskDuration {
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
		Incarnation: incarnation.New(machine.worker.ID(), machine.worker.StartTime()), Service: "verbale",
		Address: strings.TrimPrefix(machine.server.URL, "http://"), MilliCPU: 8000, MemoryMB: 8000, Sequence: machine.sequence,
	})
}

// submit appends a job with one step to the store.
func (f *fleet) submit(id string, tasks int32) {
	value, err := proto.Marshal(&job.Submission{
		Id: id, Queue: "r-1", Service: "verbale", Attempts: 3, Extension: 4, TargetLatencyMs: 1000, SubmittedMs: f.clock.Now().UnixMilli(),
		Steps: []*job.StepSpec{{Count: tasks, MilliCpu: 500, MemoryMb: 100, EstimateMs: taskDuration.Milliseconds()}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put(job.TopicJobs, job.ShardOf(id, fleetShards), job.SubmissionKey(id), value)
}

// state returns the state of a job as clients see it.
func (f *fleet) state(id string) job.State {
	reply, err := f.owner.JobState(context.Background(), &wire.JobStateRequest{Id: id, Shard: int32(job.ShardOf(id, fleetShards))})
	if err != nil {
		return job.State_STATE_QUEUED
	}
	return reply.GetState()
}

// startCount returns the number of starts of a task on all workers.
func (f *fleet) startCount(task string) int {
	count := 0
	for _, machine := range f.machines {
		machine.mu.Lock()
		count += machine.startCounts[task]
		machine.mu.Unlock()
	}
	return count
}

// incarnationCount returns the number of incarnations of all workers.
func (f *fleet) incarnationCount() int {
	count := 0
	for _, machine := range f.machines {
		machine.mu.Lock()
		count += machine.incarnations
		machine.mu.Unlock()
	}
	return count
}

// advanceUntil advances the clock until a condition holds, and reports whether it did before the timeout.
func (f *fleet) advanceUntil(timeout time.Duration, condition func() bool) bool {
	for end := f.clock.Now().Add(timeout); f.clock.Now().Before(end); {
		f.owner.UpdateEvacuations(operator.NewEvacuations(1, nil), f.clock.Now())
		for range 50 {
			f.clock.Advance(fleetTick)
			time.Sleep(fleetTickPause)
			for _, machine := range f.machines {
				machine.tick(f.clock.Now())
			}
		}
		if condition() {
			return true
		}
	}
	return false
}
