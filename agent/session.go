package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

// outboxSize is how many messages may wait to be sent; an owner that lets
// more wait is taken for gone.
const outboxSize = 64

// session is one owner's stream.
type session struct {
	ownerName string
	// id counts the streams that owners have spoken on, for logs; number is the owner's
	// own count of its connections to this agent, 0 for one of an earlier build.
	id               int64
	connectionNumber int64
	// isSameDomain is set for an owner in the same failure domain.
	isSameDomain  bool
	lastMessageAt time.Time
	outbox        chan *wire.AgentMessage
	closed        chan struct{}
	// isClosed is set once the stream has: a message of it may still wait its turn.
	isClosed bool
	// handledSequence is the number of the owner's last message, answered that of the last one
	// that it was told to be handled.
	handledSequence      int64
	acknowledgedSequence int64
	// acceptsChanges is set for an owner that needs no more than what has changed.
	acceptsChanges bool
	// statusEncoder is what the owner has been told of the worker, toldLearned what readings have
	// taught.
	statusEncoder status.Encoder
	sentEstimates map[interference.Pair]interference.Estimate

	results       []*wire.StartResult
	ends          []*wire.RunEnd
	statusChanged bool
	fullUpdateDue bool
	lastSentAt    time.Time
	runsSentAt    time.Time
}

// Attach implements wire.DRPCAgentServer.
func (agent *Agent) Attach(stream wire.DRPCAgent_AttachStream) error {
	owner := &session{outbox: make(chan *wire.AgentMessage, outboxSize), closed: make(chan struct{}), statusChanged: true, fullUpdateDue: true}
	failed := make(chan error, 1)
	go func() { failed <- agent.receive(stream, owner) }()
	defer agent.eventLoop.Post(func(now time.Time) { agent.detach(owner) })
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
		agent.eventLoop.Post(func(now time.Time) { agent.handleOwnerMessage(owner, message, now) })
	}
}

// logSession logs what becomes of an owner's connection.
func (agent *Agent) logSession(code event.Code, owner *session, attributes ...slog.Attr) {
	about := []slog.Attr{slog.String("owner", owner.ownerName), slog.Int64("connection", owner.id)}
	agent.log(code, append(about, attributes...)...)
}

func (agent *Agent) detach(owner *session) {
	owner.isClosed = true
	if !agent.sessions[owner] {
		return
	}
	delete(agent.sessions, owner)
	agent.logSession(event.OwnerLost, owner)
}

func (agent *Agent) handleOwnerMessage(owner *session, message *wire.OwnerMessage, now time.Time) {
	if owner.isClosed {
		return
	}
	if !agent.sessions[owner] {
		agent.sessions[owner] = true
		owner.ownerName = message.GetOwner()
		owner.isSameDomain = message.GetFailureDomain() == agent.options.FailureDomain
		owner.acceptsChanges = message.GetTakesChanges()
		owner.connectionNumber = message.GetConnection()
		agent.sessionCount++
		owner.id = agent.sessionCount
		agent.logSession(event.OwnerAttached, owner)
	}
	if message.GetOwned() {
		agent.handleClaims(owner, message)
	}
	if owner.isClosed {
		return
	}
	agent.handleGrant(owner, message)
	agent.handleEvacuations(message.GetEvacuations(), now)
	for _, description := range message.GetRuns() {
		agent.handleRunDescription(description)
	}
	agent.pacer.mergeLearned(message.GetLearned(), now)
	agent.pacer.setLearnedByAll(message.GetLearnedByAll(), now)
	for _, order := range message.GetStops() {
		agent.handleStopOrder(order, now)
	}
	for _, order := range message.GetPreempts() {
		agent.handlePreemptOrder(order, now)
	}
	for _, order := range message.GetStarts() {
		agent.handleStartOrder(owner, order, now)
	}
	if len(message.GetStarts()) > 0 && message.GetEvacuations() == nil && agent.checkFailureDomain(now) == operator.Outdated {
		agent.requestEvacuations()
	}
	for _, seen := range message.GetSeen() {
		agent.handleEndSeen(seen, now)
	}
	owner.lastMessageAt = now
	owner.handledSequence = message.GetSequence()
}

func (agent *Agent) handleRunDescription(description *wire.RunDescription) {
	if agent.worker == nil {
		return
	}
	run, found := agent.worker.runs[description.GetTask()]
	if found && run.attempt == description.GetAttempt() && run.demand == nil {
		run.demand = description.GetDemand()
		agent.markStatusChanged()
	}
}

func (agent *Agent) queueResult(state *workerState, run *runState, outcome wire.StartOutcome) {
	held, claimed := agent.claims[run.shard]
	if !claimed || !agent.sessions[held.session] {
		return
	}
	held.session.results = append(held.session.results, &wire.StartResult{
		Task: run.task, Attempt: run.attempt, Worker: state.incarnation.WorkerID(), Born: state.incarnation.StartedMs(), Outcome: outcome,
	})
}
