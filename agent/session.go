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

// outboxLength is how many messages may wait to be sent; an owner that lets
// more wait is taken for gone.
const outboxLength = 64

// session is one owner's stream.
type session struct {
	name string
	// connection counts the streams that owners have spoken on, for logs; number is the owner's
	// own count of its connections to this agent, 0 for one of an earlier build.
	connection int64
	number     int64
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
	told        status.Encoder
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

// logOwner logs what becomes of an owner's connection.
func (agent *Agent) logOwner(code event.Code, owner *session, attributes ...slog.Attr) {
	about := []slog.Attr{slog.String("owner", owner.name), slog.Int64("connection", owner.connection)}
	agent.log(code, append(about, attributes...)...)
}

func (agent *Agent) detach(owner *session) {
	owner.ended = true
	if !agent.owners[owner] {
		return
	}
	delete(agent.owners, owner)
	agent.logOwner(event.OwnerLost, owner)
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
		owner.number = message.GetConnection()
		agent.connections++
		owner.connection = agent.connections
		agent.logOwner(event.OwnerAttached, owner)
	}
	if message.GetOwned() {
		agent.noteClaims(owner, message)
	}
	if owner.ended {
		return
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

func (agent *Agent) sendResult(state *workerState, run *runState, outcome wire.StartOutcome) {
	held, claimed := agent.claims[run.shard]
	if !claimed || !agent.owners[held.owner] {
		return
	}
	held.owner.results = append(held.owner.results, &wire.StartResult{
		Task: run.task, Attempt: run.attempt, Worker: state.life.WorkerID(), Born: state.life.StartedMs(), Outcome: outcome,
	})
}
