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

// outboxSize is how many messages to an owner may wait to be sent. An owner that lets more wait is considered
// gone.
const outboxSize = 64

// session is the connection of one owner to the agent, with what the owner has been sent on it.
type session struct {
	ownerName string
	// id identifies the session in logs: sessions are numbered in the order of their first messages.
	// connectionNumber is the owner's own count of its connections to this agent, 0 for an owner of an earlier
	// build.
	id               int64
	connectionNumber int64
	// isSameDomain is set for an owner in the agent's failure domain.
	isSameDomain  bool
	lastMessageAt time.Time
	outbox        chan *wire.AgentMessage
	closed        chan struct{}
	// isClosed is set once the stream is closed. Messages that were received before may still wait in the
	// event loop.
	isClosed bool
	// handledSequence is the sequence number of the owner's last message that was handled,
	// acknowledgedSequence that of the last one that was acknowledged to the owner.
	handledSequence      int64
	acknowledgedSequence int64
	// acceptsChanges is set for an owner that needs to be sent only what has changed.
	acceptsChanges bool
	// takesOffers is set for an owner that answers offers.
	takesOffers bool
	// provesOwnership is set for an owner that confirms ends only while it owns their shards. An owner of an earlier
	// build may do so after it has been replaced.
	provesOwnership bool
	// statusEncoder holds the status of the worker that the owner was last sent, sentEstimates the
	// interference estimates.
	statusEncoder status.Encoder
	sentEstimates map[interference.Pair]interference.Estimate

	results       []*wire.StartResult
	ends          []*wire.RunEnd
	sharedEnds    []*wire.RunEnd
	offers        []*wire.MoveOffer
	statusChanged bool
	fullUpdateDue bool
	lastSentAt    time.Time
	runsSentAt    time.Time
}

// Attach serves the stream of an owner until either side closes it. It implements wire.DRPCAgentServer.
func (agent *Agent) Attach(stream wire.DRPCAgent_AttachStream) (err error) {
	s := &session{outbox: make(chan *wire.AgentMessage, outboxSize), closed: make(chan struct{}), statusChanged: true, fullUpdateDue: true}
	failed := make(chan error, 1)
	go func() { failed <- agent.receive(stream, s) }()
	defer func() { agent.eventLoop.Post(func(time.Time) { agent.detach(s, err) }) }()
	for {
		select {
		case message := <-s.outbox:
			if err := stream.Send(message); err != nil {
				return err
			}
		case <-s.closed:
			return nil
		case err := <-failed:
			return err
		}
	}
}

// receive passes the messages of an owner to the event loop, until its stream fails.
func (agent *Agent) receive(stream wire.DRPCAgent_AttachStream, s *session) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		agent.eventLoop.Post(func(now time.Time) { agent.handleOwnerMessage(s, message, now) })
	}
}

// logSession logs an event about the connection of an owner.
func (agent *Agent) logSession(code event.Code, s *session, attributes ...slog.Attr) {
	common := []slog.Attr{slog.String("owner", s.ownerName), slog.Int64("connection", s.id)}
	agent.log(code, append(common, attributes...)...)
}

// detach removes a session whose stream has ended with an error, or without one if the agent has closed it.
func (agent *Agent) detach(s *session, err error) {
	s.isClosed = true
	if !agent.sessions[s] {
		return
	}
	delete(agent.sessions, s)
	agent.logSession(event.OwnerLost, s, slog.Any("error", err))
}

// handleOwnerMessage handles a message of an owner. The first one on a stream adds the session.
func (agent *Agent) handleOwnerMessage(s *session, message *wire.OwnerMessage, now time.Time) {
	if s.isClosed {
		return
	}
	if !agent.sessions[s] {
		agent.sessions[s] = true
		s.ownerName = message.GetOwner()
		s.isSameDomain = message.GetFailureDomain() == agent.options.FailureDomain
		s.acceptsChanges = message.GetTakesChanges()
		s.takesOffers = message.GetTakesOffers()
		s.provesOwnership = message.GetProvesOwnership()
		s.connectionNumber = message.GetConnection()
		agent.sessionCount++
		s.id = agent.sessionCount
		agent.logSession(event.OwnerAttached, s)
		s.sharedEnds = agent.sharedPendingEnds()
	}
	if message.GetOwned() {
		agent.handleClaims(s, message)
	}
	if s.isClosed {
		return
	}
	agent.handleGrant(s, message)
	agent.handleEvacuations(message.GetEvacuations(), now)
	for _, description := range message.GetRuns() {
		agent.handleRunDescription(description)
	}
	agent.pacer.mergeLearned(message.GetLearned(), now)
	agent.pacer.setLearnedByAll(message.GetLearnedByAll(), now)
	for _, order := range message.GetStops() {
		agent.handleStopOrder(order, now)
	}
	for _, answer := range message.GetMoves() {
		agent.handleMoveAnswer(s, answer, now)
	}
	for _, order := range message.GetPreempts() {
		agent.handlePreemptOrder(order, now)
	}
	agent.handleStartOrders(s, message.GetStarts(), now)
	if len(message.GetStarts()) > 0 && message.GetEvacuations() == nil && agent.checkFailureDomain(now) == operator.Outdated {
		agent.requestEvacuations()
	}
	for _, seen := range message.GetSeen() {
		agent.handleEndSeen(s, seen, now)
	}
	s.lastMessageAt = now
	s.handledSequence = message.GetSequence()
}

// handleRunDescription sets the demand of a run if it is unknown, as it is for an adopted run.
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

// queueResult queues the outcome of a start for the owner of the run's shard.
func (agent *Agent) queueResult(state *workerState, run *runState, outcome wire.StartOutcome) {
	claim, claimed := agent.claims[run.shard]
	if !claimed || !agent.sessions[claim.session] {
		return
	}
	claim.session.results = append(claim.session.results, &wire.StartResult{
		Task: run.task, Attempt: run.attempt, Worker: state.incarnation.WorkerID(), Born: state.incarnation.StartedMs(), Outcome: outcome,
	})
}
