package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestHasSlack checks that a run yields early while its job has enough slack, not once the slack is used up,
// and again once the job is late in any case.
func TestHasSlack(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		slack   time.Duration // sent with the order
		ran     time.Duration
		percent int32 // of an estimate of 2 s
		want    bool
	}{
		"just started, much slack":         {4 * time.Second, 0, 0, true},
		"progress as estimated":            {4 * time.Second, 1500 * time.Millisecond, 75, true},
		"slowed, slack used up":            {4 * time.Second, 3 * time.Second, 25, false},
		"little slack from the start":      {time.Second, 0, 0, false},
		"late":                             {-2 * time.Second, 0, 0, true},
		"may be on time by a small margin": {200 * time.Millisecond, time.Second, 25, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := &runState{
				demand:          &wire.Demand{SpareMs: test.slack.Milliseconds(), EstimateMs: 2000},
				progressPercent: test.percent, confirmedAt: now.Add(-test.ran),
			}
			if got := run.hasSlack(now); got != test.want {
				t.Errorf("hasSlack = %v with slack %s, want %v", got, run.slack(now), test.want)
			}
		})
	}
}
