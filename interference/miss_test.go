package interference_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

const (
	// lightFills is how many filling tasks there are in TestMissEndsInTime, and
	// lightWeight what each core of them adds to how far the queue is utilised: too
	// little for any of them to be blamed.
	lightFills  = 12
	lightWeight = 0.012
	// missMost is how long a target may be missed on end, less than the four seconds
	// that are allowed by the time that an order takes.
	missMost = 3700 * time.Millisecond
)

// TestMissEndsInTime: many fills that each disturb too little to be blamed are held
// back soon enough for the queue to drain before its target has been missed for too
// long. The case that forced it is a miss that was only slight, so that nothing seemed
// to have to sink, and went on for four seconds.
func TestMissEndsInTime(t *testing.T) {
	for seed := range uint64(20) {
		draws := rand.New(rand.NewPCG(seed, 3))
		model := interference.New(4 * time.Second)
		served := &queue{image: "counter"}
		var fills []interference.Fill
		paces := map[string]float64{}
		for index := range lightFills {
			task := fmt.Sprint(index)
			fills = append(fills, interference.Fill{Task: task, Image: task, Cores: fillCores})
			paces[task] = 1
		}
		missed, longest := time.Duration(0), time.Duration(0)
		for at := 1; at <= 600; at++ {
			wanted := 0.5 + 0.02*draws.Float64()
			for _, fill := range fills {
				wanted += lightWeight * fill.Cores * paces[fill.Task]
			}
			served.turn(wanted)
			missed += tick
			if served.tails[len(served.tails)-1] <= targetTail {
				missed = 0
			}
			longest = max(longest, missed)
			if at%readEvery > 0 {
				continue
			}
			for index := range fills {
				fills[index].Used = fillCores * paces[fills[index].Task]
			}
			servings := []interference.Serving{{Task: "s", Image: "counter", Tail: served.told(draws), Target: targetTail}}
			model.Observe(servings, fills, now.Add(time.Duration(at)*tick))
			for task, pace := range model.Paces(servings, fills) {
				paces[task] = min(pace, paces[task]+fasterStep)
			}
		}
		if longest > missMost {
			t.Errorf("seed %d: the target was missed for %v on end", seed, longest)
		}
	}
}
