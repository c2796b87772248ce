package interference_test

import (
	"math"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

// TestToleranceFollowsLoadTrend checks that the tolerance depends on the direction in which the load changes,
// and not on the highest load of the past.
func TestToleranceFollowsLoadTrend(t *testing.T) {
	const (
		period   = 14 * time.Second
		weight   = 0.4
		interval = 500 * time.Millisecond
	)
	// level returns the headroom at a time. It is between 1.6 and 3.8 and has its minimum after half a
	// period.
	level := func(at time.Duration) float64 {
		return 2.7 + 1.1*math.Cos(2*math.Pi*at.Seconds()/period.Seconds())
	}
	tests := map[string]struct {
		end                        time.Duration
		minTolerance, maxTolerance float64
	}{
		"low load":       {period, 4, 8},
		"load decreases": {period * 3 / 4, 3, 6},
		"load increases": {period * 5 / 4, 0, 3},
		"high load":      {period * 3 / 2, 0, 1.8},
		"low load again": {period * 2, 4, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			model := interference.New(4 * time.Second)
			for range 20 {
				model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: weight, Readings: 60}, startTime)
			}
			var servings []interference.ServingTask
			for at := time.Duration(0); at <= test.end; at += interval {
				servings = []interference.ServingTask{{Task: "s", Image: "s", TailMs: servingTargetMs / level(at), TargetMs: servingTargetMs}}
				model.Observe(servings, nil, startTime.Add(at))
			}
			if got := model.Tolerance(servings, nil, "loud"); got < test.minTolerance || got > test.maxTolerance {
				t.Errorf("%.1f cores are tolerated, want %.1f to %.1f", got, test.minTolerance, test.maxTolerance)
			}
		})
	}
}
