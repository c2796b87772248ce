// Package agent runs beside one worker. It is the only process that gives the
// worker orders: it takes starts and stops from the owners of shards, decides
// whether the worker has room, renews the worker's lease, and tells the owners
// what runs and what has ended.
//
// # Leases
//
// An owner grants its runs time on the agent's own clock. The worker's lease,
// which holds for everything that it runs, never goes beyond the earliest grant
// of an owner with runs there, or with ends of runs that are not in the store yet;
// the agent stops the runs of an owner that has been silent before that owner's
// grant would hold the others up. So a run is over for certain once its owner's
// last grant is, and its end, if nobody knows of it by then, does not count.
//
// # Orders without an answer
//
// A start that gets no answer may take effect seconds later. The agent then
// raises its fencing token and asks the worker what runs: the worker obeys no
// lower token from there on, so the answer settles it.
//
// # Workers that start again
//
// A worker may start again under its id. It then holds nothing of before, not the fencing token either,
// and a call that was meant for the life before may still be carried out. So that life is over only once
// the next one has answered, obeys no token that the life before was sent, and runs nothing that was
// ordered of it; see [successor].
//
// # Runs that are stopped for others, or ahead of an end
//
// Tasks that fill are slowed while they disturb those that serve, and evicted where
// they would have to be slowed much. Less urgent runs are pre-empted for a task that an
// owner finds no room for. Only runs that go on elsewhere from a checkpoint are evicted
// or pre-empted. What would not end before a leaving worker is gone is stopped in time,
// whether it has a checkpoint or not: with the worker it would be lost.
//
// # Tasks that bring workers down
//
// When a worker has crashed, the runs that had just begun are suspects and told so: nothing
// that outlived its start is. One suspect is started at a time on a worker, apart from others,
// which tells chance victims from the cause.
//
// # Evacuated failure domains
//
// The agent is the last to check that its worker may be given anything. Owners tell it with
// each order what operators have written, and as of which moment of the agent's own clock;
// the order is refused if that is older than a start may take less than an evacuation.
//
// # Usage
//
//	beside := agent.New(agent.Options{Name: "side-1", Connect: connect, Events: events})
//	go beside.Run(ctx)
//	wire.DRPCRegisterAgent(mux, beside)
//	http.Handle("/", platform.BeatHandler(beside))
package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/loop"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/traffic"
	"ambertiller.example/ambertiller/wire"
)

const (
	// stepEvery is how often what is due is looked for without an event.
	stepEvery = 100 * time.Millisecond
	// leaseLength is how long the worker runs on without its agent: long
	// enough for an agent that was killed to come back and hear of the worker
	// (1 s to start, 1.1 s to the next heartbeat), short enough that work on a
	// lost machine moves within its objective.
	leaseLength = 4 * time.Second
	// clockSlack is what two clocks differ by at most over a lease: the
	// worker's may run 2% slow, and so may ours.
	clockSlack = 2 * lease.ClockRateBound
	// callTimeout bounds an order to the worker, which is on the same machine
	// and answers within milliseconds.
	callTimeout = 800 * time.Millisecond
	// holdWait is how long a look at the worker waits for an end. Leases are
	// renewed once in each.
	holdWait = time.Second
	// pacedHoldWait is the same where the tails of serving tasks are watched.
	pacedHoldWait = 400 * time.Millisecond
	// unseenPause keeps looks apart while ends wait to be made durable: a
	// worker that has ends to tell answers at once.
	unseenPause = 40 * time.Millisecond
	// failedPause keeps looks at a worker that does not answer apart.
	failedPause = 150 * time.Millisecond
	// stopBefore is how long before the end of an owner's grant its runs are
	// stopped: a stop takes up to half a second, and one may have to be sent
	// twice.
	stopBefore = 1200 * time.Millisecond
	// unclaimedMost is how long an agent that has just started waits for the
	// owner of a run that it found.
	unclaimedMost = 2500 * time.Millisecond
	// tokenStep goes above the token of an earlier agent whose clock was ahead.
	tokenStep = int64(time.Hour / time.Millisecond)
)

// Options sets up an Agent.
type Options struct {
	// Name is the node's name, for logs.
	Name string
	// FailureDomain is where the agent stands.
	FailureDomain string
	// Shards is how many shards jobs are spread over.
	Shards int
	// FirstToken is the first fencing token: the wall clock in milliseconds,
	// so that it is above those of earlier agents on this machine.
	FirstToken int64
	// HarmAfter is how long a serving task may miss its target on end.
	HarmAfter time.Duration
	// RestoreTakes is what a run takes to go on from a checkpoint, SaveEvery how much work
	// lies between two of them.
	RestoreTakes time.Duration
	SaveEvery    time.Duration
	// EvacuateWithin is how long after an operator has asked for it nothing may be
	// started any more in an evacuated failure domain.
	EvacuateWithin time.Duration
	// Connect returns a client of one incarnation of the worker.
	Connect func(address string, of incarnation.ID) *platform.Worker
	// LeaseMost is the longest lease that the worker takes; a longer one is cut down to it.
	LeaseMost time.Duration
	Clock     clockwork.Clock
	// Suspended tells for how long the machine has been suspended, which Clock does not
	// count; nil for never.
	Suspended func() time.Duration
	Events    *event.Logger
	// Meters makes the instruments; nil for none.
	Meters metric.MeterProvider
}

// Agent takes care of the worker on its machine.
type Agent struct {
	options   Options
	id        string
	decisions *loop.Loop
	started   time.Time

	worker *workerState // nil until one has sent a heartbeat
	next   *successor   // nil while no other incarnation has sent one
	gone   map[incarnation.ID]bool
	former former           // what is left of the incarnations before
	lost   []*wire.RunEnd   // ends of runs whose incarnation is over
	ended  []incarnation.ID // incarnations that have ended for certain
	// endedNews wakes the registration.
	endedNews chan struct{}
	owners    map[*session]bool
	// connections counts the streams that owners have spoken on.
	connections int64
	claims      map[int32]*claim
	paced       pacing
	// knowledge is what is known of evacuations; operatorWanted has it read here.
	knowledge      operator.Knowledge
	operatorWanted chan struct{}
	sent           *traffic.Sent
	meters         meters
	// gaugedAt is when the gauges were last set.
	gaugedAt time.Time
	ctx      context.Context // ends the calls to the worker with the agent
}

// New returns an agent that does nothing until Run.
func New(options Options) *Agent {
	made := &Agent{
		options:   options,
		id:        uuid.NewString(),
		decisions: loop.New(options.Clock),
		started:   options.Clock.Now(),
		gone:      map[incarnation.ID]bool{},
		former:    former{token: options.FirstToken, told: firstTold(options.FirstToken)},
		endedNews: make(chan struct{}, 1),

		operatorWanted: make(chan struct{}, 1),
		owners:         map[*session]bool{},
		claims:         map[int32]*claim{},
		sent:           traffic.New(options.Meters),
		meters:         newMeters(options.Meters),
		paced:          newPacing(options.HarmAfter),
	}
	if options.Suspended != nil {
		made.decisions.WatchSuspension(options.Suspended, made.noteSuspended)
	}
	return made
}

// Run takes care of the worker until ctx ends.
func (agent *Agent) Run(ctx context.Context) {
	agent.ctx = ctx
	agent.decisions.Run(ctx, stepEvery, agent.step)
}

// step does what is due.
func (agent *Agent) step(now time.Time) {
	agent.askAgain(now)
	if agent.worker != nil {
		agent.stopUnowned(now)
		agent.giveUpLost(now)
		agent.voidEnds(now)
		agent.moveAhead(now)
		agent.logWaiting(now)
		agent.look(now)
	}
	agent.paced.shareAgain(now)
	agent.tellOwners(now)
	agent.gauge(now)
	agent.sent.Log(agent.ctx, agent.options.Events, now)
}

func (agent *Agent) log(code event.Code, attributes ...slog.Attr) {
	agent.options.Events.Log(agent.ctx, code, attributes...)
}

// logRun logs what becomes of a run.
func (agent *Agent) logRun(code event.Code, run *runState, attributes ...slog.Attr) {
	about := []slog.Attr{slog.String("task", run.task), slog.Int("attempt", int(run.attempt))}
	agent.log(code, append(about, attributes...)...)
}

// uptime is the clock that grants are given in.
func (agent *Agent) uptime(now time.Time) time.Duration { return now.Sub(agent.started) }

// noShard stands for the shard of a task whose name is none.
const noShard = -1

// shardOf returns the shard of a task's job, or noShard for a name that is none.
func (agent *Agent) shardOf(task string) int32 {
	ref, err := job.ParseTaskRef(task)
	if err != nil {
		agent.log(event.RecordUnreadable, slog.String("task", task), slog.Any("error", err))
		return noShard
	}
	return int32(job.ShardOf(ref.Job, agent.options.Shards))
}
