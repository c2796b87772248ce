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
	"ambertiller.example/ambertiller/share"
	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

const (
	// agentReadWait is how long a read of the store waits for a record of an agent.
	agentReadWait = 4 * time.Second
	// agentBatchDelay is the pause after a read that returned records, so that the next read returns more
	// of them at once.
	agentBatchDelay = 250 * time.Millisecond
)

// agentView is the state that the owner keeps of one agent and its worker.
type agentView struct {
	address string
	// disconnect ends the connection to the agent and the attempts to reconnect.
	disconnect context.CancelFunc
	conn       *agentConn // nil while not connected
	// connectionCount counts the connections made to the agent.
	connectionCount int64
	agentID         string
	statusDecoder   *status.Decoder
	lastMessageAt   time.Time
	agentUptime     time.Duration // as of the agent's last message
	// grantEnd is when the last grant must have expired, by this owner's clock.
	grantEnd time.Time

	nextMessage *wire.OwnerMessage // collects what is sent with the next message
	// startsDue holds the runs whose start is in the store and whose order was not sent yet.
	startsDue       []*trackedRun
	sentSequence    int64 // of the last message sent on the current connection
	handledSequence int64 // of the last message that the agent has handled
	// fullSequences are the sequence numbers of the messages that were filled with orders and that the agent has not
	// handled yet.
	fullSequences []int64
	sentAt        time.Time
	// ackDeadline is when the agent must have acknowledged the oldest message that it has not
	// acknowledged yet; zero if there is none.
	ackDeadline time.Time
	claimsSent  bool // the shards owned now are in nextMessage or have been sent
	// claimSequences holds, by shard, the sequence number of the first message that claimed the shard on the
	// current connection.
	claimSequences map[int]int64

	// receivedOnConn is set once the agent has sent a message on the current connection.
	receivedOnConn bool
	// tellsBegun is set for an agent that tells which runs have begun. One of an earlier build lists a run as soon as it
	// has sent the start.
	tellsBegun bool
	// keepsLearned is set for an agent that stores the interference estimates it receives, so that only
	// changed ones have to be sent. learnedSentAt is when estimates were last sent to the agent, and
	// learnedSentVersion the version of the table up to which it has them.
	keepsLearned       bool
	learnedSentAt      time.Time
	learnedSentVersion int64

	runs map[string]*trackedRun // by task name
	// sharedEnds are the ends of runs that the agent has lately told all owners, in the order of their arrival.
	sharedEnds []sharedEnd
	// endedIncarnations holds the incarnations of the worker that are known to have ended.
	endedIncarnations map[incarnation.ID]bool
	// consecutiveFailures counts the runs that have failed on the worker since the last one that
	// succeeded. No tasks are placed on the worker before avoidUntil.
	consecutiveFailures int
	avoidUntil          time.Time
	// noSuspectsUntil is the time until which no further task that is suspected of crashing workers is
	// placed on the worker.
	noSuspectsUntil time.Time
	// sentEvacuations are the evacuated failure domains last sent to the agent on the current connection.
	sentEvacuations []string
	// shortPeaks holds, by priority, what short tasks have used on the worker lately.
	shortPeaks map[int32]*share.RecentPeak
	// preemptedAt is when the agent was last asked to preempt runs.
	preemptedAt time.Time
}

// incarnation returns the current incarnation of the agent's worker, the zero ID while none is known.
func (view *agentView) incarnation() incarnation.ID { return view.status().Incarnation() }

// status returns the last known status of the agent's worker.
func (view *agentView) status() *wire.WorkerStatus { return view.statusDecoder.Status() }

// isHeard reports whether the agent is connected and has sent a message lately.
func (view *agentView) isHeard(now time.Time) bool {
	return view.conn != nil && now.Sub(view.lastMessageAt) <= 2*grantInterval
}

// newAgentView returns the view of an agent that has sent no message yet.
func newAgentView(address string) *agentView {
	return &agentView{
		address: address, statusDecoder: status.NewDecoder(), runs: map[string]*trackedRun{},
		nextMessage: &wire.OwnerMessage{}, claimSequences: map[int]int64{}, endedIncarnations: map[incarnation.ID]bool{},
		shortPeaks: map[int32]*share.RecentPeak{},
	}
}

// followAgentRecords starts to follow the records of agents in the store, until ctx ends.
func (owner *Owner) followAgentRecords(ctx context.Context) {
	for part := range job.AgentPartitions(owner.options.Shards) {
		go owner.followAgentPartition(ctx, part)
	}
}

// followAgentPartition follows the records of agents in one partition until ctx ends. After each read that
// returned records it pauses for agentBatchDelay: many agents register at the same time, and if every entry
// made one read for each record, the number of reads would be entries × agents.
func (owner *Owner) followAgentPartition(ctx context.Context, part int) {
	nextOffset := int64(-1)
	failures := readFailures{owner: owner, topic: job.TopicAgents, partition: part}
	for ctx.Err() == nil {
		tail, err := owner.readAgentRecords(ctx, part, nextOffset)
		failures.record(ctx, err)
		if err != nil {
			nextOffset = owner.nextAgentOffset(err, nextOffset)
			owner.sleep(ctx, storeRetryDelay)
			continue
		}
		nextOffset = tail.Next
		if len(tail.Records) == 0 {
			continue
		}
		owner.eventLoop.Post(func(now time.Time) { owner.applyAgentRecords(tail, now) })
		owner.sleep(ctx, agentBatchDelay)
	}
}

// nextAgentOffset returns the offset to read from after an error. If the store no longer has the offset, it
// returns -1, so that the newest record of each agent is read.
func (owner *Owner) nextAgentOffset(err error, nextOffset int64) int64 {
	if platform.IsGone(err) {
		return -1
	}
	return nextOffset
}

// readAgentRecords reads the records of agents from an offset on, or the newest record of each agent if the
// offset is negative.
func (owner *Owner) readAgentRecords(ctx context.Context, part int, nextOffset int64) (platform.ReadResult, error) {
	if nextOffset < 0 {
		return owner.options.Store.Newest(ctx, job.TopicAgents, part, storeTimeout)
	}
	return owner.options.Store.Read(ctx, platform.Read{
		Topic: job.TopicAgents, Partition: part, Offset: nextOffset, Wait: agentReadWait, Silence: readSilence,
	})
}

// applyAgentRecords connects to newly registered agents, and marks the incarnations that have ended.
func (owner *Owner) applyAgentRecords(tail platform.ReadResult, now time.Time) {
	for _, record := range tail.Records {
		agentRecord := &job.AgentRecord{}
		if err := proto.Unmarshal(record.Value, agentRecord); err != nil {
			owner.log(event.RecordUnreadable, slog.String("key", record.Key), slog.Any("error", err))
			continue
		}
		if view := owner.ensureAgent(agentRecord.GetAddress()); view != nil {
			owner.markIncarnationsEnded(view, agentRecord.EndedIncarnations(), now)
		}
	}
}

// markIncarnationsEnded records that incarnations of the worker have ended, and releases their runs.
func (owner *Owner) markIncarnationsEnded(view *agentView, ended []incarnation.ID, now time.Time) {
	for _, worker := range ended {
		view.endedIncarnations[worker] = true
	}
	for _, run := range view.runs {
		owner.releaseIfIncarnationEnded(view, run, now)
	}
}

// releaseIfIncarnationEnded releases a run if its worker's incarnation is known to have ended.
func (owner *Owner) releaseIfIncarnationEnded(view *agentView, run *trackedRun, now time.Time) {
	if view.endedIncarnations[run.place.Incarnation] {
		owner.releaseRun(view, run, "its worker's incarnation is over", now)
	}
}

// ensureAgent returns the view of the agent at an address. If there is none yet, it adds one and starts to
// connect to the agent. It returns nil if the address is empty or the entry is not connected to agents.
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

// dropAgents ends the connections to all agents and drops their views. Records of agents that were read
// before have no effect afterwards.
func (owner *Owner) dropAgents() {
	owner.agentsDropped = true
	for _, view := range owner.agents {
		view.disconnect()
	}
	clear(owner.agents)
}

// dropShard drops the runs and the claim of a shard that is no longer owned.
func (view *agentView) dropShard(s *shard) {
	for name, run := range view.runs {
		if run.shard == s {
			delete(view.runs, name)
		}
	}
	view.claimsSent = false
	delete(view.claimSequences, s.number)
}
