package overload

import "time"

// The reasons of decisions.
const (
	ReasonSettled = "the job is or may be in the store"
	ReasonInTime  = "the job ends while it is of use"
	ReasonTooLate = "the job would end too late to be of use, after the backlog and the jobs refused before it"
)

// Decision is the decision about one job. The zero value is none.
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

// Return returns how the caller came back, and whether it has.
func (decision Decision) Return() (Return, bool) { return decision.caller, decision.hasReturned }

// Return is how the caller of a refused job came back.
type Return struct {
	waited, told, late time.Duration
	refusals           int
}

func newReturn(entry *lineEntry, now time.Time) Return {
	return Return{
		waited: now.Sub(entry.firstCallAt), told: entry.told, late: now.Sub(entry.toldAt), refusals: entry.refusals,
	}
}

// Waited returns the time since the caller was refused first.
func (caller Return) Waited() time.Duration { return caller.waited }

// Told returns after which time the caller was last told to come back.
func (caller Return) Told() time.Duration { return caller.told }

// Late returns how long after the time that it was told the caller came back. It is negative if it came early.
func (caller Return) Late() time.Duration { return caller.late }

// Refusals returns how often the caller had been refused.
func (caller Return) Refusals() int { return caller.refusals }
