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
	// tickInterval is how often what is due is looked for without an event.
	tickInterval = 100 * time.Millisecond
	// leaseDuration is how long the worker runs on without its agent: long
	// enough for an agent that was killed to come back and hear of the worker
	// (1 s to start, 1.1 s to the next heartbeat), short enough that work on a
	// lost machine moves within its objective.
	leaseDuration = 4 * time.Second
	// maxClockDrift is what two clocks differ by at most over a lease: the
	// worker's may run 2% slow, and so may ours.
	maxClockDrift = 2 * lease.ClockRateBound
	// callTimeout bounds an order to the worker, which is on the same machine
	// and answers within milliseconds.
	callTimeout = 800 * time.Millisecond
	// defaultPollWait is how long a look at the worker waits for an end. Leases are
	// renewed once in each.
	defaultPollWait = time.Second
	// pacingPollWait is the same where the tails of serving tasks are watched.
	pacingPollWait = 400 * time.Millisecond
	// pendingEndsDelay keeps looks apart while ends wait to be made durable: a
	// worker that has ends to tell answers at once.
	pendingEndsDelay = 40 * time.Millisecond
	// failedPollDelay keeps looks at a worker that does not answer apart.
	failedPollDelay = 150 * time.Millisecond
	// stopMargin is how long before the end of an owner's grant its runs are
	// stopped: a stop takes up to half a second, and one may have to be sent
	// twice.
	stopMargin = 1200 * time.Millisecond
	// claimTimeout is how long an agent that has just started waits for the
	// owner of a run that it found.
	claimTimeout = 2500 * time.Millisecond
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
	// MaxTargetMiss is how long a serving task may miss its target on end.
	MaxTargetMiss time.Duration
	// RestoreTime is what a run takes to go on from a checkpoint, SaveEvery how much work
	// lies between two of them.
	RestoreTime        time.Duration
	CheckpointInterval time.Duration
	// EvacuationDeadline is how long after an operator has asked for it nothing may be
	// started any more in an evacuated failure domain.
	EvacuationDeadline time.Duration
	// Connect returns a client of one incarnation of the worker.
	Connect func(address string, of incarnation.ID) *platform.Worker
	// MaxLease is the longest lease that the worker takes; a longer one is cut down to it.
	MaxLease time.Duration
	Clock    clockwork.Clock
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
	agentID   string
	eventLoop *loop.Loop
	startedAt time.Time

	worker            *workerState // nil until one has sent a heartbeat
	successor         *successor   // nil while no other incarnation has sent one
	endedIncarnations map[incarnation.ID]bool
	predecessor       predecessor      // what is left of the incarnations before
	lostEnds          []*wire.RunEnd   // ends of runs whose incarnation is over
	endedToRegister   []incarnation.ID // incarnations that have ended for certain
	// endedChanged wakes the registration.
	endedChanged chan struct{}
	sessions     map[*session]bool
	// sessionCount counts the streams that owners have spoken on.
	sessionCount int64
	claims       map[int32]*claim
	pacer        pacer
	// evacuationState is what is known of evacuations; operatorWanted has it read here.
	evacuationState   operator.Knowledge
	evacuationsWanted chan struct{}
	traffic           *traffic.Sent
	metrics           metrics
	// gaugesRecordedAt is when the gauges were last set.
	gaugesRecordedAt time.Time
	ctx              context.Context // ends the calls to the worker with the agent
}

// New returns an agent that does nothing until Run.
func New(options Options) *Agent {
	made := &Agent{
		options:           options,
		agentID:           uuid.NewString(),
		eventLoop:         loop.New(options.Clock),
		startedAt:         options.Clock.Now(),
		endedIncarnations: map[incarnation.ID]bool{},
		predecessor:       predecessor{token: options.FirstToken, lastEndNumber: initialEndNumberOffset(options.FirstToken)},
		endedChanged:      make(chan struct{}, 1),

		evacuationsWanted: make(chan struct{}, 1),
		sessions:          map[*session]bool{},
		claims:            map[int32]*claim{},
		traffic:           traffic.New(options.Meters),
		metrics:           newMetrics(options.Meters),
		pacer:             newPacer(options.MaxTargetMiss),
	}
	if options.Suspended != nil {
		made.eventLoop.WatchSuspension(options.Suspended, made.handleSuspension)
	}
	return made
}

// Run takes care of the worker until ctx ends.
func (agent *Agent) Run(ctx context.Context) {
	agent.ctx = ctx
	agent.eventLoop.Run(ctx, tickInterval, agent.tick)
}

// tick does what is due.
func (agent *Agent) tick(now time.Time) {
	agent.probeAgain(now)
	if agent.worker != nil {
		agent.stopUnownedRuns(now)
		agent.giveUpExpiredRuns(now)
		agent.voidEnds(now)
		agent.stopBeforeLeave(now)
		agent.logDelayedEnds(now)
		agent.poll(now)
	}
	agent.pacer.mergeLearnedByAll(now)
	agent.sendUpdates(now)
	agent.recordGauges(now)
	agent.traffic.Log(agent.ctx, agent.options.Events, now)
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
func (agent *Agent) uptime(now time.Time) time.Duration { return now.Sub(agent.startedAt) }

// unknownShard stands for the shard of a task whose name is none.
const unknownShard = -1

// shardOf returns the shard of a task's job, or unknownShard for a name that is none.
func (agent *Agent) shardOf(task string) int32 {
	ref, err := job.ParseTaskRef(task)
	if err != nil {
		agent.log(event.RecordUnreadable, slog.String("task", task), slog.Any("error", err))
		return unknownShard
	}
	return int32(job.ShardOf(ref.Job, agent.options.Shards))
}
