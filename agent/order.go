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
	// stopAgain is when a stop whose run has not ended is sent once more.
	stopAgain = 700 * time.Millisecond
	// paceAfter is how long a worker takes no pace for a run that has just
	// started, which goes at full speed until then.
	paceAfter = 110 * time.Millisecond
	// startTries bounds how often a start is sent that the worker refused for
	// its token or its lease, which the agent renews in between.
	startTries = 3
)

// noteStart decides on an order to start a run.
func (agent *Agent) noteStart(owner *session, order *wire.StartOrder, now time.Time) {
	run := &runState{task: order.GetTask(), attempt: order.GetAttempt(), shard: order.GetShard(), demand: order.GetDemand(), phase: phaseStarting, pace: fullPercent, suspect: order.GetSuspect(), whole: order.GetCheckpoint() == ""}
	state := agent.worker
	outcome := agent.judge(owner, order, now)
	agent.meters.orders.Add(agent.ctx, 1, telemetry.By("outcome", outcome.String()))
	if outcome != wire.StartOutcome_START_STARTED {
		agent.logRun(event.OrderRefused, run, slog.String("outcome", outcome.String()))
		owner.results = append(owner.results, &wire.StartResult{Task: run.task, Attempt: run.attempt, Worker: order.GetWorker(), Born: order.GetBorn(), Outcome: outcome})
		return
	}
	agent.logRun(event.OrderTaken, run, slog.String("owner", owner.name), slog.Int64("connection", owner.connection))
	run.sentAt, run.connection = now, owner.connection
	state.runs[run.task] = run
	agent.statusChanged()
	agent.sendStart(state, run, order, 1, now)
}

// judge returns START_STARTED for an order that may go to the worker: it has to come on the connection
// that holds the shard, lest one is carried out that its owner has given up with an older connection.
func (agent *Agent) judge(owner *session, order *wire.StartOrder, now time.Time) wire.StartOutcome {
	state := agent.worker
	held, claimed := agent.claims[order.GetShard()]
	switch {
	case state == nil || !state.life.MayEqual(order.Incarnation()):
		return wire.StartOutcome_START_WRONG_WORKER
	case !claimed || order.GetEpoch() != held.epoch || held.owner != owner:
		return wire.StartOutcome_START_STALE
	case !state.ready() || !agent.endsUntil(held.until).After(now.Add(stopBefore)):
		return wire.StartOutcome_START_NOT_READY
	case state.beat.Draining:
		return wire.StartOutcome_START_DRAINING
	case agent.judgeDomain(now) != operator.Permitted:
		return refusedBy(agent.judgeDomain(now))
	case order.GetSuspect() && state.hasNewSuspect(now):
		return wire.StartOutcome_START_SUSPECT
	case state.runs[order.GetTask()] != nil || !state.room().fits(order.GetDemand()):
		return wire.StartOutcome_START_NO_ROOM
	}
	return wire.StartOutcome_START_STARTED
}

// refusedBy returns what becomes of a start that a verdict on its failure domain rules out.
func refusedBy(verdict operator.Verdict) wire.StartOutcome {
	if verdict == operator.Evacuated {
		return wire.StartOutcome_START_EVACUATED
	}
	return wire.StartOutcome_START_NOT_READY
}

func (agent *Agent) sendStart(state *workerState, run *runState, order *wire.StartOrder, try int, now time.Time) {
	leaseEnd := state.leaseEnd(now, agent.leaseUntil(now))
	state.extended(leaseEnd)
	start := platform.Start{
		Task: run.task, Attempt: run.attempt, Spec: order.GetSpec(), Checkpoint: order.GetCheckpoint(),
		Ticket: order.GetTicket(), LeaseEnd: leaseEnd, Token: state.token,
	}
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		clock, err := state.calls.Start(ctx, start)
		agent.decisions.Post(func(now time.Time) {
			if agent.worker != state || state.runs[run.task] != run {
				return
			}
			state.noteClock(clock, now)
			agent.noteStarted(state, run, order, try, err, now)
		})
	}()
}

func (agent *Agent) noteStarted(state *workerState, run *runState, order *wire.StartOrder, try int, err error, now time.Time) {
	if err == nil {
		state.noteAnswer(run.sentAt, now)
		run.phase = phaseRunning
		run.confirmedAt, run.workedAt = now, now
		agent.paceSoon(state, run)
		agent.sendResult(state, run, wire.StartOutcome_START_STARTED)
		return
	}
	var refused *platform.StartError
	var failed *platform.RefusedError
	switch {
	case errors.As(err, &refused):
		again := refused.Reason() == platform.RefusedFence || refused.Reason() == platform.RefusedLate
		if verdict := agent.judgeDomain(now); again && verdict != operator.Permitted {
			agent.notStarted(state, run, refusedBy(verdict), err)
			return
		}
		if again && try < startTries && run.phase == phaseStarting && !state.overtaken {
			agent.sendStart(state, run, order, try+1, now)
			return
		}
		agent.notStarted(state, run, refusedOutcome(refused.Reason()), err)
	case errors.As(err, &failed):
		agent.notStarted(state, run, wire.StartOutcome_START_WORKER_FAILED, err)
	default:
		agent.logRun(event.OrderUnsettled, run, slog.Any("error", err))
		run.phase = phaseUnsettled
		state.unsettled++
		if !agent.notesOtherLife(state, err, now) {
			state.token++
			state.lookAt = now
		}
	}
}

// paceSoon paces a run that has just started, once its worker takes a pace for it.
func (agent *Agent) paceSoon(state *workerState, run *runState) {
	agent.options.Clock.AfterFunc(paceAfter, func() {
		agent.decisions.Post(func(now time.Time) {
			if agent.worker == state && state.runs[run.task] == run {
				agent.pace(state, false, now)
			}
		})
	})
}

func refusedOutcome(reason platform.StartRefusal) wire.StartOutcome {
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

func (agent *Agent) notStarted(state *workerState, run *runState, outcome wire.StartOutcome, err error) {
	agent.logRun(event.OrderRefused, run, slog.String("outcome", outcome.String()), slog.Any("error", err))
	delete(state.runs, run.task)
	agent.sendResult(state, run, outcome)
	agent.statusChanged()
}

// noteStop decides on an order to stop a run.
func (agent *Agent) noteStop(order *wire.StopOrder, now time.Time) {
	state := agent.worker
	held, claimed := agent.claims[order.GetShard()]
	if state == nil || !state.life.MayEqual(order.Incarnation()) || !claimed || order.GetEpoch() < held.epoch {
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
	if now.Sub(run.stopSentAt) < stopAgain {
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
		clock, err := state.calls.Stop(ctx, run.task, run.attempt, token)
		agent.decisions.Post(func(now time.Time) {
			if agent.worker != state {
				return
			}
			if err == nil {
				state.noteClock(clock, now)
				state.noteAnswer(run.stopSentAt, now)
				return
			}
			agent.notesOtherLife(state, err, now)
			// Sent again after stopAgain, while the run is listed.
			if run.phase == phaseStopping {
				run.phase = phaseRunning
			}
			agent.log(event.OrderUnsettled, slog.String("task", run.task), slog.String("order", "stop"), slog.Any("error", err))
		})
	}()
}
