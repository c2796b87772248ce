// Package agent implements the process that runs next to a worker and is the only one to give it orders. It
// accepts orders to start and stop runs from the owners of shards, checks whether the worker has enough free
// resources, renews the worker's lease, and reports to the owners which runs there are and which have ended.
//
// # Leases
//
// An owner grants its runs time, as a point in time on the agent's clock. The worker's lease covers all of
// its runs. It never extends beyond the earliest grant among the owners that have runs on the worker, or ends
// of runs that are not in the store yet. The agent stops the runs of an owner that has gone silent before
// that owner's grant would limit the lease of the other runs. A run is therefore certainly over once the last
// grant of its owner is, and an end that has not become known by then does not count.
//
// # Orders without an answer
//
// A start that gets no answer may take effect seconds later. The agent then raises its fencing token and asks
// the worker for its runs. The worker refuses lower tokens from then on, so its answer settles whether the
// run has started.
//
// # Shared ends
//
// An end is usually in the store within milliseconds. While the store is away, only the agent and the owner of the
// end's shard know it, and the shard may have another owner once the store is back. That one is told by the agent,
// unless the machine is gone by then. Ends that might be lost in this way are therefore told to all connected owners,
// one of which is most likely the next one. A planned stop waits until such ends are in the store.
//
// # Worker restarts
//
// A worker may restart under the same ID, as a new incarnation. It has then lost all state, including the
// fencing token, and may still carry out a call that was meant for its previous incarnation. The previous
// incarnation is therefore considered over only once the new one has answered, refuses every token that the
// previous one was sent, and runs nothing that was ordered from the previous one; see [successor].
//
// # Eviction, preemption and draining
//
// Fill runs are slowed while they interfere with serving runs, and evicted where they would have to be slowed
// too much. Less urgent runs are preempted for a task that its owner finds no room for. A run is preempted
// only if it resumes elsewhere from a checkpoint, and evicted only if it does so or has made limited
// progress. Runs that would not end before a draining worker leaves are stopped in time, whether they have a
// checkpoint or not: they would be lost with the worker.
//
// # Tasks that crash workers
//
// When a worker has crashed, the runs that had just started are suspected of having caused it, and are
// reported as suspects. Runs that have survived their start are not. A worker is given a suspected task only
// while no other one has just started there, which tells the task that causes crashes from those that
// happened to start at the same time.
//
// # Evacuated failure domains
//
// The agent makes the last check before its worker is given anything. With each order, owners send which
// failure domains operators have evacuated, and as of what time on the agent's clock they know that. The
// agent refuses the order if this information is too old: if an evacuation had been requested right
// afterwards, the run might start later than the evacuation deadline allows.
//
// # Usage
//
//	a := agent.New(agent.Options{Name: "side-1", Connect: connect, Events: events})
//	go a.Run(ctx)
//	wire.DRPCRegisterAgent(mux, a)
//	http.Handle("/", platform.HeartbeatHandler(a))
package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/loop"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/traffic"
	"ambertiller.example/ambertiller/wire"
)

const (
	// tickInterval is how often the agent checks what has become due, apart from events.
	tickInterval = 100 * time.Millisecond
	// leaseDuration is how long the worker runs on without its agent. That is long enough for an agent that
	// was killed to restart and to receive a heartbeat of the worker (1 s to start, 1.1 s until the next
	// heartbeat), and short enough for the work of a lost machine to move elsewhere within its objective.
	leaseDuration = 4 * time.Second
	// maxClockDrift is the largest relative difference between two clocks over a lease: the worker's clock
	// may run 2% slow, and so may the agent's.
	maxClockDrift = 2 * lease.MaxClockDriftRate
	// callTimeout is the timeout of an order to the worker, which is on the same machine and answers within
	// milliseconds.
	callTimeout = 800 * time.Millisecond
	// defaultPollWait is how long a poll of the worker waits for a run to end. Each poll renews the lease
	// once.
	defaultPollWait = time.Second
	// pacingPollWait is the same for a worker on which the tail latencies of serving runs are watched.
	pacingPollWait = 400 * time.Millisecond
	// pendingEndsDelay is the delay between polls while ends of runs are not in the store yet: a worker that
	// has ends to list answers at once.
	pendingEndsDelay = 40 * time.Millisecond
	// failedPollDelay is the delay between polls of a worker that does not answer.
	failedPollDelay = 150 * time.Millisecond
	// stopMargin is how long before the end of an owner's grant its runs are stopped: a stop takes up to half
	// a second, and may have to be sent twice.
	stopMargin = 1200 * time.Millisecond
	// claimTimeout is how long an agent that has just started waits for the owner of a run that it has
	// adopted.
	claimTimeout = 2500 * time.Millisecond
	// tokenStep is added to the fencing token when the worker has seen a higher one, from an earlier agent
	// whose clock was ahead.
	tokenStep = int64(time.Hour / time.Millisecond)
)

// Options configures an Agent.
type Options struct {
	// Name is the name of the node, in the store and in logs.
	Name string
	// FailureDomain is the failure domain that the agent runs in.
	FailureDomain string
	// Shards is the number of shards that jobs are distributed over.
	Shards int
	// FirstToken is the first fencing token: the wall clock time in milliseconds, so that it is higher than
	// those of earlier agents on this machine.
	FirstToken int64
	// MaxTargetMiss is how long a serving task may miss its target at a time.
	MaxTargetMiss time.Duration
	// RestoreTime is how long a run takes to resume from a checkpoint. CheckpointInterval is how much work
	// lies between two checkpoints.
	RestoreTime        time.Duration
	CheckpointInterval time.Duration
	// StopTime is how long the worker may take to stop a run; 0 if that is not known.
	StopTime time.Duration
	// EvacuationDeadline is the longest time from an operator's request until nothing is started any more in
	// the evacuated failure domain.
	EvacuationDeadline time.Duration
	// Connect returns a client for one incarnation of the worker.
	Connect func(address string, id incarnation.ID) *platform.Worker
	// MaxLease is the longest lease that the worker accepts; it shortens a longer one to that.
	MaxLease time.Duration
	Clock    clockwork.Clock
	// Suspended returns for how long the machine has been suspended, which Clock does not count. Nil means
	// never.
	Suspended func() time.Duration
	Events    *event.Logger
	// Meters creates the metric instruments. Nil creates none.
	Meters metric.MeterProvider
	// Features are the optional features that are enabled.
	Features feature.Set
}

// Agent manages the worker on its machine.
type Agent struct {
	options   Options
	agentID   string
	eventLoop *loop.Loop
	startedAt time.Time

	worker            *workerState // nil until one has sent a heartbeat
	successor         *successor   // nil while no other incarnation has sent one
	endedIncarnations map[incarnation.ID]bool
	predecessor       predecessor      // what has to be known of earlier incarnations
	lostEnds          []*wire.RunEnd   // ends of runs whose incarnation is over
	endedToRegister   []incarnation.ID // incarnations that are certainly over
	// registrationDue is set while the store does not have endedToRegister.
	registrationDue bool
	// endedChanged makes Register write the agent's record again.
	endedChanged chan struct{}
	sessions     map[*session]bool
	// sessionCount is the number of sessions so far.
	sessionCount int64
	claims       map[int32]*claim
	pacer        pacer
	offerTracker offerTracker
	// evacuationState holds the known evacuations. evacuationsWanted makes FollowOperator read them from the
	// store.
	evacuationState   operator.EvacuationState
	evacuationsWanted chan struct{}
	traffic           *traffic.Counter
	metrics           metrics
	// gaugesRecordedAt is when the gauges were last recorded.
	gaugesRecordedAt time.Time
	ctx              context.Context // the context of Run, which bounds the calls to the worker
}

// New returns an agent. It does nothing until Run is called.
func New(options Options) *Agent {
	agent := &Agent{
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
		agent.eventLoop.WatchSuspension(options.Suspended, agent.handleSuspension)
	}
	return agent
}

// Run manages the worker until ctx ends.
func (agent *Agent) Run(ctx context.Context) {
	agent.ctx = ctx
	turns := telemetry.NewTurns(agent.options.Meters, "agent", agent.options.Events)
	agent.eventLoop.WatchTurns(func(turn loop.Turn) { turns.Record(ctx, turn, agent.options.Clock.Now()) })
	agent.eventLoop.Run(ctx, tickInterval, agent.tick)
}

// tick does everything that has become due.
func (agent *Agent) tick(now time.Time) {
	agent.probeAgain(now)
	if agent.worker != nil {
		agent.stopUnownedRuns(now)
		agent.giveUpExpiredRuns(now)
		agent.voidEnds(now)
		agent.stopBeforeLeave(now)
		agent.logDelayedEnds(now)
		agent.sharePendingEnds(now)
		agent.expireOffer(now)
		agent.poll(now)
	}
	agent.pacer.mergeLearnedByAll(now)
	agent.sendUpdates(now)
	agent.recordGauges(now)
	agent.traffic.LogIfDue(agent.ctx, agent.options.Events, now)
}

func (agent *Agent) log(code event.Code, attributes ...slog.Attr) {
	agent.options.Events.Log(agent.ctx, code, attributes...)
}

// logRun logs an event about a run.
func (agent *Agent) logRun(code event.Code, run *runState, attributes ...slog.Attr) {
	common := []slog.Attr{slog.String("task", run.task), slog.Int("attempt", int(run.attempt))}
	agent.log(code, append(common, attributes...)...)
}

// uptime returns the time on the agent's clock, on which owners express their grants.
func (agent *Agent) uptime(now time.Time) time.Duration { return now.Sub(agent.startedAt) }

// unknownShard is the shard of a task whose name is invalid.
const unknownShard = -1

// shardOf returns the shard of a task's job, or unknownShard for an invalid task name.
func (agent *Agent) shardOf(task string) int32 {
	ref, err := job.ParseTaskRef(task)
	if err != nil {
		agent.log(event.RecordUnreadable, slog.String("task", task), slog.Any("error", err))
		return unknownShard
	}
	return int32(job.ShardOf(ref.Job, agent.options.Shards))
}
