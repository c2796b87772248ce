package overload

import "time"

// tableEntry is a job that was refused or admitted, or that may be in the store.
type tableEntry struct {
	// pool and class are nil for a job that was only reported as one that may be in the store.
	pool        *jobPool
	class       *sizeClass
	coreMs      float64
	order       int64 // by first call
	firstCallAt time.Time
	usefulUntil time.Time     // the job's end is of some use to its caller until then
	retryAfter  time.Duration // the time after which the caller was last told to come back
	retryAt     time.Time     // when retryAfter is over
	refusals    int
	// admittedAt is when the job was admitted, or when it became known that it may be in the store. It is the
	// zero time while the job is refused.
	admittedAt time.Time
	// isStored is set once the owner has read the job from the store. Then the entry is kept only until forecasts
	// include the job.
	isStored bool
}

// isRefused reports whether the job was refused and not admitted since.
func (entry *tableEntry) isRefused() bool { return entry.admittedAt.IsZero() }

// isExpired reports whether the entry has no effect any more.
func (entry *tableEntry) isExpired(now time.Time) bool {
	if entry.isStored {
		return now.Sub(entry.admittedAt) > reportDelay
	}
	if !entry.isRefused() {
		return now.Sub(entry.admittedAt) > maxAppendDelay
	}
	return now.Sub(entry.retryAt) > returnTolerance
}

// admit records that the job has been admitted.
func (entry *tableEntry) admit(now time.Time) {
	entry.admittedAt = now
	entry.class.decay(now)
	entry.class.admitted += entry.coreMs
}

// refuse records that the job has been refused, and returns when its caller may come back. That is after wait, when
// there is room by the forecast: the backlog shrinks at the same rate at which time passes, so coming back sooner
// would not help. But the caller may come back maxReturns times within its useful time, because forecasts change.
func (entry *tableEntry) refuse(request *Request, wait time.Duration, now time.Time) time.Duration {
	longest := maxWait(request.Useful)
	left := longest - now.Sub(entry.firstCallAt)
	retryAfter := min(max(wait, longest/maxReturns), left)
	if left < minRetryAfter {
		retryAfter = entry.usefulUntil.Sub(now)
	}
	retryAfter = max(retryAfter, minRetryAfter)
	retryAfter += spread(request.ID, time.Duration(float64(retryAfter)*retrySpread))
	entry.refusals++
	entry.retryAfter = retryAfter
	entry.retryAt = now.Add(retryAfter)
	return retryAfter
}
