package overload

import "time"

// The reasons of decisions.
const (
	ReasonMayBeStored = "the job is or may be in the store"
	ReasonInTime      = "the job ends while it is of use"
	ReasonTooLate     = "the job would end too late to be of use, after the backlog and the jobs refused before it"
)

// Decision is the decision about one job. The zero value means that no decision was made.
type Decision struct {
	decided, admitted, hasReturned bool
	retryAfter                     time.Duration
	reason                         string
	caller                         Return
}

// IsDecided reports whether a decision was made.
func (decision Decision) IsDecided() bool { return decision.decided }

// IsAdmitted reports whether the job is admitted.
func (decision Decision) IsAdmitted() bool { return decision.admitted }

// RetryAfter returns when the caller of a refused job may come back.
func (decision Decision) RetryAfter() time.Duration { return decision.retryAfter }

// Reason returns why the job is admitted or refused.
func (decision Decision) Reason() string { return decision.reason }

// Return returns how the caller came back. It reports false if the caller had not been refused before.
func (decision Decision) Return() (Return, bool) { return decision.caller, decision.hasReturned }

// Return is how the caller of a refused job came back.
type Return struct {
	waited, retryAfter, late time.Duration
	refusals                 int
}

func newReturn(entry *tableEntry, now time.Time) Return {
	return Return{
		waited: now.Sub(entry.firstCallAt), retryAfter: entry.retryAfter, late: now.Sub(entry.retryAt),
		refusals: entry.refusals,
	}
}

// Waited returns the time since the caller's first call.
func (caller Return) Waited() time.Duration { return caller.waited }

// RetryAfter returns the time after which the caller was last told to come back.
func (caller Return) RetryAfter() time.Duration { return caller.retryAfter }

// Late returns how long after the time it was told the caller came back. It is negative if it came early.
func (caller Return) Late() time.Duration { return caller.late }

// Refusals returns how often the caller had been refused.
func (caller Return) Refusals() int { return caller.refusals }
