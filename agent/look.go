package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
)

// poll asks the worker what runs and what has ended, and renews its lease.
func (agent *Agent) poll(now time.Time) {
	state := agent.worker
	if state.isPolling || state.isSuperseded || now.Before(state.pollAt) {
		return
	}
	wait := agent.pollWait(state)
	leaseEnd := time.Duration(0)
	if state.pollFailures == 0 {
		// A worker that does not answer is not renewed: its runs are over
		// once the lease that it may have is.
		leaseEnd = state.leaseEnd(now, agent.leaseLimit(now))
	}
	if leaseEnd > 0 {
		state.recordLease(leaseEnd)
	}
	asked := pollRequest{sentAt: now, storedEnd: state.storedEnd, token: state.token, unsettledStarts: state.unsettledStarts}
	if state.pollFailures > 0 {
		// It may have started again, and would forget ends of its next life.
		asked.storedEnd = 0
	}
	state.isPolling = true
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, wait+callTimeout)
		defer cancel()
		held, err := state.client.Hold(ctx, leaseEnd, asked.storedEnd, asked.token, wait)
		agent.eventLoop.Post(func(now time.Time) {
			state.isPolling = false
			if agent.worker == state {
				agent.handlePollAnswer(state, asked, held, err, now)
			}
		})
	}()
}

// pollWait returns how long a look waits for an end: not at all while the agent
// does not know what runs.
func (agent *Agent) pollWait(state *workerState) time.Duration {
	if !state.runsKnown || state.unsettledStarts > 0 || state.pollFailures > 0 {
		return 0
	}
	if agent.pacer.isNeeded(state) {
		return pacingPollWait
	}
	return defaultPollWait
}

// pollRequest is one question to the worker.
type pollRequest struct {
	sentAt          time.Time
	storedEnd       int64
	token           int64
	unsettledStarts int
}

func (agent *Agent) handlePollAnswer(state *workerState, asked pollRequest, held platform.Held, err error, now time.Time) {
	if state.isSuperseded {
		return // The answer is of before, or none.
	}
	if err != nil {
		agent.handlePollError(state, err, now)
		return
	}
	if state.pollFailures > 0 {
		agent.log(event.WorkerBack, slog.String("worker", state.incarnation.WorkerID()), slog.Int("failures", state.pollFailures))
		state.pollFailures = 0
		state.givenUpRuns = nil // It did not crash.
		agent.markStatusChanged()
	}
	agent.recordStartTime(state, held.Incarnation)
	state.updateClock(held.Clock, now)
	state.recordAnswer(asked.sentAt, now)
	state.pollAt = now
	for _, end := range held.Ended {
		agent.handleRunEnd(state, end, now)
	}
	if len(state.pendingEnds) > 0 || state.storedEnd > asked.storedEnd && len(held.Ended) > 0 {
		state.pollAt = now.Add(pendingEndsDelay)
	}
	agent.reconcileRuns(state, asked, held, now)
	if !state.runsKnown {
		state.runsKnown, state.runsListedOnce = true, true
		agent.markStatusChanged()
	}
	agent.adjustPaces(state, true, now)
}

func (agent *Agent) handlePollError(state *workerState, err error, now time.Time) {
	if agent.detectRestart(state, err, now) {
		return
	}
	if platform.IsOtherIncarnation(err) {
		// One worker stands on a machine, and it is another one now.
		agent.endIncarnation(state.incarnation, causeReplaced, now)
		return
	}
	var refused *platform.StartError
	if errors.As(err, &refused) && refused.Reason() == platform.RefusedFence {
		state.token += tokenStep
		return
	}
	if state.pollFailures == 0 {
		state.recordCallError(err, now)
	}
	state.pollFailures++
	state.pollAt = now.Add(failedPollDelay)
	if state.pollFailures == 1 {
		agent.log(event.WorkerSilent, slog.String("worker", state.incarnation.WorkerID()), slog.Any("error", err))
		agent.markStatusChanged()
	}
}
