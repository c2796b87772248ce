package uptime

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestClockCountsSuspension checks that the time of a suspension counts as passed.
func TestClockCountsSuspension(t *testing.T) {
	underlying := clockwork.NewFakeClock()
	suspended := time.Hour
	clock := NewSuspendAwareClock(underlying, func() time.Duration { return suspended })
	before := clock.Now()
	if !before.Equal(underlying.Now()) {
		t.Errorf("new clock is ahead of the underlying one by %v", before.Sub(underlying.Now()))
	}
	underlying.Advance(time.Second)
	suspended += 5 * time.Second
	if got := clock.Since(before); got != 6*time.Second {
		t.Errorf("Since: got %v, want 6s", got)
	}
	if got := clock.Until(before); got != -6*time.Second {
		t.Errorf("Until: got %v, want -6s", got)
	}
}
