package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/platform"
)

// probeRetryInterval keeps questions to a next life apart that is not clear of the life before yet: a stop takes
// up to half a second.
const probeRetryInterval = 100 * time.Millisecond

// successor is an incarnation that has sent a heartbeat while another one is taken care
// of. It may stand in that one's place by now, or have sent the heartbeat before it ended:
// one that was held up on its way may arrive after that of its successor. Only the worker
// itself can tell which of the two it is.
//
// One that has another id is called by it, and refuses what was meant for the one before. Another life under
// the same id does not: it knows no fencing token, so that a start without an answer may be carried out
// there. It is therefore asked again under a token above all that the life before was sent, from which
// on no such start is, and what was until then is stopped and told with its own end. Only then is the life
// before over for certain: if its owners were told before, they would start such a task beside its run.
type successor struct {
	heartbeat platform.Heartbeat
	client    *platform.Worker
	isProbing bool // a question is on its way
	// fencingToken is the token of the questions once it is known to be the present life under an id that
	// the one before has too; 0 until then.
	fencingToken int64
	// probeAt is when it is asked again, while fence is set.
	probeAt time.Time
}

// handleSuccessorHeartbeat takes in a heartbeat of another incarnation than the one taken care of.
func (agent *Agent) handleSuccessorHeartbeat(beat platform.Heartbeat) {
	next := agent.successor
	if next == nil || next.heartbeat.Incarnation != beat.Incarnation {
		next = &successor{heartbeat: beat, client: agent.options.Connect(beat.Address, beat.Incarnation)}
		agent.successor = next
	}
	if beat.Sequence > next.heartbeat.Sequence {
		next.heartbeat = beat
	}
	agent.probe(next)
}

// probe asks an incarnation whether it is the one at its address, and what it runs and has ended.
func (agent *Agent) probe(next *successor) {
	if next.isProbing {
		return
	}
	next.isProbing = true
	token := max(agent.options.FirstToken, next.fencingToken)
	if current := agent.worker; current != nil && next.heartbeat.Incarnation.IsOtherIncarnationOf(current.incarnation) {
		// A call that was meant for the life before may have brought its token there.
		token = max(token, current.token)
	}
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		// It renews and forgets nothing; another incarnation does not even look at it.
		held, err := next.client.Hold(ctx, 0, 0, token, 0)
		agent.eventLoop.Post(func(now time.Time) { agent.handleProbeAnswer(next, token, held, err, now) })
	}()
}

// probeAgain goes on with a next life that is not clear of the life before yet.
func (agent *Agent) probeAgain(now time.Time) {
	if next := agent.successor; next != nil && next.fencingToken > 0 && !now.Before(next.probeAt) {
		agent.probe(next)
	}
}

// handleProbeAnswer takes in whether an incarnation is the one at its address. One with another id that
// neither answers nor is denied takes over if the present one does not answer either and its
// lease has run out: only then are its runs over for certain, whichever of the two stands
// there. Else it is asked again with its next heartbeat.
func (agent *Agent) handleProbeAnswer(next *successor, token int64, held platform.Held, err error, now time.Time) {
	next.isProbing = false
	if agent.successor != next || agent.endedIncarnations[next.heartbeat.Incarnation] {
		return
	}
	next.probeAt = now.Add(probeRetryInterval)
	current := agent.worker
	var other *platform.AnotherLifeError
	switch {
	case errors.As(err, &other):
		agent.dropSuccessor(next)
		if current != nil && other.Found().IsOtherIncarnationOf(current.incarnation) {
			agent.markSuperseded(current, other.Found(), now)
		}
	case platform.IsOtherIncarnation(err):
		agent.dropSuccessor(next)
	case current != nil && next.heartbeat.Incarnation.IsOtherIncarnationOf(current.incarnation):
		if err != nil {
			current.raiseProbeToken(next, err)
			return
		}
		agent.handleRestartProbe(current, next, token, held, now)
	case err == nil || current == nil || current.pollFailures > 0 && !now.Before(current.leaseOverBy):
		agent.replaceWorker(next, now)
	}
}

// raiseProbeToken raises the token of the questions to the next life where it refuses them for theirs: it has
// seen that of an agent whose clock was ahead. Nobody looks at the life before any more, which would have found
// that out.
func (state *workerState) raiseProbeToken(next *successor, err error) {
	var refused *platform.StartError
	if !state.isSuperseded || !errors.As(err, &refused) || refused.Reason() != platform.RefusedFence {
		return
	}
	state.token += tokenStep
	next.fencingToken = state.token + 1
}

// dropSuccessor drops an incarnation whose heartbeat was late.
func (agent *Agent) dropSuccessor(next *successor) {
	agent.successor = nil
	about := append(next.heartbeat.Incarnation.LogAttributes(), slog.Int64("sequence", next.heartbeat.Sequence))
	agent.log(event.HeartbeatStale, about...)
}

// handleRestartProbe takes in the answer of the next life under the id of the present one.
func (agent *Agent) handleRestartProbe(current *workerState, next *successor, token int64, held platform.Held, now time.Time) {
	agent.markSuperseded(current, next.heartbeat.Incarnation, now)
	if next.fencingToken == 0 || token < next.fencingToken {
		next.fencingToken = current.token + 1
		agent.probe(next)
		return
	}
	if len(held.Running) > 0 {
		agent.stopStaleRuns(next, held.Running)
		return
	}
	// An owner that read in the store that the life before is over would release its run before it has heard
	// of the end.
	current.orderCarriedOver = len(held.Ended) > 0
	for _, end := range held.Ended {
		// It was carried out by the next life, which will list its end: it is not lost.
		if run, found := current.runs[end.Task]; found && run.attempt == end.Attempt {
			delete(current.runs, end.Task)
		}
	}
	current.token = next.fencingToken
	agent.replaceWorker(next, now)
}

// stopStaleRuns stops what the next life has carried out of the orders of the life before.
func (agent *Agent) stopStaleRuns(next *successor, running []platform.Run) {
	for _, run := range running {
		agent.log(event.RunStopOrdered, slog.String("task", run.Task), slog.Int("attempt", int(run.Attempt)),
			slog.String("reason", "ordered of the worker's life before"))
		go func() {
			ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
			defer cancel()
			if _, err := next.client.Stop(ctx, run.Task, run.Attempt, next.fencingToken); err != nil {
				// It is listed again, and stopped again.
				agent.log(event.OrderUnsettled, slog.String("task", run.Task), slog.String("order", "stop"), slog.Any("error", err))
			}
		}()
	}
}

// detectRestart reports whether an error says that another life than a state's has answered, and takes note of it.
func (agent *Agent) detectRestart(state *workerState, err error, now time.Time) bool {
	var other *platform.AnotherLifeError
	if !errors.As(err, &other) {
		return false
	}
	agent.markSuperseded(state, other.Found(), now)
	return true
}

// markSuperseded notes that another life under a state's id has answered. Its heartbeat, which says what it is and
// has, may be still to come.
func (agent *Agent) markSuperseded(state *workerState, by incarnation.ID, now time.Time) {
	if state.isSuperseded {
		return
	}
	state.isSuperseded = true
	state.pollFailures++
	agent.log(event.WorkerStartedAgain, append(state.incarnation.LogAttributes(), slog.Int64("again", by.StartedMs()),
		slog.Int64("listed", state.lastListedEnd), slog.Int64("seen", state.storedEnd), slog.Int("runs", len(state.runs)),
		slog.Duration("unanswered", now.Sub(state.lastSignAt)))...)
	agent.markStatusChanged()
	if agent.successor != nil && agent.successor.heartbeat.Incarnation == by {
		agent.probe(agent.successor)
	}
}

// recordStartTime takes in when an incarnation started whose heartbeats don't say it, from its first answer.
func (agent *Agent) recordStartTime(state *workerState, answered incarnation.ID) {
	if state.incarnation.HasStartTime() || !answered.HasStartTime() {
		return
	}
	state.incarnation = answered
	state.client = agent.options.Connect(state.heartbeat.Address, answered)
	agent.markStatusChanged()
}

// replaceWorker has an incarnation take the place of the present one, which is over: one worker stands on a machine.
func (agent *Agent) replaceWorker(next *successor, now time.Time) {
	if agent.worker != nil {
		agent.endIncarnation(agent.worker.incarnation, causeReplaced, now)
	}
	agent.manageWorker(next.heartbeat, next.client, now)
}

// manageWorker begins to take care of an incarnation, while there is no other one. What was
// asked about it until then has no effect any more.
func (agent *Agent) manageWorker(beat platform.Heartbeat, calls *platform.Worker, now time.Time) {
	agent.successor = nil
	agent.logWorker(beat)
	agent.worker = newWorkerState(beat, calls, agent.predecessor, now)
	if beat.Incarnation.IsOtherIncarnationOf(agent.predecessor.incarnation) {
		// It may have been given a lease by a call that was meant for the life before. On its clock,
		// which began anew, that ends as late as a lease can.
		agent.worker.leaseOverBy = now.Add(agent.maxLease())
	}
	agent.worker.updateLeaveTime(now)
	agent.markStatusChanged()
}
