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
	// maxTries bounds how often one request is sent.
	maxTries = 3
	// maxRequeues bounds how often a request that found its server full goes
	// back to wait. Such a refusal costs a message and no work.
	maxRequeues = 4
	// sendChunkBytes is how much of a streamed body goes into one message.
	sendChunkBytes = 32 << 10
)

// tryOutcome says what is known of one try.
type tryOutcome int

const (
	tryAnswered  tryOutcome = iota // the whole answer was passed on
	tryTruncated                   // part of an answer was passed on
	tryNotRun                      // proved not to have run
	tryUnknown                     // it may have run
)

// tryResult is the end of one try.
type tryResult struct {
	outcome tryOutcome
	status  int
	load    *wire.Load
	// serverFull says that the guard had no free slot, leaving that it takes no more
	// work; neither is a fault.
	serverFull bool
	leaving    bool
	detail     string
}

// runCall sends a request until it is answered or given up. held is the claim
// on a request that must not be repeated.
func (entry *Entry) runCall(ctx context.Context, writer http.ResponseWriter, made *serviceCall, held *claim.Claim) *api.Problem {
	entry.retryBudget.Deposit()
	var tried []string
	// maybe is set once a backend server may have run the request. Whatever
	// comes after, it can't be called not run any more.
	maybe := false
	requeued := 0
	for {
		picked, err := entry.routes.PickOrWait(ctx, made.service, tried, route.WaitOptions{
			MaxQueued: made.settings.Queue(),
			Deadline:  made.deadline,
			Now:       entry.now,
			After:     entry.options.Clock.After,
			Requeued:  requeued > 0,
		})
		if err != nil {
			return entry.failCall(ctx, held, maybe, shedProblem(err))
		}
		ended := entry.trySend(ctx, writer, made, picked)
		entry.recordTry(ctx, made, picked, ended)
		switch ended.outcome {
		case tryAnswered:
			entry.finishClaim(held, ended.status, false)
			return nil
		case tryTruncated:
			entry.finishClaim(held, ended.status, true)
			// Breaking the connection off is the only way to tell a caller who
			// has part of the answer that it is not whole.
			panic(http.ErrAbortHandler)
		}
		if ended.serverFull && requeued < maxRequeues {
			// The guard knows better than this entry that it is full. The load
			// that came with its refusal is noted; the request waits its turn.
			requeued++
			continue
		}
		maybe = maybe || ended.outcome == tryUnknown
		tried = append(tried, picked.Worker())
		if entry.canRetry(made, ended, len(tried)) {
			entry.options.Events.Log(ctx, event.RequestRetried, slog.String("request", made.requestID),
				slog.String("worker", picked.Worker()), slog.String("reason", ended.detail))
			continue
		}
		return entry.failCall(ctx, held, maybe, notRunProblem(ended.detail, entry.retryAfter(made.service)))
	}
}

// failCall ends the claim and returns the final answer of a request that got
// none: the problem given, unless the request may have run.
func (entry *Entry) failCall(ctx context.Context, held *claim.Claim, maybe bool, sent *api.Problem) *api.Problem {
	if !maybe {
		entry.releaseClaim(ctx, held)
		return sent
	}
	entry.finishClaim(held, 0, true)
	return unknownOutcomeProblem(unknownOutcomeStatus(ctx), sent.Detail)
}

func unknownOutcomeStatus(ctx context.Context) int {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// canRetry decides whether a request that got no answer is sent again: only
// when it has proved not to have run or may be repeated, its body is still
// here, there is time, and the budget of retries has one left.
func (entry *Entry) canRetry(made *serviceCall, ended tryResult, tries int) bool {
	if tries >= maxTries || made.bodyRest != nil || !entry.now().Before(made.deadline) {
		return false
	}
	if ended.outcome != tryNotRun && !made.repeatable {
		return false
	}
	return entry.retryBudget.Withdraw()
}

const minRetryAfter = 100 * time.Millisecond

// retryAfter is when a slot can be expected to be free.
func (entry *Entry) retryAfter(service string) time.Duration {
	return max(minRetryAfter, entry.routes.ExpectedWait(service))
}

func shedProblem(err error) *api.Problem {
	var shed *route.ShedError
	if errors.As(err, &shed) {
		return notRunProblem(shed.Error(), shed.RetryAfter())
	}
	return notRunProblem(err.Error(), defaultRetryAfter)
}

// recordTry tells the routing table, the metrics and the log how a try ended.
func (entry *Entry) recordTry(ctx context.Context, made *serviceCall, picked *route.PickResult, ended tryResult) {
	now := entry.now()
	outcome := route.Answered
	switch {
	case ended.serverFull || ended.leaving:
		outcome = route.Refused
	case ended.outcome != tryAnswered:
		outcome = route.Failed
	}
	entry.routes.Done(picked, outcome, ended.load, now.Sub(made.startedAt), now)
	if ended.outcome == tryTruncated {
		entry.options.Events.Log(ctx, event.AnswerCut, slog.String("request", made.requestID), slog.String("worker", picked.Worker()), slog.String("error", ended.detail))
		return
	}
	if ended.outcome != tryAnswered {
		return
	}
	entry.metrics.recordAnswer(ctx, made.service, now.Sub(made.startedAt), made.settings.TargetP99())
	if !entry.options.Events.Enabled(ctx, event.RequestRouted) {
		return
	}
	entry.options.Events.Log(ctx, event.RequestRouted,
		slog.String("request", made.requestID),
		slog.String("service", made.service),
		slog.String("worker", picked.Worker()),
		slog.Int("status", ended.status),
		slog.Float64("fullness", picked.Utilisation()),
		slog.Int("considered", picked.ServerCount()),
		slog.Int("rejected_full", picked.FullCount()),
		slog.Int("rejected_unready", picked.UnreadyCount()),
		slog.Int("rejected_failing", picked.EjectedCount()),
		slog.Duration("took", now.Sub(made.startedAt)))
}

// recordProblem logs and counts a request that ended in a problem.
func (entry *Entry) recordProblem(ctx context.Context, made *serviceCall, sent *api.Problem) {
	service, id := "", ""
	if made != nil {
		service, id = made.service, made.requestID
	}
	entry.metrics.countProblem(ctx, service, sent.Type)
	code := event.RequestNotRun
	if sent.Outcome == api.OutcomeUnknown {
		code = event.RequestUnknown
	}
	entry.options.Events.Log(ctx, code, slog.String("request", id), slog.String("service", service),
		slog.String("type", sent.Type), slog.String("reason", sent.Detail), slog.String("retry_after", sent.RetryAfter))
}
