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
	// agentsWait is how long a read waits for an agent to register.
	agentsWait = 4 * time.Second
	// agentsGather is how long records of agents gather between two reads that find some.
	agentsGather = 250 * time.Millisecond
)

// agentView is what the owner knows of one agent and its worker.
type agentView struct {
	address string
	// leave ends the connections to the agent.
	leave context.CancelFunc
	link  *link // nil while not attached
	// connections counts those that were made.
	connections int64
	id          string
	heard       *status.Decoder
	heardAt     time.Time
	uptime      time.Duration
	// grantEnd is when the last grant must have ended, by this owner's clock.
	grantEnd time.Time

	message  *wire.OwnerMessage // what is to be sent
	sequence int64
	handled  int64
	sentAt   time.Time
	// answerBy is when the agent must have said that it handled the first message that it
	// has not said so of; zero for none.
	answerBy time.Time
	claimed  bool // the present shards are in message, or were sent
	claimSeq map[int]int64

	// greeted is set once the agent has spoken on the present connection.
	greeted bool
	// keepsLearned is set for an agent that keeps what it is told of interference, and
	// needs to be told no more than what changes. sharedAt is when it was last told, and
	// sharedVersion up to which version of the table.
	keepsLearned  bool
	sharedAt      time.Time
	sharedVersion int64

	runs map[string]*runEntry
	// ended holds the incarnations that have ended for certain.
	ended map[incarnation.ID]bool
	// failures counts runs that failed in a row, avoidUntil is how long nothing
	// more than a trial is placed there.
	failures   int
	avoidUntil time.Time
	// suspectUntil is how long no other suspect is placed there.
	suspectUntil time.Time
	// toldEvacuated are the evacuated failure domains that the agent was told of on the
	// present connection.
	toldEvacuated []string
	// preemptedAt is when the agent was last asked to make room.
	preemptedAt time.Time
}

// incarnation names the worker's present life, the zero name while none is known.
func (view *agentView) incarnation() incarnation.ID { return view.status().Incarnation() }

// status returns what is known of the agent's worker.
func (view *agentView) status() *wire.WorkerStatus { return view.heard.Status() }

// newView returns the view of an agent that has not been heard.
func newView(address string) *agentView {
	return &agentView{
		address: address, heard: status.NewDecoder(), runs: map[string]*runEntry{},
		message: &wire.OwnerMessage{}, claimSeq: map[int]int64{}, ended: map[incarnation.ID]bool{},
	}
}

// followAgents keeps up with the agents that are registered in the store.
func (owner *Owner) followAgents(ctx context.Context) {
	for part := range job.AgentPartitions(owner.options.Shards) {
		go owner.followAgentsIn(ctx, part)
	}
}

// followAgentsIn keeps up with the agents that are registered in one partition. After records
// have come it lets more gather: agents register together, and a read for each of their
// records by each reader would grow with the product of both.
func (owner *Owner) followAgentsIn(ctx context.Context, part int) {
	next := int64(-1)
	for ctx.Err() == nil {
		tail, err := owner.readAgents(ctx, part, next)
		if err != nil {
			next = owner.agentsAfter(err, next)
			owner.sleep(ctx, storePause)
			continue
		}
		next = tail.Next
		if len(tail.Records) == 0 {
			continue
		}
		owner.decisions.Post(func(now time.Time) { owner.noteAgents(tail, now) })
		owner.sleep(ctx, agentsGather)
	}
}

func (owner *Owner) agentsAfter(err error, next int64) int64 {
	if platform.IsGone(err) {
		return -1
	}
	return next
}

func (owner *Owner) readAgents(ctx context.Context, part int, next int64) (platform.Tail, error) {
	ctx, cancel := context.WithTimeout(ctx, agentsWait+tailOver)
	defer cancel()
	if next < 0 {
		return owner.options.Store.Newest(ctx, job.TopicAgents, part)
	}
	return owner.options.Store.Read(ctx, job.TopicAgents, part, next, agentsWait)
}

func (owner *Owner) noteAgents(tail platform.Tail, now time.Time) {
	for _, record := range tail.Records {
		registered := &job.AgentRecord{}
		if err := proto.Unmarshal(record.Value, registered); err != nil {
			owner.log(event.RecordUnreadable, slog.String("key", record.Key), slog.Any("error", err))
			continue
		}
		if view := owner.agentAt(registered.GetAddress()); view != nil {
			owner.noteEndedWorkers(view, registered.EndedIncarnations(), now)
		}
	}
}

// noteEndedWorkers releases the runs of incarnations that have ended for certain.
func (owner *Owner) noteEndedWorkers(view *agentView, ended []incarnation.ID, now time.Time) {
	for _, worker := range ended {
		view.ended[worker] = true
	}
	for _, entry := range view.runs {
		owner.releaseEnded(view, entry, now)
	}
}

// releaseEnded releases a run if its worker's incarnation has ended for certain.
func (owner *Owner) releaseEnded(view *agentView, entry *runEntry, now time.Time) {
	if view.ended[entry.place.Incarnation] {
		owner.release(view, entry, "its worker's incarnation is over", now)
	}
}

// agentAddress returns the view of the agent at an address, and begins to connect to
// one that is new.
func (owner *Owner) agentAt(address string) *agentView {
	if view, known := owner.agents[address]; known || address == "" || owner.withdrawn {
		return view
	}
	view := newView(address)
	owner.agents[address] = view
	ctx, leave := context.WithCancel(owner.ctx)
	view.leave = leave
	go owner.keepAttached(ctx, view)
	return view
}

// withdraw ends all connections to agents, and what is known of them with these. What was read of
// agents before has no effect any more.
func (owner *Owner) withdraw() {
	owner.withdrawn = true
	for _, view := range owner.agents {
		view.leave()
	}
	clear(owner.agents)
}

// forget drops what was on its way for a shard that is no longer owned.
func (view *agentView) forget(held *shard) {
	for name, entry := range view.runs {
		if entry.held == held {
			delete(view.runs, name)
		}
	}
	view.claimed = false
	delete(view.claimSeq, held.number)
}
