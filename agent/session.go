package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

// outboxLength is how many messages may wait to be sent; an owner that lets
// more wait is taken for gone.
const outboxLength = 64

// session is one owner's stream.
type session struct {
	name string
	// near is set for an owner in the same failure domain.
	near    bool
	heardAt time.Time
	outbox  chan *wire.AgentMessage
	closed  chan struct{}
	// ended is set once the stream has: a message of it may still wait its turn.
	ended bool
	// handled is the number of the owner's last message, answered that of the last one
	// that it was told to be handled.
	handled  int64
	answered int64
	// takesChanges is set for an owner that needs no more than what has changed.
	takesChanges bool
	// told is what the owner has been told of the worker, toldLearned what readings have
	// taught.
	told        status.Told
	toldLearned map[interference.Pair]interference.Estimate

	results  []*wire.StartResult
	ends     []*wire.RunEnd
	changed  bool
	wholeDue bool
	sentAt   time.Time
	runsSent time.Time
}

// Attach implements wire.DRPCAgentServer.
func (agent *Agent) Attach(stream wire.DRPCAgent_AttachStream) error {
	owner := &session{outbox: make(chan *wire.AgentMessage, outboxLength), closed: make(chan struct{}), changed: true, wholeDue: true}
	failed := make(chan error, 1)
	go func() { failed <- agent.receive(stream, owner) }()
	defer agent.decisions.Post(func(now time.Time) { agent.detach(owner) })
	for {
		select {
		case message := <-owner.outbox:
			if err := stream.Send(message); err != nil {
				return err
			}
		case <-owner.closed:
			return nil
		case err := <-failed:
			return err
		}
	}
}

func (agent *Agent) receive(stream wire.DRPCAgent_AttachStream, owner *session) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		agent.decisions.Post(func(now time.Time) { agent.noteOwner(owner, message, now) })
	}
}

func (agent *Agent) detach(owner *session) {
	owner.ended = true
	if !agent.owners[owner] {
		return
	}
	delete(agent.owners, owner)
	agent.log(event.OwnerLost, slog.String("owner", owner.name))
}

func (agent *Agent) noteOwner(owner *session, message *wire.OwnerMessage, now time.Time) {
	if owner.ended {
		return
	}
	if !agent.owners[owner] {
		agent.owners[owner] = true
		owner.name = message.GetOwner()
		owner.near = message.GetFailureDomain() == agent.options.FailureDomain
		owner.takesChanges = message.GetTakesChanges()
		agent.log(event.OwnerAttached, slog.String("owner", owner.name))
	}
	if message.GetOwned() {
		agent.noteClaims(owner, message)
	}
	agent.noteGrant(owner, message)
	agent.noteEvacuations(message.GetEvacuations(), now)
	for _, description := range message.GetRuns() {
		agent.noteDescription(description)
	}
	agent.paced.share(message.GetLearned(), now)
	agent.paced.keep(message.GetLearnedByAll(), now)
	for _, order := range message.GetStops() {
		agent.noteStop(order, now)
	}
	for _, order := range message.GetPreempts() {
		agent.notePreempt(order, now)
	}
	for _, order := range message.GetStarts() {
		agent.noteStart(owner, order, now)
	}
	if len(message.GetStarts()) > 0 && message.GetEvacuations() == nil && agent.judgeDomain(now) == operator.Outdated {
		agent.wantEvacuations()
	}
	for _, seen := range message.GetSeen() {
		agent.noteSeen(seen, now)
	}
	owner.heardAt = now
	owner.handled = message.GetSequence()
}

// noteClaims takes note of the shards that an owner owns. A claim of an epoch
// below the highest one heard comes from an owner that has been replaced.
func (agent *Agent) noteClaims(owner *session, message *wire.OwnerMessage) {
	for _, shard := range message.GetShards() {
		held, found := agent.claims[shard.GetShard()]
		if found && held.epoch > shard.GetEpoch() {
			continue
		}
		if !found {
			held = &claim{until: agent.started}
			agent.claims[shard.GetShard()] = held
		}
		if held.epoch != shard.GetEpoch() || held.owner != owner {
			agent.log(event.ShardClaimed, slog.String("owner", owner.name),
				slog.Int("shard", int(shard.GetShard())), slog.Int64("epoch", shard.GetEpoch()))
			agent.resendEnds(owner, shard.GetShard())
			if shard.GetShard() == job.SharedShard {
				// What an earlier owner put together is not this one's.
				owner.toldLearned = nil
			}
		}
		held.epoch = shard.GetEpoch()
		held.owner = owner
	}
	owner.wholeDue = true
}

func (agent *Agent) noteGrant(owner *session, message *wire.OwnerMessage) {
	if message.GetGrantUntilNanos() == 0 {
		return
	}
	until := agent.started.Add(time.Duration(message.GetGrantUntilNanos()))
	for _, held := range agent.claims {
		if held.owner == owner && until.After(held.until) {
			held.until = until
		}
	}
}

func (agent *Agent) noteDescription(description *wire.RunDescription) {
	if agent.worker == nil {
		return
	}
	run, found := agent.worker.runs[description.GetTask()]
	if found && run.attempt == description.GetAttempt() && run.demand == nil {
		run.demand = description.GetDemand()
		agent.statusChanged()
	}
}

// noteSeen lets the worker forget the ends that are durable, in their order.
func (agent *Agent) noteSeen(seen *wire.EndSeen, now time.Time) {
	state := agent.worker
	if state == nil || state.beat.Incarnation != seen.GetWorker() {
		return
	}
	if seen.GetNumber() <= state.seen {
		return
	}
	delete(state.ends, seen.GetNumber())
	state.durable[seen.GetNumber()] = true
	for state.durable[state.seen+1] {
		state.seen++
		delete(state.durable, state.seen)
	}
	if len(state.ends) == 0 {
		state.lookAt = now
	}
}

// sendEnd tells an end to the owner of its shard.
func (agent *Agent) sendEnd(end *wire.RunEnd) {
	held, claimed := agent.claims[agent.shardOf(end.GetTask())]
	if end.GetNumber() == 0 {
		agent.keepLost(end)
	}
	if claimed && agent.owners[held.owner] {
		held.owner.ends = append(held.owner.ends, end)
	}
}

// lostKept bounds the ends that are kept for later owners: a few times what a
// worker runs at once.
const lostKept = 512

// keepLost keeps the end of a run of an incarnation that is over, which no worker
// will list again.
func (agent *Agent) keepLost(end *wire.RunEnd) {
	agent.lost = append(agent.lost, end)
	if len(agent.lost) > lostKept {
		agent.lost = agent.lost[1:]
	}
}

// resendEnds tells a new owner the ends of its shard.
func (agent *Agent) resendEnds(owner *session, shard int32) {
	if agent.worker != nil {
		for _, end := range agent.worker.ends {
			if agent.shardOf(end.GetTask()) == shard {
				owner.ends = append(owner.ends, end)
			}
		}
	}
	for _, end := range agent.lost {
		if agent.shardOf(end.GetTask()) == shard {
			owner.ends = append(owner.ends, end)
		}
	}
}

func (agent *Agent) sendResult(state *workerState, run *runState, outcome wire.StartOutcome) {
	held, claimed := agent.claims[run.shard]
	if !claimed || !agent.owners[held.owner] {
		return
	}
	held.owner.results = append(held.owner.results, &wire.StartResult{
		Task: run.task, Attempt: run.attempt, Worker: state.beat.Incarnation, Outcome: outcome,
	})
}
