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
	// mostTries bounds how often one request is sent.
	mostTries = 3
	// mostRequeued bounds how often a request that found its server full goes
	// back to wait. Such a refusal costs a message and no work.
	mostRequeued = 4
	// sendChunkBytes is how much of a streamed body goes into one message.
	sendChunkBytes = 32 << 10
)

// fate says what is known of one try.
type fate int

const (
	fateAnswered fate = iota // the whole answer was passed on
	fateCut                  // part of an answer was passed on
	fateNotRun               // proved not to have run
	fateUnknown              // it may have run
)

// try is the end of one try.
type try struct {
	fate   fate
	status int
	load   *wire.Load
	// full says that the guard had no free slot, leaving that it takes no more
	// work; neither is a fault.
	full    bool
	leaving bool
	detail  string
}

// runCall sends a request until it is answered or given up. held is the claim
// on a request that must not be repeated.
func (entry *Entry) runCall(ctx context.Context, writer http.ResponseWriter, made *call, held *claim.Held) *api.Problem {
	entry.retries.Deposit()
	var tried []string
	// maybe is set once a backend server may have run the request. Whatever
	// comes after, it can't be called not run any more.
	maybe := false
	requeued := 0
	for {
		picked, err := entry.table.PickOrWait(ctx, made.service, tried, route.WaitOptions{
			MaxQueued: made.settings.Queue(),
			Deadline:  made.deadline,
			Now:       entry.now,
			After:     entry.options.Clock.After,
			Requeued:  requeued > 0,
		})
		if err != nil {
			return entry.giveUp(ctx, held, maybe, shedProblem(err))
		}
		ended := entry.send(ctx, writer, made, picked)
		entry.noteTry(ctx, made, picked, ended)
		switch ended.fate {
		case fateAnswered:
			entry.finishClaim(held, ended.status, false)
			return nil
		case fateCut:
			entry.finishClaim(held, ended.status, true)
			// Breaking the connection off is the only way to tell a caller who
			// has part of the answer that it is not whole.
			panic(http.ErrAbortHandler)
		}
		if ended.full && requeued < mostRequeued {
			// The guard knows better than this entry that it is full. The load
			// that came with its refusal is noted; the request waits its turn.
			requeued++
			continue
		}
		maybe = maybe || ended.fate == fateUnknown
		tried = append(tried, picked.Worker())
		if entry.mayRetry(made, ended, len(tried)) {
			entry.options.Events.Log(ctx, event.RequestRetried, slog.String("request", made.id),
				slog.String("worker", picked.Worker()), slog.String("reason", ended.detail))
			continue
		}
		return entry.giveUp(ctx, held, maybe, notRun(ended.detail, entry.retryAfter(made.service)))
	}
}

// giveUp ends the claim and returns the final answer of a request that got
// none: the problem given, unless the request may have run.
func (entry *Entry) giveUp(ctx context.Context, held *claim.Held, maybe bool, sent *api.Problem) *api.Problem {
	if !maybe {
		entry.releaseClaim(ctx, held)
		return sent
	}
	entry.finishClaim(held, 0, true)
	return unknown(unknownStatus(ctx), sent.Detail)
}

func unknownStatus(ctx context.Context) int {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// mayRetry decides whether a request that got no answer is sent again: only
// when it has proved not to have run or may be repeated, its body is still
// here, there is time, and the budget of retries has one left.
func (entry *Entry) mayRetry(made *call, ended try, tries int) bool {
	if tries >= mostTries || made.rest != nil || !entry.now().Before(made.deadline) {
		return false
	}
	if ended.fate != fateNotRun && !made.repeatable {
		return false
	}
	return entry.retries.Withdraw()
}

const leastComeBack = 100 * time.Millisecond

// retryAfter is when a slot can be expected to be free.
func (entry *Entry) retryAfter(service string) time.Duration {
	return max(leastComeBack, entry.table.ExpectedWait(service))
}

func shedProblem(err error) *api.Problem {
	var shed *route.ShedError
	if errors.As(err, &shed) {
		return notRun(shed.Error(), shed.RetryAfter())
	}
	return notRun(err.Error(), retryLog)
}

// noteTry tells the routing table, the metrics and the log how a try ended.
func (entry *Entry) noteTry(ctx context.Context, made *call, picked *route.PickResult, ended try) {
	now := entry.now()
	outcome := route.Answered
	switch {
	case ended.full || ended.leaving:
		outcome = route.Refused
	case ended.fate != fateAnswered:
		outcome = route.Failed
	}
	entry.table.Done(picked, outcome, ended.load, now.Sub(made.began), now)
	if ended.fate == fateCut {
		entry.options.Events.Log(ctx, event.AnswerCut, slog.String("request", made.id), slog.String("worker", picked.Worker()), slog.String("error", ended.detail))
		return
	}
	if ended.fate != fateAnswered {
		return
	}
	entry.metrics.answered(ctx, made.service, now.Sub(made.began), made.settings.TargetP99())
	if !entry.options.Events.Enabled(ctx, event.RequestRouted) {
		return
	}
	entry.options.Events.Log(ctx, event.RequestRouted,
		slog.String("request", made.id),
		slog.String("service", made.service),
		slog.String("worker", picked.Worker()),
		slog.Int("status", ended.status),
		slog.Float64("fullness", picked.Utilisation()),
		slog.Int("considered", picked.ServerCount()),
		slog.Int("rejected_full", picked.FullCount()),
		slog.Int("rejected_unready", picked.UnreadyCount()),
		slog.Int("rejected_failing", picked.EjectedCount()),
		slog.Duration("took", now.Sub(made.began)))
}

// gaveUp logs and counts a request that ended in a problem.
func (entry *Entry) gaveUp(ctx context.Context, made *call, sent *api.Problem) {
	service, id := "", ""
	if made != nil {
		service, id = made.service, made.id
	}
	entry.metrics.gaveUp(ctx, service, sent.Type)
	code := event.RequestNotRun
	if sent.Outcome == api.OutcomeUnknown {
		code = event.RequestUnknown
	}
	entry.options.Events.Log(ctx, code, slog.String("request", id), slog.String("service", service),
		slog.String("type", sent.Type), slog.String("reason", sent.Detail), slog.String("retry_after", sent.RetryAfter))
}
