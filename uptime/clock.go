package uptime

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is a clock whose times also count what the machine was suspended since the clock was
// made: any two of them are apart by what has passed between, so that a lease that is reckoned
// with them is never taken for younger than it is. Their time of day is ahead of the
// machine's by that much. Its timers are those of the clock below and fire later by it.
type Clock struct {
	clockwork.Clock
	suspended func() time.Duration
	began     time.Duration
}

// NewClock returns a clock over another one and what tells for how long the machine has been
// suspended.
func NewClock(below clockwork.Clock, suspended func() time.Duration) *Clock {
	return &Clock{Clock: below, suspended: suspended, began: suspended()}
}

// Now implements clockwork.Clock.
func (clock *Clock) Now() time.Time { return clock.Clock.Now().Add(clock.suspended() - clock.began) }

// Since implements clockwork.Clock.
func (clock *Clock) Since(before time.Time) time.Duration { return clock.Now().Sub(before) }

// Until implements clockwork.Clock.
func (clock *Clock) Until(after time.Time) time.Duration { return after.Sub(clock.Now()) }
