package uptime

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// SuspendAwareClock is a clock whose times also count what the machine was suspended since the clock was
// made: any two of them are apart by what has passed between, so that a lease that is reckoned
// with them is never taken for younger than it is. Their time of day is ahead of the
// machine's by that much. Its timers are those of the clock below and fire later by it.
type SuspendAwareClock struct {
	clockwork.Clock
	suspendedFor       func() time.Duration
	initiallySuspended time.Duration
}

// NewSuspendAwareClock returns a clock over another one and what tells for how long the machine has been
// suspended.
func NewSuspendAwareClock(below clockwork.Clock, suspended func() time.Duration) *SuspendAwareClock {
	return &SuspendAwareClock{Clock: below, suspendedFor: suspended, initiallySuspended: suspended()}
}

// Now implements clockwork.Clock.
func (clock *SuspendAwareClock) Now() time.Time {
	return clock.Clock.Now().Add(clock.suspendedFor() - clock.initiallySuspended)
}

// Since implements clockwork.Clock.
func (clock *SuspendAwareClock) Since(before time.Time) time.Duration { return clock.Now().Sub(before) }

// Until implements clockwork.Clock.
func (clock *SuspendAwareClock) Until(after time.Time) time.Duration { return after.Sub(clock.Now()) }
