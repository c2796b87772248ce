package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

const (
	// stopRetryInterval is the time after which a stop is sent again if its run has not ended.
	stopRetryInterval = 700 * time.Millisecond
	// firstPaceDelay is how long the worker accepts no pace for a run that has just started. Until then the
	// run goes at full speed.
	firstPaceDelay = 110 * time.Millisecond
	// maxStartTries is how often a start is sent if the worker refuses it for its fencing token or its lease,
	// which the agent renews in between.
	maxStartTries = 3
)

// startBatch holds what the start orders of one message have in common.
//
// Performance: each of these values is computed from all runs of the worker, and a message may order hundreds of starts.
type startBatch struct {
	isReady bool
	// free is what the runs leave free, those of the message included.
	free freeResources
	// leaseLimit is the time up to which the lease may be renewed, as [Agent.leaseLimit] returns it.
	leaseLimit time.Time
}

// newStartBatch returns the batch for the orders of one message. The agent has a worker.
func (agent *Agent) newStartBatch(now time.Time) *startBatch {
	return &startBatch{isReady: agent.worker.isReady(), free: agent.worker.freeResources(), leaseLimit: agent.leaseLimit(now)}
}

// handleStartOrders handles the start orders of one message.
func (agent *Agent) handleStartOrders(s *session, orders []*wire.StartOrder, now time.Time) {
	if len(orders) == 0 {
		return
	}
	batch := &startBatch{}
	if agent.worker != nil {
		batch = agent.newStartBatch(now)
	}
	for _, order := range orders {
		agent.handleStartOrder(s, order, batch, now)
	}
}

// handleStartOrder checks an owner's order to start a run, and sends the start to the worker or answers that
// it was refused.
func (agent *Agent) handleStartOrder(s *session, order *wire.StartOrder, batch *startBatch, now time.Time) {
	run := &runState{task: order.GetTask(), attempt: order.GetAttempt(), shard: order.GetShard(), demand: order.GetDemand(), phase: phaseStarting, pacePercent: fullPercent, isSuspect: order.GetSuspect(), fromScratch: order.GetCheckpoint() == ""}
	state := agent.worker
	outcome := agent.checkStart(s, order, batch, now)
	agent.metrics.startOrders.Add(agent.ctx, 1, telemetry.WithAttribute("outcome", outcome.String()))
	if outcome != wire.StartOutcome_START_STARTED {
		agent.logRun(event.OrderRefused, run, slog.String("outcome", outcome.String()))
		s.results = append(s.results, &wire.StartResult{Task: run.task, Attempt: run.attempt, Worker: order.GetWorker(), Born: order.GetBorn(), Outcome: outcome})
		return
	}
	agent.logRun(event.OrderTaken, run, slog.String("owner", s.ownerName), slog.Int64("connection", s.id))
	run.startSentAt, run.sessionID = now, s.id
	state.runs[run.task] = run
	batch.free.subtract(run)
	batch.leaseLimit = earlier(batch.leaseLimit, agent.grantEnd(run.shard))
	agent.markStatusChanged()
	agent.sendStart(state, run, order, 1, batch.leaseLimit, now)
}

// checkStart returns START_STARTED if the order may be sent to the worker, or else why it is refused. The
// order must arrive on the connection that holds the shard: its owner may have abandoned an order on an older
// one together with that connection.
func (agent *Agent) checkStart(s *session, order *wire.StartOrder, batch *startBatch, now time.Time) wire.StartOutcome {
	state := agent.worker
	claim, claimed := agent.claims[order.GetShard()]
	switch {
	case state == nil || !state.incarnation.MayEqual(order.Incarnation()):
		return wire.StartOutcome_START_WRONG_WORKER
	case !claimed || order.GetEpoch() != claim.epoch || claim.session != s:
		return wire.StartOutcome_START_STALE
	case !batch.isReady || !agent.limitByPendingEnds(claim.startsUntil).After(now.Add(stopMargin)):
		return wire.StartOutcome_START_NOT_READY
	case state.heartbeat.Draining:
		return wire.StartOutcome_START_DRAINING
	case agent.checkFailureDomain(now) != operator.Permitted:
		return domainOutcome(agent.checkFailureDomain(now))
	case order.GetSuspect() && state.hasNewSuspect(now):
		return wire.StartOutcome_START_SUSPECT
	case state.runs[order.GetTask()] != nil || !batch.free.fits(order.GetDemand()):
		return wire.StartOutcome_START_NO_ROOM
	}
	return wire.StartOutcome_START_STARTED
}

// domainOutcome returns the outcome of a start that is refused by a verdict on its failure domain.
func domainOutcome(verdict operator.Verdict) wire.StartOutcome {
	if verdict == operator.Evacuated {
		return wire.StartOutcome_START_EVACUATED
	}
	return wire.StartOutcome_START_NOT_READY
}

// sendStart sends a start to the worker, with a renewed lease and the present fencing token. The try counts
// from 1, and leaseLimit is that of [Agent.leaseLimit].
func (agent *Agent) sendStart(state *workerState, run *runState, order *wire.StartOrder, try int, leaseLimit, now time.Time) {
	leaseEnd := state.leaseEnd(now, leaseLimit)
	state.recordLease(leaseEnd)
	start := platform.Start{
		Task: run.task, Attempt: run.attempt, Spec: order.GetSpec(), Checkpoint: order.GetCheckpoint(),
		Ticket: order.GetTicket(), LeaseEnd: leaseEnd, FencingToken: state.token,
	}
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		clock, err := state.client.Start(ctx, start)
		agent.eventLoop.Post(func(now time.Time) {
			if agent.worker != state || state.runs[run.task] != run {
				return
			}
			state.updateClock(clock, now)
			agent.handleStartAnswer(state, run, order, try, err, now)
		})
	}()
}

// handleStartAnswer handles the answer to a start, or its error. The start is sent again if the worker
// refused it for its token or its lease. Without an answer it is unknown whether the run has started: the
// token is raised, so that the start cannot take effect any more once the worker has answered the next poll.
func (agent *Agent) handleStartAnswer(state *workerState, run *runState, order *wire.StartOrder, try int, err error, now time.Time) {
	if err == nil {
		state.recordAnswer(run.startSentAt, now)
		run.phase, run.begun = phaseRunning, true
		run.confirmedAt, run.workUpdatedAt = now, now
		agent.schedulePacing(state, run, now)
		agent.queueResult(state, run, wire.StartOutcome_START_STARTED)
		return
	}
	var refused *platform.WorkerRefusedError
	var failed *platform.RefusedError
	switch {
	case errors.As(err, &refused):
		retryable := refused.Reason() == platform.RefusedFenced || refused.Reason() == platform.RefusedLeaseExpired
		if verdict := agent.checkFailureDomain(now); retryable && verdict != operator.Permitted {
			agent.failStart(state, run, domainOutcome(verdict), err)
			return
		}
		if retryable && try < maxStartTries && run.phase == phaseStarting && !state.isSuperseded {
			agent.sendStart(state, run, order, try+1, agent.leaseLimit(now), now)
			return
		}
		agent.failStart(state, run, refusalOutcome(refused.Reason()), err)
	case errors.As(err, &failed):
		agent.failStart(state, run, wire.StartOutcome_START_WORKER_FAILED, err)
	default:
		agent.logRun(event.OrderUnsettled, run, slog.Any("error", err))
		run.phase = phaseUnsettled
		state.unsettledStarts++
		if !agent.detectRestart(state, err, now) {
			state.token++
			state.pollAt = now
		}
	}
}

// pacingBatch is how much later than firstPaceDelay the paces may be adjusted, so that runs that start together have them
// adjusted once.
const pacingBatch = 10 * time.Millisecond

// schedulePacing adjusts the paces once the worker accepts a pace for a run that has just started. A run that neither
// fills nor serves has no effect on the paces.
func (agent *Agent) schedulePacing(state *workerState, run *runState, now time.Time) {
	if !run.demand.GetFills() && run.demand.GetTargetMs() == 0 || now.Sub(state.pacingScheduledAt) < pacingBatch {
		return
	}
	state.pacingScheduledAt = now
	agent.options.Clock.AfterFunc(firstPaceDelay+pacingBatch, func() {
		agent.eventLoop.Post(func(now time.Time) {
			if agent.worker == state {
				agent.adjustPaces(state, false, now)
			}
		})
	})
}

// refusalOutcome returns the outcome that is reported to owners when the worker refuses a start.
func refusalOutcome(reason platform.WorkerRefusal) wire.StartOutcome {
	switch reason {
	case platform.RefusedNoRoom:
		return wire.StartOutcome_START_NO_ROOM
	case platform.RefusedTicket:
		return wire.StartOutcome_START_TICKET
	case platform.RefusedStaleAttempt:
		return wire.StartOutcome_START_STALE
	case platform.RefusedFenced, platform.RefusedLeaseExpired:
		return wire.StartOutcome_START_NOT_READY
	}
	return wire.StartOutcome_START_WORKER_FAILED
}

// failStart drops a run that has not started, and reports the reason to its owner.
func (agent *Agent) failStart(state *workerState, run *runState, outcome wire.StartOutcome, err error) {
	agent.logRun(event.OrderRefused, run, slog.String("outcome", outcome.String()), slog.Any("error", err))
	delete(state.runs, run.task)
	agent.queueResult(state, run, outcome)
	agent.markStatusChanged()
}

// handleStopOrder stops a run on an owner's order, unless the order is for another incarnation or from an
// owner that has been replaced.
func (agent *Agent) handleStopOrder(order *wire.StopOrder, now time.Time) {
	state := agent.worker
	claim, claimed := agent.claims[order.GetShard()]
	if state == nil || !state.incarnation.MayEqual(order.Incarnation()) || !claimed || order.GetEpoch() < claim.epoch {
		return
	}
	run, found := state.runs[order.GetTask()]
	if !found || run.attempt != order.GetAttempt() {
		return
	}
	agent.stopRun(state, run, now)
}

// stopRun sends a stop to the worker, at most once per stopRetryInterval. The run is over once the worker
// lists its end.
func (agent *Agent) stopRun(state *workerState, run *runState, now time.Time) {
	if now.Sub(run.stopSentAt) < stopRetryInterval {
		return
	}
	run.stopSentAt = now
	if run.phase == phaseRunning {
		run.phase = phaseStopping
	}
	agent.logRun(event.RunStopOrdered, run)
	token := state.token
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		clock, err := state.client.Stop(ctx, run.task, run.attempt, token)
		agent.eventLoop.Post(func(now time.Time) {
			if agent.worker != state {
				return
			}
			if err == nil {
				state.updateClock(clock, now)
				state.recordAnswer(run.stopSentAt, now)
				return
			}
			agent.detectRestart(state, err, now)
			// The stop is sent again after stopRetryInterval if the run is still listed.
			if run.phase == phaseStopping {
				run.phase = phaseRunning
			}
			agent.log(event.OrderUnsettled, slog.String("task", run.task), slog.String("order", "stop"), slog.Any("error", err))
		})
	}()
}
