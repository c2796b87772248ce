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

// acquireClaim claims the key of a request that must not be repeated. If this entry
// may not run the request, it returns a problem with the reason.
func (entry *Entry) acquireClaim(ctx context.Context, call *serviceCall) (*claim.Claim, *api.Problem) {
	heldClaim, err := entry.claims.Acquire(ctx, call.idempotencyKey, call.service, entry.now())
	var takenErr *claim.TakenError
	switch {
	case err == nil:
		return heldClaim, nil
	case errors.As(err, &takenErr):
		return nil, claimedProblem(takenErr)
	}
	return nil, notRunProblem("the request must not be repeated and "+err.Error(), defaultRetryAfter)
}

// claimedProblem reports the outcome of the earlier request that holds the key,
// as far as it is known.
func claimedProblem(takenErr *claim.TakenError) *api.Problem {
	problem := newProblem(http.StatusConflict, api.TypeAlreadyClaimed, "A request with this key was claimed before", "")
	problem.Outcome = api.OutcomeUnknown
	switch takenErr.Phase() {
	case state.ClaimFinished:
		problem.Detail = fmt.Sprintf("it has run and its answer had status %d; the answer itself is not kept", takenErr.Status())
	case state.ClaimUnknown:
		problem.Detail = "it may have run; ask the backend server before sending it under another key"
	default:
		problem.Detail = "it is being run, or the entry that ran it has gone; it will not be run again under this key"
		problem.RetryAfter = defaultRetryAfter.String()
	}
	return problem
}

// releaseClaim releases the claim of a request that did not run. It does nothing
// without a claim.
func (entry *Entry) releaseClaim(ctx context.Context, heldClaim *claim.Claim) {
	if heldClaim != nil {
		entry.claims.Release(ctx, heldClaim, entry.now())
	}
}

// finishClaim ends the claim of a request that ran, or that may have run. It does
// nothing without a claim.
func (entry *Entry) finishClaim(heldClaim *claim.Claim, status int, mayHaveRun bool) {
	if heldClaim != nil {
		entry.claims.Finish(heldClaim, status, mayHaveRun, entry.now())
	}
}

// RecordClaims appends the outcomes of ended claims to the log once. Run does so
// repeatedly.
func (entry *Entry) RecordClaims(ctx context.Context) { entry.claims.RecordPending(ctx, entry.now()) }
