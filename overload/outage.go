package overload

import "time"

const (
	// shortOutage is how long an outage is taken for a short one. Most end within seconds.
	shortOutage = 2 * time.Second
	// shortOutageRetry is what callers are told meanwhile.
	shortOutageRetry = time.Second
	// maxOutageRetry leaves a caller with few tries a chance after an outage of the usual length.
	maxOutageRetry = 4 * time.Second
	// outageSpread is the time over which the callers return.
	outageSpread = time.Second
)

// OutageRetryAfter returns when the caller of a job may come back while the store is away. An outage that has
// lasted for long is expected to last for as long again; half of that keeps the callers' delay after its end low.
func OutageRetryAfter(id string, outage time.Duration) time.Duration {
	if outage < shortOutage {
		return shortOutageRetry
	}
	return min(outage/2, maxOutageRetry-outageSpread) + spread(id, outageSpread)
}

// IsHopeless reports whether an append that has failed so far can't succeed before the caller's deadline: the
// store is away, and the time left is less than one attempt takes.
func IsHopeless(storeAway bool, remaining, attempt time.Duration) bool {
	return storeAway && remaining < attempt
}
