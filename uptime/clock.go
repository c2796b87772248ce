package uptime

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// SuspendAwareClock is a clock whose times include the time for which the machine has been
// suspended since the clock was created. The difference of two of its times is the time that
// has really passed, so the age of a lease computed from them is never underestimated. As
// times of day they are ahead of the machine's clock by the suspended time. The timers are
// those of the underlying clock: a suspension delays them by its length.
type SuspendAwareClock struct {
	clockwork.Clock
	suspendedFor       func() time.Duration
	initiallySuspended time.Duration
}

// NewSuspendAwareClock returns a clock on top of another one. The function suspendedFor
// returns for how long the machine has been suspended.
func NewSuspendAwareClock(clock clockwork.Clock, suspendedFor func() time.Duration) *SuspendAwareClock {
	return &SuspendAwareClock{Clock: clock, suspendedFor: suspendedFor, initiallySuspended: suspendedFor()}
}

// Now implements clockwork.Clock.
func (clock *SuspendAwareClock) Now() time.Time {
	return clock.Clock.Now().Add(clock.suspendedFor() - clock.initiallySuspended)
}

// Since implements clockwork.Clock.
func (clock *SuspendAwareClock) Since(before time.Time) time.Duration { return clock.Now().Sub(before) }

// Until implements clockwork.Clock.
func (clock *SuspendAwareClock) Until(after time.Time) time.Duration { return after.Sub(clock.Now()) }
