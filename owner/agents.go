package owner

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

const (
	// agentReadWait is how long a read waits for an agent to register.
	agentReadWait = 4 * time.Second
	// agentBatchDelay is how long records of agents gather between two reads that find some.
	agentBatchDelay = 250 * time.Millisecond
)

// agentView is what the owner knows of one agent and its worker.
type agentView struct {
	address string
	// disconnect ends the connections to the agent.
	disconnect context.CancelFunc
	conn       *agentConn // nil while not attached
	// connectionCount counts those that were made.
	connectionCount int64
	agentID         string
	statusDecoder   *status.Decoder
	lastMessageAt   time.Time
	agentUptime     time.Duration
	// grantEnd is when the last grant must have ended, by this owner's clock.
	grantEnd time.Time

	nextMessage     *wire.OwnerMessage // what is to be sent
	sentSequence    int64
	handledSequence int64
	sentAt          time.Time
	// ackDeadline is when the agent must have said that it handled the first message that it
	// has not said so of; zero for none.
	ackDeadline    time.Time
	claimsSent     bool // the present shards are in message, or were sent
	claimSequences map[int]int64

	// receivedOnConn is set once the agent has spoken on the present connection.
	receivedOnConn bool
	// keepsLearned is set for an agent that keeps what it is told of interference, and
	// needs to be told no more than what changes. sharedAt is when it was last told, and
	// sharedVersion up to which version of the table.
	keepsLearned       bool
	learnedSentAt      time.Time
	learnedSentVersion int64

	runs map[string]*trackedRun
	// endedIncarnations holds the incarnations that have ended for certain.
	endedIncarnations map[incarnation.ID]bool
	// consecutiveFailures counts runs that failed in a row, avoidUntil is how long nothing
	// more than a trial is placed there.
	consecutiveFailures int
	avoidUntil          time.Time
	// noSuspectsUntil is how long no other suspect is placed there.
	noSuspectsUntil time.Time
	// sentEvacuations are the evacuated failure domains that the agent was told of on the
	// present connection.
	sentEvacuations []string
	// preemptedAt is when the agent was last asked to make room.
	preemptedAt time.Time
}

// incarnation names the worker's present life, the zero name while none is known.
func (view *agentView) incarnation() incarnation.ID { return view.status().Incarnation() }

// status returns what is known of the agent's worker.
func (view *agentView) status() *wire.WorkerStatus { return view.statusDecoder.Status() }

// newAgentView returns the view of an agent that has not been heard.
func newAgentView(address string) *agentView {
	return &agentView{
		address: address, statusDecoder: status.NewDecoder(), runs: map[string]*trackedRun{},
		nextMessage: &wire.OwnerMessage{}, claimSequences: map[int]int64{}, endedIncarnations: map[incarnation.ID]bool{},
	}
}

// followAgentRecords keeps up with the agents that are registered in the store.
func (owner *Owner) followAgentRecords(ctx context.Context) {
	for part := range job.AgentPartitions(owner.options.Shards) {
		go owner.followAgentPartition(ctx, part)
	}
}

// followAgentPartition keeps up with the agents that are registered in one partition. After records
// have come it lets more gather: agents register together, and a read for each of their
// records by each reader would grow with the product of both.
func (owner *Owner) followAgentPartition(ctx context.Context, part int) {
	next := int64(-1)
	for ctx.Err() == nil {
		tail, err := owner.readAgentRecords(ctx, part, next)
		if err != nil {
			next = owner.nextAgentOffset(err, next)
			owner.sleep(ctx, storeRetryDelay)
			continue
		}
		next = tail.Next
		if len(tail.Records) == 0 {
			continue
		}
		owner.eventLoop.Post(func(now time.Time) { owner.applyAgentRecords(tail, now) })
		owner.sleep(ctx, agentBatchDelay)
	}
}

func (owner *Owner) nextAgentOffset(err error, next int64) int64 {
	if platform.IsGone(err) {
		return -1
	}
	return next
}

func (owner *Owner) readAgentRecords(ctx context.Context, part int, next int64) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, agentReadWait+readTimeoutMargin)
	defer cancel()
	if next < 0 {
		return owner.options.Store.Newest(ctx, job.TopicAgents, part)
	}
	return owner.options.Store.Read(ctx, job.TopicAgents, part, next, agentReadWait)
}

func (owner *Owner) applyAgentRecords(tail platform.ReadResult, now time.Time) {
	for _, record := range tail.Records {
		registered := &job.AgentRecord{}
		if err := proto.Unmarshal(record.Value, registered); err != nil {
			owner.log(event.RecordUnreadable, slog.String("key", record.Key), slog.Any("error", err))
			continue
		}
		if view := owner.ensureAgent(registered.GetAddress()); view != nil {
			owner.markIncarnationsEnded(view, registered.EndedIncarnations(), now)
		}
	}
}

// markIncarnationsEnded releases the runs of incarnations that have ended for certain.
func (owner *Owner) markIncarnationsEnded(view *agentView, ended []incarnation.ID, now time.Time) {
	for _, worker := range ended {
		view.endedIncarnations[worker] = true
	}
	for _, entry := range view.runs {
		owner.releaseIfIncarnationEnded(view, entry, now)
	}
}

// releaseIfIncarnationEnded releases a run if its worker's incarnation has ended for certain.
func (owner *Owner) releaseIfIncarnationEnded(view *agentView, entry *trackedRun, now time.Time) {
	if view.endedIncarnations[entry.place.Incarnation] {
		owner.releaseRun(view, entry, "its worker's incarnation is over", now)
	}
}

// ensureAgent returns the view of the agent at an address, and begins to connect to
// one that is new.
func (owner *Owner) ensureAgent(address string) *agentView {
	if view, known := owner.agents[address]; known || address == "" || owner.agentsDropped {
		return view
	}
	view := newAgentView(address)
	owner.agents[address] = view
	ctx, leave := context.WithCancel(owner.ctx)
	view.disconnect = leave
	go owner.keepConnected(ctx, view)
	return view
}

// dropAgents ends all connections to agents, and what is known of them with these. What was read of
// agents before has no effect any more.
func (owner *Owner) dropAgents() {
	owner.agentsDropped = true
	for _, view := range owner.agents {
		view.disconnect()
	}
	clear(owner.agents)
}

// dropShard drops what was on its way for a shard that is no longer owned.
func (view *agentView) dropShard(held *shard) {
	for name, entry := range view.runs {
		if entry.shard == held {
			delete(view.runs, name)
		}
	}
	view.claimsSent = false
	delete(view.claimSequences, held.number)
}
