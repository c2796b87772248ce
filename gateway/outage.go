package gateway

import (
	"sync"
	"time"
)

const (
	// breakerOpenDelay is for how long nothing has been taken, here or by way of a peer,
	// until the store is known to be away: an append that was lost is sent again
	// after 0.9 s, and single answers are lost on ordinary days.
	breakerOpenDelay = time.Second
	// breakerProbeInterval is how often a request is let through all the same, to find out
	// whether the store is back.
	breakerProbeInterval = 150 * time.Millisecond
	// breakerFailureMaxAge is how old the last failure may be: an append that is not answered,
	// here and by a peer, fails after 1.5 s.
	breakerFailureMaxAge = 2 * time.Second
)

// circuitBreaker follows whether the store takes records, from here or by way of a peer. It may
// be used by many goroutines.
type circuitBreaker struct {
	mu sync.Mutex
	// failingSince is when an append failed first after the last one that did not, zero if
	// none has.
	failingSince  time.Time
	lastFailureAt time.Time
	lastProbeAt   time.Time
}

// recordFailure notes that the store has not taken a record.
func (seen *circuitBreaker) recordFailure(now time.Time) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if seen.failingSince.IsZero() || now.Sub(seen.lastFailureAt) > breakerFailureMaxAge {
		seen.failingSince, seen.lastProbeAt = now, now
	}
	seen.lastFailureAt = now
}

// recordSuccess notes that the store has taken a record.
func (seen *circuitBreaker) recordSuccess() {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.failingSince = time.Time{}
}

// shouldReject reports whether the store is away for certain, so that a record need not be
// tried. Now and then it reports false for one caller, which finds out.
func (seen *circuitBreaker) shouldReject(now time.Time) bool {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if seen.failingSince.IsZero() || now.Sub(seen.failingSince) < breakerOpenDelay || now.Sub(seen.lastFailureAt) > breakerFailureMaxAge {
		return false
	}
	if now.Sub(seen.lastProbeAt) >= breakerProbeInterval {
		seen.lastProbeAt = now
		return false
	}
	return true
}
