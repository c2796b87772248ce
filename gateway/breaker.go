package gateway

import (
	"sync"
	"time"
)

const (
	// breakerOpenDelay is how long all appends, direct ones and those relayed by a peer, must have failed
	// before the breaker opens. It is longer than the 0.9 s after which an unanswered append is sent again,
	// because single answers are lost in normal operation.
	breakerOpenDelay = time.Second
	// breakerProbeInterval is how often an open breaker lets one append through, to find out whether the
	// store is available again.
	breakerProbeInterval = 150 * time.Millisecond
	// breakerFailureMaxAge is how long after the last failure the breaker stays open. It is longer than the
	// 1.5 s after which an append fails that neither the store nor a peer answers.
	breakerFailureMaxAge = 2 * time.Second
)

// circuitBreaker rejects appends while the store is unavailable, both directly and by way of a peer. It may
// be used by many goroutines.
type circuitBreaker struct {
	mu sync.Mutex
	// failingSince is the time of the first failed append after the last successful one, or zero if there is
	// none.
	failingSince  time.Time
	lastFailureAt time.Time
	lastProbeAt   time.Time
}

// recordFailure records that an append failed.
func (breaker *circuitBreaker) recordFailure(now time.Time) {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	if breaker.failingSince.IsZero() || now.Sub(breaker.lastFailureAt) > breakerFailureMaxAge {
		breaker.failingSince, breaker.lastProbeAt = now, now
	}
	breaker.lastFailureAt = now
}

// recordSuccess records that an append succeeded, which closes the breaker.
func (breaker *circuitBreaker) recordSuccess() {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	breaker.failingSince = time.Time{}
}

// shouldReject reports whether an append must be rejected without being sent, because the store is
// unavailable. Once every breakerProbeInterval it reports false to one caller, whose append probes the store.
func (breaker *circuitBreaker) shouldReject(now time.Time) bool {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	if breaker.outageLocked(now) < breakerOpenDelay {
		return false
	}
	if now.Sub(breaker.lastProbeAt) >= breakerProbeInterval {
		breaker.lastProbeAt = now
		return false
	}
	return true
}

// outage returns for how long all appends have failed, or 0 if the last one has succeeded or too long ago.
func (breaker *circuitBreaker) outage(now time.Time) time.Duration {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	return breaker.outageLocked(now)
}

// outageLocked does the same; the caller holds mu.
func (breaker *circuitBreaker) outageLocked(now time.Time) time.Duration {
	if breaker.failingSince.IsZero() || now.Sub(breaker.lastFailureAt) > breakerFailureMaxAge {
		return 0
	}
	return now.Sub(breaker.failingSince)
}
