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
	// stopRetryInterval is when a stop whose run has not ended is sent once more.
	stopRetryInterval = 700 * time.Millisecond
	// firstPaceDelay is how long a worker takes no pace for a run that has just
	// started, which goes at full speed until then.
	firstPaceDelay = 110 * time.Millisecond
	// maxStartTries bounds how often a start is sent that the worker refused for
	// its token or its lease, which the agent renews in between.
	maxStartTries = 3
)

// handleStartOrder decides on an order to start a run.
func (agent *Agent) handleStartOrder(owner *session, order *wire.StartOrder, now time.Time) {
	run := &runState{task: order.GetTask(), attempt: order.GetAttempt(), shard: order.GetShard(), demand: order.GetDemand(), phase: phaseStarting, pacePercent: fullPercent, isSuspect: order.GetSuspect(), fromScratch: order.GetCheckpoint() == ""}
	state := agent.worker
	outcome := agent.checkStart(owner, order, now)
	agent.metrics.startOrders.Add(agent.ctx, 1, telemetry.By("outcome", outcome.String()))
	if outcome != wire.StartOutcome_START_STARTED {
		agent.logRun(event.OrderRefused, run, slog.String("outcome", outcome.String()))
		owner.results = append(owner.results, &wire.StartResult{Task: run.task, Attempt: run.attempt, Worker: order.GetWorker(), Born: order.GetBorn(), Outcome: outcome})
		return
	}
	agent.logRun(event.OrderTaken, run, slog.String("owner", owner.ownerName), slog.Int64("connection", owner.id))
	run.startSentAt, run.sessionID = now, owner.id
	state.runs[run.task] = run
	agent.markStatusChanged()
	agent.sendStart(state, run, order, 1, now)
}

// checkStart returns START_STARTED for an order that may go to the worker: it has to come on the connection
// that holds the shard, lest one is carried out that its owner has given up with an older connection.
func (agent *Agent) checkStart(owner *session, order *wire.StartOrder, now time.Time) wire.StartOutcome {
	state := agent.worker
	held, claimed := agent.claims[order.GetShard()]
	switch {
	case state == nil || !state.incarnation.MayEqual(order.Incarnation()):
		return wire.StartOutcome_START_WRONG_WORKER
	case !claimed || order.GetEpoch() != held.epoch || held.session != owner:
		return wire.StartOutcome_START_STALE
	case !state.isReady() || !agent.limitByPendingEnds(held.grantedUntil).After(now.Add(stopMargin)):
		return wire.StartOutcome_START_NOT_READY
	case state.heartbeat.Draining:
		return wire.StartOutcome_START_DRAINING
	case agent.checkFailureDomain(now) != operator.Permitted:
		return domainOutcome(agent.checkFailureDomain(now))
	case order.GetSuspect() && state.hasNewSuspect(now):
		return wire.StartOutcome_START_SUSPECT
	case state.runs[order.GetTask()] != nil || !state.freeResources().fits(order.GetDemand()):
		return wire.StartOutcome_START_NO_ROOM
	}
	return wire.StartOutcome_START_STARTED
}

// domainOutcome returns what becomes of a start that a verdict on its failure domain rules out.
func domainOutcome(verdict operator.Verdict) wire.StartOutcome {
	if verdict == operator.Evacuated {
		return wire.StartOutcome_START_EVACUATED
	}
	return wire.StartOutcome_START_NOT_READY
}

func (agent *Agent) sendStart(state *workerState, run *runState, order *wire.StartOrder, try int, now time.Time) {
	leaseEnd := state.leaseEnd(now, agent.leaseLimit(now))
	state.recordLease(leaseEnd)
	start := platform.Start{
		Task: run.task, Attempt: run.attempt, Spec: order.GetSpec(), Checkpoint: order.GetCheckpoint(),
		Ticket: order.GetTicket(), LeaseEnd: leaseEnd, Token: state.token,
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

func (agent *Agent) handleStartAnswer(state *workerState, run *runState, order *wire.StartOrder, try int, err error, now time.Time) {
	if err == nil {
		state.recordAnswer(run.startSentAt, now)
		run.phase = phaseRunning
		run.confirmedAt, run.workUpdatedAt = now, now
		agent.schedulePacing(state, run)
		agent.queueResult(state, run, wire.StartOutcome_START_STARTED)
		return
	}
	var refused *platform.StartError
	var failed *platform.RefusedError
	switch {
	case errors.As(err, &refused):
		again := refused.Reason() == platform.RefusedFence || refused.Reason() == platform.RefusedLate
		if verdict := agent.checkFailureDomain(now); again && verdict != operator.Permitted {
			agent.failStart(state, run, domainOutcome(verdict), err)
			return
		}
		if again && try < maxStartTries && run.phase == phaseStarting && !state.isSuperseded {
			agent.sendStart(state, run, order, try+1, now)
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

// schedulePacing paces a run that has just started, once its worker takes a pace for it.
func (agent *Agent) schedulePacing(state *workerState, run *runState) {
	agent.options.Clock.AfterFunc(firstPaceDelay, func() {
		agent.eventLoop.Post(func(now time.Time) {
			if agent.worker == state && state.runs[run.task] == run {
				agent.adjustPaces(state, false, now)
			}
		})
	})
}

func refusalOutcome(reason platform.StartRefusal) wire.StartOutcome {
	switch reason {
	case platform.RefusedRoom:
		return wire.StartOutcome_START_NO_ROOM
	case platform.RefusedTicket:
		return wire.StartOutcome_START_TICKET
	case platform.RefusedOld:
		return wire.StartOutcome_START_STALE
	case platform.RefusedFence, platform.RefusedLate:
		return wire.StartOutcome_START_NOT_READY
	}
	return wire.StartOutcome_START_WORKER_FAILED
}

func (agent *Agent) failStart(state *workerState, run *runState, outcome wire.StartOutcome, err error) {
	agent.logRun(event.OrderRefused, run, slog.String("outcome", outcome.String()), slog.Any("error", err))
	delete(state.runs, run.task)
	agent.queueResult(state, run, outcome)
	agent.markStatusChanged()
}

// handleStopOrder decides on an order to stop a run.
func (agent *Agent) handleStopOrder(order *wire.StopOrder, now time.Time) {
	state := agent.worker
	held, claimed := agent.claims[order.GetShard()]
	if state == nil || !state.incarnation.MayEqual(order.Incarnation()) || !claimed || order.GetEpoch() < held.epoch {
		return
	}
	run, found := state.runs[order.GetTask()]
	if !found || run.attempt != order.GetAttempt() {
		return
	}
	agent.stopRun(state, run, now)
}

// stopRun sends a stop. The run's end is listed by the worker.
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
			// Sent again after stopRetryInterval, while the run is listed.
			if run.phase == phaseStopping {
				run.phase = phaseRunning
			}
			agent.log(event.OrderUnsettled, slog.String("task", run.task), slog.String("order", "stop"), slog.Any("error", err))
		})
	}()
}
