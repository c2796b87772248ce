package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestHasSlack: a run yields early while its job has time to spare, not once it has lost
// that time, and again once the job is late all the same.
func TestHasSlack(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		spare   time.Duration // told with the order
		ran     time.Duration
		percent int32 // of an estimate of 2 s
		relaxed bool
	}{
		"has just begun, time to spare":    {4 * time.Second, 0, 0, true},
		"has got on as estimated":          {4 * time.Second, 1500 * time.Millisecond, 75, true},
		"was slowed, little time is left":  {4 * time.Second, 3 * time.Second, 25, false},
		"had little time from the start":   {time.Second, 0, 0, false},
		"is late":                          {-2 * time.Second, 0, 0, true},
		"may be in time by a small margin": {200 * time.Millisecond, time.Second, 25, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := &runState{
				demand:          &wire.Demand{SpareMs: test.spare.Milliseconds(), EstimateMs: 2000},
				progressPercent: test.percent, confirmedAt: now.Add(-test.ran),
			}
			if got := run.hasSlack(now); got != test.relaxed {
				t.Errorf("relaxed: %v, spare %s", got, run.slack(now))
			}
		})
	}
}
