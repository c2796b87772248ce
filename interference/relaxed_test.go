package interference_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

// TestRelaxedYieldEarlier: beside a serving task that has a little to spare, a task whose
// job has time goes slower than one whose job has none.
func TestRelaxedYieldEarlier(t *testing.T) {
	pace := func(relaxed bool) float64 {
		model := learned(2)
		fills := []interference.Fill{{Task: "f", Image: "loud", Cores: 2, Relaxed: relaxed}}
		var servings []interference.Serving
		for reading := range 8 {
			headroom := 1.9 - truth["loud"]*fills[0].Used
			servings = []interference.Serving{{Task: "new", Image: "s", Tail: servingTarget / headroom, Target: servingTarget}}
			model.Observe(servings, fills, now.Add(time.Hour+time.Duration(reading)*500*time.Millisecond))
			fills[0].Used = 2 * model.Paces(servings, fills)["f"]
		}
		return model.Paces(servings, fills)["f"]
	}
	if relaxed, tight := pace(true), pace(false); relaxed > tight-0.2 || tight < 0.9 {
		t.Errorf("with time to spare at a pace of %.2f, without at %.2f", relaxed, tight)
	}
}
