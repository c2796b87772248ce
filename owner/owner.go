// Package owner schedules the jobs of the shards that the platform's store deals
// to this entry.
//
// A shard is a partition of the jobs' topics. Any entry appends jobs to it; its
// owner reads them, decides where each task runs, and appends what becomes of
// them. The store deals shards to entries and fences their writes by epoch, so
// an owner that has been replaced can't write, and what it has not written it
// does not do:
//
//   - a start is in the store before the order goes to an agent;
//   - an end is in the store before the worker is told to forget it, and before
//     a job is shown as completed.
//
// # Silent agents
//
// An owner grants its runs time on the agent's clock. When an agent is silent
// the runs there are taken for over once the last grant must have ended, and not
// before.
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
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/loop"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/traffic"
)

const (
	// tickInterval is how often what is due is looked for without an event.
	tickInterval = 100 * time.Millisecond
	// maxClockDrift is what two clocks differ by at most over a grant.
	maxClockDrift = 2 * lease.MaxClockDriftRate
	// grantMargin is added to the end of a grant before runs are taken for
	// over: a stop takes up to half a second.
	grantMargin = 600 * time.Millisecond
	// grantInterval renews grants well within their length.
	grantInterval = 500 * time.Millisecond
	// storeOutageTolerance is how long an owner goes on granting without hearing from
	// the store that it still owns. Together with the grant it is what an
	// outage of the store may last without stopping what runs, 11 s, and what
	// a run on a machine that is gone waits after a change of owner.
	storeOutageTolerance = 6 * time.Second
)

// Options sets up an Owner.
type Options struct {
	// Name and Address are how other processes know this entry.
	Name    string
	Address string
	// FailureDomain is where the entry stands.
	FailureDomain string
	// Shards is how many shards there are.
	Shards int
	// Strong is set where the machine bears the work of an owner; others offer themselves as
	// far as they are needed.
	Strong bool
	// GrantDuration is how long runs go on without word from their owner.
	GrantDuration time.Duration
	// MemberTimeout is after how long without a join the store deals a member's
	// shards to others.
	MemberTimeout time.Duration
	// JobRetention is how long an ended job is known.
	JobRetention time.Duration
	Store        *platform.Store
	// Advisor tells which workers may run what; nil where nothing is to be asked.
	Advisor *platform.Advisor
	// Dial connects to an agent.
	Dial  func(ctx context.Context, address string) (drpc.Conn, error)
	Clock clockwork.Clock
	// Suspended tells for how long the machine has been suspended, which Clock does not
	// count; nil for never.
	Suspended func() time.Duration
	Events    *event.Logger
	// Meters makes the instruments; nil for none.
	Meters metric.MeterProvider
}

// Owner schedules the jobs of its shards.
type Owner struct {
	options   Options
	eventLoop *loop.Loop
	ctx       context.Context // ends the calls of the owner with it
	// stopApplying ends the candidacy, applied is closed once it has ended.
	candidacyCtx  context.Context
	stopCandidacy context.CancelFunc
	candidacyDone chan struct{}
	// session is nil while the entry does not offer itself as an owner. Only the candidacy changes it, and
	// Leave once that has ended.
	session *ownerSession
	// leaveBeforeJoin has the membership leave the group before it joins. A process that
	// comes back before it was missed would else be dealt its shards under the
	// epoch that it wrote with before, and a late append of its earlier life
	// could take the place of one of its own.
	leaveBeforeJoin atomic.Bool

	lastJoinAt   time.Time
	shards       map[int]*shard
	fencedEpochs map[int]int64
	agents       map[string]*agentView
	// agentsDropped is set while the entry has left the agents.
	agentsDropped bool
	// evacuationState is what is known of evacuations.
	evacuationState  operator.EvacuationState
	placementChanges placementChanges
	// workersExamined counts the workers that were looked at for a place, once for each job, since the meters were set.
	workersExamined int64
	// learnedPublishedAt is when what agents are told of interference was last worked out.
	learnedPublishedAt time.Time
	advice             adviceQueue
	traffic            *traffic.Sent
	metrics            metrics
	gaugesRecordedAt   time.Time
}

// New returns an owner that owns nothing until Run.
func New(options Options) *Owner {
	applying, stopApplying := context.WithCancel(context.Background())
	made := &Owner{
		options:          options,
		eventLoop:        loop.New(options.Clock),
		candidacyCtx:     applying,
		stopCandidacy:    stopApplying,
		candidacyDone:    make(chan struct{}),
		shards:           map[int]*shard{},
		fencedEpochs:     map[int]int64{},
		agents:           map[string]*agentView{},
		traffic:          traffic.New(options.Meters),
		metrics:          newMetrics(options.Meters),
		advice:           adviceQueue{steps: map[string]*stepAdvice{}},
		placementChanges: newPlacementChanges(),
	}
	made.leaveBeforeJoin.Store(true)
	if options.Suspended != nil {
		made.eventLoop.WatchSuspension(options.Suspended, made.handleSuspension)
	}
	return made
}

// Run schedules until ctx ends.
func (owner *Owner) Run(ctx context.Context) {
	owner.ctx = ctx
	go owner.runCandidacy(owner.candidacyCtx)
	owner.eventLoop.Run(ctx, tickInterval, owner.tick)
	owner.stopCandidacy()
}

// MemberName is the name under which the entry joins groups: it begins with what its machine bears, and its
// address tells others where to reach it.
func (owner *Owner) MemberName() string {
	mark := weakPrefix
	if owner.options.Strong {
		mark = strongPrefix
	}
	return mark + owner.options.Name + memberSeparator + owner.options.Address
}

const (
	// strongPrefix begins the name of a member that bears the work of an owner, weakPrefix that of another one.
	strongPrefix = "strong/"
	weakPrefix   = "weak/"
)

// memberSeparator stands in no node's name and no address.
const memberSeparator = "|"

// MemberAddress returns where the entry with a member's name is reached.
func MemberAddress(member string) string {
	_, address, _ := strings.Cut(member, memberSeparator)
	return address
}

func (owner *Owner) tick(now time.Time) {
	for _, held := range owner.shards {
		owner.pruneJobs(held, now)
	}
	for _, view := range owner.agents {
		owner.releaseExpiredRuns(view, now)
	}
	if owner.placementChanges.isDue(now) {
		owner.placeJobs(owner.placementChanges.take(now), now)
	}
	for _, held := range owner.shards {
		owner.flushShard(held, now)
	}
	for _, view := range owner.agents {
		owner.closeIfUnresponsive(view, now)
		owner.sendUpdate(view, now)
	}
	owner.recordGauges(now)
	owner.traffic.Log(owner.ctx, owner.options.Events, now)
	owner.expireAdvice(now)
}

func (owner *Owner) log(code event.Code, attributes ...slog.Attr) {
	owner.options.Events.Log(owner.ctx, code, attributes...)
}

// loadedJob returns the job if its shard is owned and loaded.
func (owner *Owner) loadedJob(id string) (*shard, *job.Job) {
	held, owned := owner.shards[job.ShardOf(id, owner.options.Shards)]
	if !owned || !held.loaded {
		return nil, nil
	}
	return held, held.jobs[id]
}

func (owner *Owner) sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-owner.options.Clock.After(length):
	}
}
