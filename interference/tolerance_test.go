package interference_test

import (
	"math"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

// TestToleranceFollowsLoadTrend: what a serving task bears is judged by where its load is
// going, not by the worst that it has been.
func TestToleranceFollowsLoadTrend(t *testing.T) {
	const (
		period = 14 * time.Second
		weight = 0.4
		every  = 500 * time.Millisecond
	)
	// level is the headroom at a time, between 1.6 and 3.8, the least at half a period.
	level := func(at time.Duration) float64 {
		return 2.7 + 1.1*math.Cos(2*math.Pi*at.Seconds()/period.Seconds())
	}
	tests := map[string]struct {
		until       time.Duration
		least, most float64
	}{
		"little load":           {period, 4, 8},
		"load that falls":       {period * 3 / 4, 3, 6},
		"load that rises":       {period * 5 / 4, 0, 3},
		"much load":             {period * 3 / 2, 0, 1.8},
		"little load once more": {period * 2, 4, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			model := interference.New(4 * time.Second)
			for range 20 {
				model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: weight, Readings: 60}, startTime)
			}
			var servings []interference.ServingTask
			for at := time.Duration(0); at <= test.until; at += every {
				servings = []interference.ServingTask{{Task: "s", Image: "s", TailMs: servingTargetMs / level(at), TargetMs: servingTargetMs}}
				model.Observe(servings, nil, startTime.Add(at))
			}
			if got := model.Tolerance(servings, nil, "loud"); got < test.least || got > test.most {
				t.Errorf("%.1f cores are tolerated, want %.1f to %.1f", got, test.least, test.most)
			}
		})
	}
}
