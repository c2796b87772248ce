package overload

import "time"

const (
	// shortOutage is how long an outage counts as short. Most end within seconds.
	shortOutage = 2 * time.Second
	// shortOutageRetry is the time after which callers may come back during a short outage.
	shortOutageRetry = time.Second
	// maxOutageRetry bounds the time after which callers may come back, so that a caller with few tries still has one
	// left after an outage of the usual length.
	maxOutageRetry = 4 * time.Second
	// outageSpread is the time over which the returns of callers are spread.
	outageSpread = time.Second
)

// OutageRetryAfter returns when the caller of a job may come back while the store is unavailable. A longer outage is
// expected to last for as long again as it has lasted. Half of that keeps the callers' delay after its end low.
func OutageRetryAfter(id string, outage time.Duration) time.Duration {
	if outage < shortOutage {
		return shortOutageRetry
	}
	return min(outage/2, maxOutageRetry-outageSpread) + spread(id, outageSpread)
}

// IsRetryUseless reports whether a further attempt to append can't succeed before the caller's deadline: the store is
// unavailable, and less time is left than one attempt takes.
func IsRetryUseless(storeUnavailable bool, remaining, attempt time.Duration) bool {
	return storeUnavailable && remaining < attempt
}
