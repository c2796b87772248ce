package interference_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

// TestTasksWithSlackAreThrottledFirst checks that beside a serving task with little headroom to spare, a fill
// task whose job has slack runs slower than one whose job has none.
func TestTasksWithSlackAreThrottledFirst(t *testing.T) {
	pace := func(hasSlack bool) float64 {
		model := newTrainedModel(2)
		fills := []interference.FillTask{{Task: "f", Image: "loud", Cores: 2, HasSlack: hasSlack}}
		var servings []interference.ServingTask
		for reading := range 8 {
			headroom := 1.9 - trueWeights["loud"]*fills[0].UsedCores
			servings = []interference.ServingTask{{Task: "new", Image: "s", TailMs: servingTargetMs / headroom, TargetMs: servingTargetMs}}
			model.Observe(servings, fills, startTime.Add(time.Hour+time.Duration(reading)*500*time.Millisecond))
			fills[0].UsedCores = 2 * model.Paces(servings, fills)["f"]
		}
		return model.Paces(servings, fills)["f"]
	}
	if withSlack, withoutSlack := pace(true), pace(false); withSlack > withoutSlack-0.2 || withoutSlack < 0.9 {
		t.Errorf("pace %.2f with slack, %.2f without; want at least 0.9 without slack, and at least 0.2 less with slack", withSlack, withoutSlack)
	}
}
