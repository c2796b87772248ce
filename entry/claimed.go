package entry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/claim"
	"ambertiller.example/ambertiller/state"
)

// acquireClaim claims a request that must not be repeated. The problem says why
// it must not be run by this entry.
func (entry *Entry) acquireClaim(ctx context.Context, made *serviceCall) (*claim.Claim, *api.Problem) {
	held, err := entry.claims.Acquire(ctx, made.idempotencyKey, made.service, entry.now())
	var taken *claim.TakenError
	switch {
	case err == nil:
		return held, nil
	case errors.As(err, &taken):
		return nil, claimedProblem(taken)
	}
	return nil, notRunProblem("the request must not be repeated and "+err.Error(), defaultRetryAfter)
}

// claimedProblem says what became of the request that holds the key.
func claimedProblem(taken *claim.TakenError) *api.Problem {
	made := newProblem(http.StatusConflict, api.TypeAlreadyClaimed, "A request with this key was claimed before", "")
	made.Outcome = api.OutcomeUnknown
	switch taken.Phase() {
	case state.ClaimFinished:
		made.Detail = fmt.Sprintf("it has run and its answer had status %d; the answer itself is not kept", taken.Status())
	case state.ClaimUnknown:
		made.Detail = "it may have run; ask the backend server before sending it under another key"
	default:
		made.Detail = "it is being run, or the entry that ran it has gone; it will not be run again under this key"
		made.RetryAfter = defaultRetryAfter.String()
	}
	return made
}

func (entry *Entry) releaseClaim(ctx context.Context, held *claim.Claim) {
	if held != nil {
		entry.claims.Release(ctx, held, entry.now())
	}
}

func (entry *Entry) finishClaim(held *claim.Claim, status int, maybe bool) {
	if held != nil {
		entry.claims.Finish(held, status, maybe, entry.now())
	}
}

// RecordClaims makes one round of recording the ends of claims.
func (entry *Entry) RecordClaims(ctx context.Context) { entry.claims.RecordPending(ctx, entry.now()) }
