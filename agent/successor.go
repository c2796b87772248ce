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

// probeRetryInterval is the delay between probes of a restarted worker that may still run orders of its
// previous incarnation: a stop takes up to half a second.
const probeRetryInterval = 100 * time.Millisecond

// successor is an incarnation that has sent a heartbeat while the agent manages another one. Either it is the
// later of the two and has replaced the managed one, or it is the earlier one, has ended long since, and its
// heartbeat was delayed. Only the worker itself can tell which is the case, so the agent probes it.
//
// A successor with another worker ID is called by that ID, and refuses calls that were meant for the previous
// incarnation. A successor with the same ID does not: it knows no fencing token, so that a start without an
// answer may still be carried out there. It is therefore probed again with a token above all those that the
// previous incarnation was sent. From then on it refuses such starts; the runs that it has started until then
// are stopped, and reported with their own ends. Only then is the previous incarnation certainly over: owners
// that learned of it earlier would start such a task while it still runs.
type successor struct {
	heartbeat platform.Heartbeat
	client    *platform.Worker
	isProbing bool // a probe has not been answered yet
	// fencingToken is the token of further probes, once the successor is known to be the present incarnation
	// under the ID that the previous one has too. It is 0 until then.
	fencingToken int64
	// probeAt is when the successor is probed again, while fencingToken is set.
	probeAt time.Time
}

// handleSuccessorHeartbeat handles a heartbeat of an incarnation other than the managed one, and probes it.
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

// probe asks an incarnation whether it is the one at its address, and for its runs and ends.
func (agent *Agent) probe(next *successor) {
	if next.isProbing {
		return
	}
	next.isProbing = true
	token := max(agent.options.FirstToken, next.fencingToken)
	if current := agent.worker; current != nil && next.heartbeat.Incarnation.IsOtherIncarnationOf(current.incarnation) {
		// A call that was meant for the previous incarnation may have raised the token there.
		token = max(token, current.token)
	}
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		// This renews no lease and confirms no end. Another incarnation refuses the call in any case.
		answer, err := next.client.Poll(ctx, 0, 0, token, 0)
		agent.eventLoop.Post(func(now time.Time) { agent.handleProbeAnswer(next, token, answer, err, now) })
	}()
}

// probeAgain probes a restarted worker again that may still run orders of its previous incarnation.
func (agent *Agent) probeAgain(now time.Time) {
	if next := agent.successor; next != nil && next.fencingToken > 0 && !now.Before(next.probeAt) {
		agent.probe(next)
	}
}

// handleProbeAnswer handles the answer to a probe, or its error. If neither a successor with another worker
// ID nor any other incarnation answers, the successor replaces the present incarnation, provided that the
// latter does not answer either and its lease has expired: only then are its runs certainly over, whichever
// of the two is on the machine. Otherwise, the successor is probed again at its next heartbeat.
func (agent *Agent) handleProbeAnswer(next *successor, token int64, answer platform.PollResult, err error, now time.Time) {
	next.isProbing = false
	if agent.successor != next || agent.endedIncarnations[next.heartbeat.Incarnation] {
		return
	}
	next.probeAt = now.Add(probeRetryInterval)
	current := agent.worker
	var other *platform.RestartedError
	switch {
	case errors.As(err, &other):
		agent.dropSuccessor(next)
		if current != nil && other.Incarnation().IsOtherIncarnationOf(current.incarnation) {
			agent.markSuperseded(current, other.Incarnation(), now)
		}
	case platform.IsMisdirected(err):
		agent.dropSuccessor(next)
	case current != nil && next.heartbeat.Incarnation.IsOtherIncarnationOf(current.incarnation):
		if err != nil {
			current.raiseProbeToken(next, err)
			return
		}
		agent.handleRestartProbe(current, next, token, answer, now)
	case err == nil || current == nil || current.pollFailures > 0 && !now.Before(current.leaseOverBy):
		agent.replaceWorker(next, now)
	}
}

// raiseProbeToken raises the token of further probes if the restarted worker has refused one for its token,
// because it has seen that of an agent whose clock was ahead. A poll would find that out too, but the
// previous incarnation is no longer polled.
func (state *workerState) raiseProbeToken(next *successor, err error) {
	var refused *platform.WorkerRefusedError
	if !state.isSuperseded || !errors.As(err, &refused) || refused.Reason() != platform.RefusedFenced {
		return
	}
	state.token += tokenStep
	next.fencingToken = state.token + 1
}

// dropSuccessor drops an incarnation that is over already, whose heartbeat was delayed.
func (agent *Agent) dropSuccessor(next *successor) {
	agent.successor = nil
	attributes := append(next.heartbeat.Incarnation.LogAttributes(), slog.Int64("sequence", next.heartbeat.Sequence))
	agent.log(event.HeartbeatStale, attributes...)
}

// handleRestartProbe handles the answer to a probe of a worker that has restarted under the ID of the present
// incarnation. The successor replaces the present incarnation once it has answered a probe with its fencing
// token and lists no runs.
func (agent *Agent) handleRestartProbe(current *workerState, next *successor, token int64, answer platform.PollResult, now time.Time) {
	agent.markSuperseded(current, next.heartbeat.Incarnation, now)
	if next.fencingToken == 0 || token < next.fencingToken {
		next.fencingToken = current.token + 1
		agent.probe(next)
		return
	}
	if len(answer.Running) > 0 {
		agent.stopStaleRuns(next, answer.Running)
		return
	}
	// If the store said that the previous incarnation is over, an owner might release its run before it
	// receives the end.
	current.orderCarriedOver = len(answer.Ended) > 0
	for _, end := range answer.Ended {
		// The restarted worker has carried out this start and will list its end: the run is not lost.
		if run, found := current.runs[end.Task]; found && run.attempt == end.Attempt {
			delete(current.runs, end.Task)
		}
	}
	current.token = next.fencingToken
	agent.replaceWorker(next, now)
}

// stopStaleRuns stops the runs that a restarted worker has started by orders to its previous incarnation.
func (agent *Agent) stopStaleRuns(next *successor, running []platform.Run) {
	for _, run := range running {
		agent.log(event.RunStopOrdered, slog.String("task", run.Task), slog.Int("attempt", int(run.Attempt)),
			slog.String("reason", "ordered from the previous incarnation of the worker"))
		go func() {
			ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
			defer cancel()
			if _, err := next.client.Stop(ctx, run.Task, run.Attempt, next.fencingToken); err != nil {
				// The next probe lists the run again, and it is stopped again.
				agent.log(event.OrderUnsettled, slog.String("task", run.Task), slog.String("order", "stop"), slog.Any("error", err))
			}
		}()
	}
}

// detectRestart reports whether an error of a call says that another incarnation has answered, and marks the
// state as superseded in that case.
func (agent *Agent) detectRestart(state *workerState, err error, now time.Time) bool {
	var other *platform.RestartedError
	if !errors.As(err, &other) {
		return false
	}
	agent.markSuperseded(state, other.Incarnation(), now)
	return true
}

// markSuperseded records that another incarnation with the same worker ID has answered. That one's heartbeat,
// which describes the worker, may not have arrived yet.
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

// recordStartTime sets the start time of an incarnation whose heartbeats lack it, from its first answer.
func (agent *Agent) recordStartTime(state *workerState, answered incarnation.ID) {
	if state.incarnation.HasStartTime() || !answered.HasStartTime() {
		return
	}
	state.incarnation = answered
	state.client = agent.options.Connect(state.heartbeat.Address, answered)
	agent.markStatusChanged()
}

// replaceWorker has a successor take the place of the present incarnation, which is over: there is one worker
// on a machine.
func (agent *Agent) replaceWorker(next *successor, now time.Time) {
	if agent.worker != nil {
		agent.endIncarnation(agent.worker.incarnation, causeReplaced, now)
	}
	agent.manageWorker(next.heartbeat, next.client, now)
}

// manageWorker begins to manage an incarnation, while there is no other one. Answers to earlier probes have
// no effect any more.
func (agent *Agent) manageWorker(beat platform.Heartbeat, client *platform.Worker, now time.Time) {
	agent.successor = nil
	agent.logWorker(beat)
	agent.worker = newWorkerState(beat, client, agent.predecessor, now)
	if beat.Incarnation.IsOtherIncarnationOf(agent.predecessor.incarnation) {
		// A call that was meant for the previous incarnation may have given it a lease. Its clock has
		// restarted since, so that this lease may end as late as any lease can.
		agent.worker.leaseOverBy = now.Add(agent.maxLease())
	}
	agent.worker.updateLeaveTime(now)
	agent.markStatusChanged()
}
