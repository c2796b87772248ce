// Package owner schedules the jobs of the shards that the platform's store has assigned to this entry.
//
// An entry is a process that accepts jobs from clients and that may own shards. A shard is a partition of
// the topics that hold jobs. Any entry appends jobs to it. The shard's owner reads them, decides where each
// task runs, and appends their progress. The store assigns shards to entries and fences their writes by
// epoch, so an owner that has been replaced cannot write. An owner acts on a decision only after the store
// has it:
//
//   - a start is in the store before the start order is sent to an agent;
//   - the end of a run is in the store before the worker is ordered to forget it, and before a client is
//     informed that the job has completed.
//
// A run is one attempt to execute a task on a worker. Each worker has an agent on its machine, which receives
// the orders of all owners and forwards them to the worker; see package agent.
//
// # Unresponsive agents
//
// Each message of an owner grants its runs time, on the agent's clock: an agent stops a run before its grant
// expires unless the grant is renewed. If an agent stops answering, the owner releases the runs there once
// the last grant must have expired, and not before.
//
// # Usage
//
//	scheduling := owner.New(owner.Options{Name: "edge-1", Store: store, ...})
//	go scheduling.Run(ctx)
//	wire.DRPCRegisterPeer(mux, scheduling)
//	scheduling.Leave(ctx)
package owner

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
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
	// tickInterval is how often due work is done if no event arrives.
	tickInterval = 100 * time.Millisecond
	// maxClockDrift is the most by which two clocks diverge over a grant, as a share of its duration.
	maxClockDrift = 2 * lease.MaxClockDriftRate
	// grantMargin is how long after the expiry of a grant its runs are released: a stop takes up to half a
	// second.
	grantMargin = 600 * time.Millisecond
	// grantInterval is how often grants are renewed, which is well within their duration.
	grantInterval = 500 * time.Millisecond
	// storeOutageTolerance is how long an owner keeps granting time after the store last confirmed that it
	// owns its shards. Together with the grant's duration it is how long an outage of the store may last
	// without stopping runs, 11 s, and about how long a new owner waits before it releases a run on a machine
	// that is gone.
	storeOutageTolerance = 6 * time.Second
)

// Options configures an Owner.
type Options struct {
	// Name and Address identify this entry to other processes.
	Name    string
	Address string
	// FailureDomain is the failure domain of the entry's machine.
	FailureDomain string
	// Shards is the number of shards.
	Shards int
	// Strong is set if the machine has the capacity to own several shards. Other entries become owners only
	// while there are too few strong ones.
	Strong bool
	// GrantDuration is how long runs continue without a message from their owner.
	GrantDuration time.Duration
	// MemberTimeout is how long after a member's last join the store assigns its shards to others.
	MemberTimeout time.Duration
	// JobRetention is how long clients may ask for the state of a job that has ended.
	JobRetention time.Duration
	Store        *platform.Store
	// Advisor is asked which workers may run the tasks of a step; nil if there is no such service.
	Advisor *platform.Advisor
	// Dial connects to an agent.
	Dial  func(ctx context.Context, address string) (drpc.Conn, error)
	Clock clockwork.Clock
	// Suspended returns how long the machine has been suspended in total, which Clock does not count. It is
	// nil if the machine is never suspended.
	Suspended func() time.Duration
	Events    *event.Logger
	// Meters creates the metric instruments; nil for none.
	Meters metric.MeterProvider
	// Features are the optional features that are enabled.
	Features feature.Set
}

// Owner schedules the jobs of its shards. Its state is accessed on the event loop only, except where a field
// says otherwise.
type Owner struct {
	// Calls of later builds are answered with the code Unimplemented.
	wire.DRPCPeerUnimplementedServer

	options   Options
	eventLoop *loop.Loop
	ctx       context.Context // the context of Run, parent of all calls that the owner makes
	// stopCandidacy ends the candidacy; candidacyDone is closed once it has ended.
	candidacyCtx  context.Context
	stopCandidacy context.CancelFunc
	candidacyDone chan struct{}
	// counting is the count of the registered agents in progress, nil if there is none. Only the candidacy uses it.
	counting *agentCount
	// session is nil while the entry is not a candidate for owning shards. Only the goroutine of the
	// candidacy changes it, and Leave after that goroutine has ended.
	session *ownerSession
	// leaveBeforeJoin makes the entry leave the group of owners before it joins. Otherwise, a process that
	// restarts before its member timeout would get its shards back under the epoch that it used before, and
	// a late append of the earlier process could take the sequence number of a new one.
	leaveBeforeJoin atomic.Bool

	// lastJoinAt is when the last successful join was sent: the store confirmed the ownership of the
	// shards as of then.
	lastJoinAt time.Time
	shards     map[int]*shard
	// unconfirmedSince is when the last join that the store answered was sent, if the shards are not confirmed
	// any more, or zero.
	unconfirmedSince time.Time
	// fencedEpochs holds, by shard, the epoch under which the store has refused a write. The shard is not
	// acquired again under that epoch.
	fencedEpochs map[int]int64
	agents       map[string]*agentView // by address
	// agentsDropped is set after the entry has disconnected from all agents, until it is a candidate again.
	agentsDropped bool
	// evacuationState says which failure domains are evacuated, and as of when that is known.
	evacuationState  operator.EvacuationState
	peerBacklogs     peerBacklogs
	backlogs         backlogState
	shares           *queueShares // nil if the feature is off
	refusedCallers   refusedCallers
	placementChanges placementChanges
	pass             *placementPass // nil unless one is in progress
	// workersExamined counts the workers examined for placing tasks, once for each job, since the counter
	// of the metrics was last increased.
	workersExamined int64
	// learnedPublishedAt is when the interference estimates for agents were last recomputed.
	learnedPublishedAt time.Time
	advice             adviceQueue
	moves              moveState
	traffic            *traffic.Counter
	metrics            metrics
	gaugesRecordedAt   time.Time
}

// New returns an owner that owns no shards until Run is called.
func New(options Options) *Owner {
	candidacyCtx, stopCandidacy := context.WithCancel(context.Background())
	owner := &Owner{
		options:          options,
		eventLoop:        loop.New(options.Clock),
		candidacyCtx:     candidacyCtx,
		stopCandidacy:    stopCandidacy,
		candidacyDone:    make(chan struct{}),
		shards:           map[int]*shard{},
		fencedEpochs:     map[int]int64{},
		agents:           map[string]*agentView{},
		traffic:          traffic.New(options.Meters),
		metrics:          newMetrics(options.Meters),
		refusedCallers:   newRefusedCallers(options.Meters),
		advice:           adviceQueue{steps: map[string]*stepAdvice{}},
		placementChanges: newPlacementChanges(),
		backlogs:         newBacklogState(),
		moves:            newMoveState(),
		shares:           newQueueShares(options),
	}
	owner.leaveBeforeJoin.Store(true)
	if options.Suspended != nil {
		owner.eventLoop.WatchSuspension(options.Suspended, owner.handleSuspension)
	}
	return owner
}

// Run schedules jobs until ctx ends.
func (owner *Owner) Run(ctx context.Context) {
	owner.ctx = ctx
	go owner.runCandidacy(owner.candidacyCtx)
	turns := telemetry.NewTurns(owner.options.Meters, "owner", owner.options.Events)
	owner.eventLoop.WatchTurns(func(turn loop.Turn) { turns.Record(ctx, turn, owner.options.Clock.Now()) })
	owner.eventLoop.Run(ctx, tickInterval, owner.tick)
	owner.stopCandidacy()
}

// MemberName returns the name under which the entry joins groups. It consists of a prefix for the capacity of
// the machine, the name of the entry, and the address at which other processes reach it.
func (owner *Owner) MemberName() string {
	prefix := weakPrefix
	if owner.options.Strong {
		prefix = strongPrefix
	}
	return prefix + owner.options.Name + memberSeparator + owner.options.Address
}

const (
	// strongPrefix starts the member names of entries with Options.Strong, weakPrefix those of the others.
	strongPrefix = "strong/"
	weakPrefix   = "weak/"
)

// memberSeparator separates the name from the address. It occurs in neither.
const memberSeparator = "|"

// MemberAddress returns the address in a member name.
func MemberAddress(member string) string {
	_, address, _ := strings.Cut(member, memberSeparator)
	return address
}

// tick does all work that is due. The event loop calls it after each batch of events and at least once per
// tickInterval.
func (owner *Owner) tick(now time.Time) {
	owner.updateConfirmation(now)
	for _, s := range owner.shards {
		owner.pruneJobs(s, now)
		owner.runStored(s, now)
	}
	for _, view := range owner.agents {
		owner.releaseExpiredRuns(view, now)
		view.expireSharedEnds(now)
	}
	owner.updateReservations(now)
	owner.placeDue(now)
	owner.answerOffers(now)
	for _, s := range owner.shards {
		owner.flushShard(s, now)
	}
	for _, view := range owner.agents {
		owner.closeIfUnresponsive(view, now)
		owner.sendUpdate(view, now)
	}
	owner.recordGauges(now)
	owner.traffic.LogIfDue(owner.ctx, owner.options.Events, now)
	owner.expireAdvice(now)
}

func (owner *Owner) log(code event.Code, attributes ...slog.Attr) {
	owner.options.Events.Log(owner.ctx, code, attributes...)
}

// loadedJob returns a job and its shard. The shard is nil unless it is owned and loaded; the job is nil if
// the shard has no such job.
func (owner *Owner) loadedJob(id string) (*shard, *job.Job) {
	s, owned := owner.shards[job.ShardOf(id, owner.options.Shards)]
	if !owned || !s.loaded {
		return nil, nil
	}
	return s, s.jobs[id]
}

// parseTask parses the name of a task in a message of an agent. It logs a name that is invalid, and returns false.
func (owner *Owner) parseTask(name string) (job.TaskRef, bool) {
	ref, err := job.ParseTaskRef(name)
	if err != nil {
		owner.log(event.RecordUnreadable, slog.String("task", name), slog.Any("error", err))
		return job.TaskRef{}, false
	}
	return ref, true
}

// sleep waits for a duration or until ctx ends.
func (owner *Owner) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-owner.options.Clock.After(duration):
	}
}
