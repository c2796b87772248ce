package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/claim"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/route"
	"ambertiller.example/ambertiller/wire"
)

const (
	// maxTries is the maximum number of times a request is sent.
	maxTries = 3
	// maxRequeues is how often a request waits for a slot again after a guard
	// refused it because its server was full. Such a refusal costs one message and
	// no work on the backend server.
	maxRequeues = 4
	// sendChunkBytes is the size of the messages of a streamed body.
	sendChunkBytes = 32 << 10
)

// tryOutcome is what is known about a request after it was sent once.
type tryOutcome int

const (
	tryAnswered  tryOutcome = iota // the complete response was relayed
	tryTruncated                   // only a part of the response was relayed
	tryNotRun                      // the request certainly did not run
	tryUnknown                     // the request may have run
)

// tryResult is the result of sending a request once.
type tryResult struct {
	outcome tryOutcome
	status  int
	load    *wire.Load
	// serverFull and leaving are refusals that don't count as failures of the
	// server: it has no free slot or connection, or its guard is shutting down.
	serverFull bool
	leaving    bool
	detail     string
}

// runCall sends the request until it is answered or may not be tried again.
// heldClaim is the claim of a request that must not be repeated, and nil for others.
func (entry *Entry) runCall(ctx context.Context, writer http.ResponseWriter, call *serviceCall, heldClaim *claim.Claim) *api.Problem {
	entry.retryBudget.Deposit()
	var triedWorkers []string
	// Once a backend server may have run the request, the outcome of a failed
	// request is unknown, whatever the later tries show.
	mayHaveRun := false
	requeues := 0
	for {
		pick, err := entry.routes.PickOrWait(ctx, call.service, triedWorkers, route.WaitOptions{
			MaxQueued: call.settings.Queue(),
			Deadline:  call.deadline,
			Now:       entry.now,
			After:     entry.options.Clock.After,
			Requeued:  requeues > 0,
		})
		if err != nil {
			return entry.failCall(ctx, heldClaim, mayHaveRun, shedProblem(err))
		}
		result := entry.trySend(ctx, writer, call, pick)
		entry.recordTry(ctx, call, pick, result)
		switch result.outcome {
		case tryAnswered:
			entry.finishClaim(heldClaim, result.status, false)
			return nil
		case tryTruncated:
			entry.finishClaim(heldClaim, result.status, true)
			// Part of the response has been written. Only aborting the connection
			// shows the caller that it is incomplete.
			panic(http.ErrAbortHandler)
		}
		if result.serverFull && requeues < maxRequeues {
			// The entry's view of the load was out of date. The refusal came with
			// the present load, which recordTry has stored in the routing table, and
			// the request waits again until a slot is free.
			requeues++
			continue
		}
		mayHaveRun = mayHaveRun || result.outcome == tryUnknown
		triedWorkers = append(triedWorkers, pick.Worker())
		if entry.canRetry(call, result, len(triedWorkers)) {
			entry.options.Events.Log(ctx, event.RequestRetried, slog.String("request", call.requestID),
				slog.String("worker", pick.Worker()), slog.String("reason", result.detail))
			continue
		}
		return entry.failCall(ctx, heldClaim, mayHaveRun, notRunProblem(result.detail, entry.retryAfter(call.service)))
	}
}

// failCall ends the claim of an unanswered request and returns the problem for the
// caller. If the request may have run, that is a problem with unknown outcome.
func (entry *Entry) failCall(ctx context.Context, heldClaim *claim.Claim, mayHaveRun bool, problem *api.Problem) *api.Problem {
	if !mayHaveRun {
		entry.releaseClaim(ctx, heldClaim)
		return problem
	}
	entry.finishClaim(heldClaim, 0, true)
	return unknownOutcomeProblem(unknownOutcomeStatus(ctx), problem.Detail)
}

func unknownOutcomeStatus(ctx context.Context) int {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// canRetry reports whether an unanswered request is sent again, and then takes a
// token from the retry budget. The request must have certainly not run or be
// repeatable, its whole body must be buffered, and its deadline must lie ahead.
func (entry *Entry) canRetry(call *serviceCall, result tryResult, tries int) bool {
	if tries >= maxTries || call.bodyRest != nil || !entry.now().Before(call.deadline) {
		return false
	}
	if result.outcome != tryNotRun && !call.repeatable {
		return false
	}
	return entry.retryBudget.Withdraw()
}

const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the expected wait for a slot, and at least minRetryAfter.
func (entry *Entry) retryAfter(service string) time.Duration {
	return max(minRetryAfter, entry.routes.ExpectedWait(service))
}

// shedProblem returns the problem for a request that found no backend server.
func shedProblem(err error) *api.Problem {
	var shedErr *route.ShedError
	if errors.As(err, &shedErr) {
		return notRunProblem(shedErr.Error(), shedErr.RetryAfter())
	}
	return notRunProblem(err.Error(), defaultRetryAfter)
}

// recordTry updates the routing table and the metrics with the result of a try, and
// logs it.
func (entry *Entry) recordTry(ctx context.Context, call *serviceCall, pick *route.PickResult, result tryResult) {
	now := entry.now()
	outcome := route.Answered
	switch {
	case result.serverFull || result.leaving:
		outcome = route.Refused
	case result.outcome != tryAnswered:
		outcome = route.Failed
	}
	entry.routes.Done(pick, outcome, result.load, now.Sub(call.startedAt), now)
	if result.outcome == tryTruncated {
		entry.options.Events.Log(ctx, event.AnswerCut, slog.String("request", call.requestID), slog.String("worker", pick.Worker()), slog.String("error", result.detail))
		return
	}
	if result.outcome != tryAnswered {
		return
	}
	entry.metrics.recordAnswer(ctx, call.service, now.Sub(call.startedAt), call.settings.TargetP99())
	if !entry.options.Events.Enabled(ctx, event.RequestRouted) {
		return
	}
	entry.options.Events.Log(ctx, event.RequestRouted,
		slog.String("request", call.requestID),
		slog.String("service", call.service),
		slog.String("worker", pick.Worker()),
		slog.Int("status", result.status),
		slog.Float64("fullness", pick.Utilization()),
		slog.Int("considered", pick.ServerCount()),
		slog.Int("rejected_full", pick.FullCount()),
		slog.Int("rejected_unready", pick.UnreadyCount()),
		slog.Int("rejected_failing", pick.EjectedCount()),
		slog.Duration("took", now.Sub(call.startedAt)))
}

// recordProblem logs and counts a request that failed with a problem. call is nil
// if the service is unknown.
func (entry *Entry) recordProblem(ctx context.Context, call *serviceCall, problem *api.Problem) {
	service, id := "", ""
	if call != nil {
		service, id = call.service, call.requestID
	}
	entry.metrics.countProblem(ctx, service, problem.Type)
	code := event.RequestNotRun
	if problem.Outcome == api.OutcomeUnknown {
		code = event.RequestUnknown
	}
	entry.options.Events.Log(ctx, code, slog.String("request", id), slog.String("service", service),
		slog.String("type", problem.Type), slog.String("reason", problem.Detail), slog.String("retry_after", problem.RetryAfter))
}
