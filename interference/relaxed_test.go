package interference_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

// TestTasksWithSlackAreThrottledFirst: beside a serving task that has a little to spare, a task whose
// job has time goes slower than one whose job has none.
func TestTasksWithSlackAreThrottledFirst(t *testing.T) {
	pace := func(relaxed bool) float64 {
		model := newTrainedModel(2)
		fills := []interference.FillTask{{Task: "f", Image: "loud", Cores: 2, HasSlack: relaxed}}
		var servings []interference.ServingTask
		for reading := range 8 {
			headroom := 1.9 - trueWeights["loud"]*fills[0].UsedCores
			servings = []interference.ServingTask{{Task: "new", Image: "s", TailMs: servingTargetMs / headroom, TargetMs: servingTargetMs}}
			model.Observe(servings, fills, startTime.Add(time.Hour+time.Duration(reading)*500*time.Millisecond))
			fills[0].UsedCores = 2 * model.Paces(servings, fills)["f"]
		}
		return model.Paces(servings, fills)["f"]
	}
	if relaxed, tight := pace(true), pace(false); relaxed > tight-0.2 || tight < 0.9 {
		t.Errorf("with time to spare at a pace of %.2f, without at %.2f", relaxed, tight)
	}
}
