package interference_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

const (
	// lightFillCount is the number of fill tasks in TestMissEndsWithinLimit, and lightUtilization how much
	// each core adds to the utilization of the queue, which is too little for the model to suspect any of the
	// tasks.
	lightFillCount   = 12
	lightUtilization = 0.012
	// maxMissTime is how long the target may be missed without interruption: the limit of 4 s that is passed
	// to the model, less the time that an order to the worker takes.
	maxMissTime = 3700 * time.Millisecond
)

// TestMissEndsWithinLimit checks that a miss ends in time if it is caused by many fill tasks, each of which
// takes too little headroom to be suspected. They must be throttled early enough for the queue to drain. It
// guards against slight misses going on for four seconds: the tail latency hardly exceeds the target then, so
// the recovery time that is calculated from their ratio is almost 0.
func TestMissEndsWithinLimit(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		model := interference.New(4 * time.Second)
		queue := &queue{image: "counter"}
		var fills []interference.FillTask
		paces := map[string]float64{}
		for index := range lightFillCount {
			task := fmt.Sprint(index)
			fills = append(fills, interference.FillTask{Task: task, Image: task, Cores: fillCores})
			paces[task] = 1
		}
		missed, longest := time.Duration(0), time.Duration(0)
		for ticks := 1; ticks <= 600; ticks++ {
			demanded := 0.5 + 0.02*random.Float64()
			for _, fill := range fills {
				demanded += lightUtilization * fill.Cores * paces[fill.Task]
			}
			queue.advance(demanded)
			missed += tick
			if queue.tailsMs[len(queue.tailsMs)-1] <= targetTailMs {
				missed = 0
			}
			longest = max(longest, missed)
			if ticks%readingTicks > 0 {
				continue
			}
			for index := range fills {
				fills[index].UsedCores = fillCores * paces[fills[index].Task]
			}
			servings := []interference.ServingTask{{Task: "s", Image: "counter", TailMs: queue.drawReading(random), TargetMs: targetTailMs}}
			model.Observe(servings, fills, startTime.Add(time.Duration(ticks)*tick))
			for task, pace := range model.Paces(servings, fills) {
				paces[task] = min(pace, paces[task]+maxPaceRaise)
			}
		}
		if longest > maxMissTime {
			t.Errorf("seed %d: target missed for %v without interruption", seed, longest)
		}
	}
}
