package uptime

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestClockCountsSuspension: what passes while the machine is suspended lies between two times.
func TestClockCountsSuspension(t *testing.T) {
	below := clockwork.NewFakeClock()
	total := time.Hour
	clock := NewSuspendAwareClock(below, func() time.Duration { return total })
	before := clock.Now()
	if !before.Equal(below.Now()) {
		t.Errorf("ahead by %v from the start", before.Sub(below.Now()))
	}
	below.Advance(time.Second)
	total += 5 * time.Second
	if got := clock.Since(before); got != 6*time.Second {
		t.Errorf("since then %v", got)
	}
	if got := clock.Until(before); got != -6*time.Second {
		t.Errorf("until then %v", got)
	}
}
