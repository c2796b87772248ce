package gateway

import (
	"sync"
	"time"
)

const (
	// outageSure is for how long nothing has been taken, here or by way of a peer,
	// until the store is known to be away: an append that was lost is sent again
	// after 0.9 s, and single answers are lost on ordinary days.
	outageSure = time.Second
	// outageProbe is how often a request is let through all the same, to find out
	// whether the store is back.
	outageProbe = 150 * time.Millisecond
	// outageFresh is how old the last failure may be: an append that is not answered,
	// here and by a peer, fails after 1.5 s.
	outageFresh = 2 * time.Second
)

// outage follows whether the store takes records, from here or by way of a peer. It may
// be used by many goroutines.
type outage struct {
	mu sync.Mutex
	// since is when an append failed first after the last one that did not, zero if
	// none has.
	since    time.Time
	failedAt time.Time
	probedAt time.Time
}

// failed notes that the store has not taken a record.
func (seen *outage) failed(now time.Time) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if seen.since.IsZero() || now.Sub(seen.failedAt) > outageFresh {
		seen.since, seen.probedAt = now, now
	}
	seen.failedAt = now
}

// over notes that the store has taken a record.
func (seen *outage) over() {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.since = time.Time{}
}

// known reports whether the store is away for certain, so that a record need not be
// tried. Now and then it reports false for one caller, which finds out.
func (seen *outage) known(now time.Time) bool {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if seen.since.IsZero() || now.Sub(seen.since) < outageSure || now.Sub(seen.failedAt) > outageFresh {
		return false
	}
	if now.Sub(seen.probedAt) >= outageProbe {
		seen.probedAt = now
		return false
	}
	return true
}
