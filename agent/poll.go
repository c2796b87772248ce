package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
)

// poll asks the worker which runs it has and which have ended, and renews its lease. The worker delays its
// answer until a run ends, for at most the time that pollWait returns.
func (agent *Agent) poll(now time.Time) {
	state := agent.worker
	if state.isPolling || state.isSuperseded || now.Before(state.pollAt) {
		return
	}
	wait := agent.pollWait(state)
	leaseEnd := time.Duration(0)
	if state.pollFailures == 0 {
		// The lease of a worker that does not answer is not renewed, so that its runs are certainly over
		// once the last lease has expired.
		leaseEnd = state.leaseEnd(now, agent.leaseLimit(now))
	}
	if leaseEnd > 0 {
		state.recordLease(leaseEnd)
	}
	request := pollRequest{sentAt: now, storedEnd: state.storedEnd, token: state.token, unsettledStarts: state.unsettledStarts}
	if state.pollFailures > 0 {
		// The worker may have restarted since: it numbers its ends from 1 again, and would forget ends
		// that are not in the store.
		request.storedEnd = 0
	}
	state.isPolling = true
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, wait+callTimeout)
		defer cancel()
		answer, err := state.client.Poll(ctx, leaseEnd, request.storedEnd, request.token, wait)
		agent.eventLoop.Post(func(now time.Time) {
			state.isPolling = false
			if agent.worker == state {
				agent.handlePollAnswer(state, request, answer, err, now)
			}
		})
	}()
}

// pollWait returns how long a poll waits for a run to end: not at all while the agent does not know what the
// worker runs.
func (agent *Agent) pollWait(state *workerState) time.Duration {
	if !state.runsKnown || state.unsettledStarts > 0 || state.pollFailures > 0 {
		return 0
	}
	if agent.pacer.isNeeded(state) {
		return pacingPollWait
	}
	return defaultPollWait
}

// pollRequest is one poll of the worker, with the state in which it was sent.
type pollRequest struct {
	sentAt time.Time
	// storedEnd is the number of the last end that the worker may forget.
	storedEnd int64
	token     int64
	// unsettledStarts counts the starts that had got no answer. The answer to the poll settles them.
	unsettledStarts int
}

// handlePollAnswer updates the state of the worker from its answer to a poll.
func (agent *Agent) handlePollAnswer(state *workerState, request pollRequest, answer platform.PollResult, err error, now time.Time) {
	if state.isSuperseded {
		return // The answer is outdated, or is not from this incarnation.
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
	agent.recordStartTime(state, answer.Incarnation)
	state.updateClock(answer.Clock, now)
	state.recordAnswer(request.sentAt, now)
	state.pollAt = now
	for _, end := range answer.Ended {
		agent.handleRunEnd(state, end, now)
	}
	if len(state.pendingEnds) > 0 || state.storedEnd > request.storedEnd && len(answer.Ended) > 0 {
		state.pollAt = now.Add(pendingEndsDelay)
	}
	agent.reconcileRuns(state, request, answer, now)
	if !state.runsKnown {
		state.runsKnown, state.runsListedOnce = true, true
		agent.markStatusChanged()
	}
	agent.adjustPaces(state, true, now)
}

// handlePollError finds out from the error of a poll whether another incarnation has answered, or whether the
// fencing token was too low. Otherwise it counts the failure; the worker is not ready until it answers again.
func (agent *Agent) handlePollError(state *workerState, err error, now time.Time) {
	if agent.detectRestart(state, err, now) {
		return
	}
	if platform.IsMisdirected(err) {
		// Only one worker runs on the machine, and it is another incarnation now.
		agent.endIncarnation(state.incarnation, causeReplaced, now)
		return
	}
	var refused *platform.WorkerRefusedError
	if errors.As(err, &refused) && refused.Reason() == platform.RefusedFenced {
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
