package interference

import (
	"math"
	"time"
)

// placementHorizon is how far ahead a falling level is extrapolated to decide about a new fill task, which
// runs for about two seconds. With a horizon of 2 s or of 3 s, serving tasks miss their targets more often in
// TestSimulatedWorkerKeepsTargets.
const placementHorizon = 2500 * time.Millisecond

// Tolerance returns how many more cores of a fill image the serving tasks tolerate; see
// SpareHeadroom.Tolerance.
func (model *Model) Tolerance(servings []ServingTask, fills []FillTask, image string) float64 {
	return model.SpareHeadroom(servings, fills).Tolerance(image)
}

// SpareHeadroom is the headroom that serving tasks have to spare. Its method Tolerance can be called for any
// number of images.
type SpareHeadroom struct {
	model    *Model
	servings []ServingTask
	spare    []float64 // headroom to spare, by index in servings
}

// SpareHeadroom returns the headroom that the serving tasks have to spare if the fill tasks run at full pace,
// at the lowest level expected within placementHorizon.
//
// Performance: it is separate from Tolerance because a worker reports the tolerances for all images that it
// knows whenever its free resources change.
func (model *Model) SpareHeadroom(servings []ServingTask, fills []FillTask) SpareHeadroom {
	headroom := SpareHeadroom{model: model}
	for _, serving := range servings {
		if serving.TargetMs <= 0 {
			continue
		}
		headroom.servings = append(headroom.servings, serving)
		headroom.spare = append(headroom.spare, model.spareHeadroomOf(serving, fills))
	}
	return headroom
}

// Tolerance returns how many more cores of a fill image the serving tasks tolerate, infinity if there is no
// limit. If a serving task tolerates none, the result is negative: it is then the headroom that each core
// would take from that task, so that the worker that would be affected least can be selected.
func (headroom SpareHeadroom) Tolerance(image string) float64 {
	least := math.Inf(1)
	for index, serving := range headroom.servings {
		weight := headroom.model.significantWeight(serving.Image, image)
		if headroom.model.isThrottledAfterMiss(serving, image) {
			least = min(least, -max(weight, noiseWeight))
			continue
		}
		if weight == 0 {
			continue
		}
		if spare := headroom.spare[index]; spare <= 0 {
			least = min(least, -weight)
		} else {
			least = min(least, spare/weight)
		}
	}
	return least
}

// spareHeadroomOf returns the headroom that a serving task has to spare within placementHorizon if the fill
// tasks run at full pace.
func (model *Model) spareHeadroomOf(serving ServingTask, fills []FillTask) float64 {
	spare := model.forecastLevel(serving) - headroomAtTarget - headroomReserve
	for _, fill := range fills {
		spare -= model.weight(serving.Image, fill.Image) * fill.Cores
	}
	return spare
}

// forecastLevel returns the lowest level that is expected for a serving task within placementHorizon. It
// extrapolates the current level because load changes by half within seconds. With the lowest level of the
// recent past instead, no worker would ever tolerate a fill task with a high weight, and a tenth less of the
// batch work would be in time.
func (model *Model) forecastLevel(serving ServingTask) float64 {
	state, found := model.servingTasks[serving.Task]
	if !found {
		return priorLevel
	}
	level, slope := state.level()
	return level + min(slope, 0)*placementHorizon.Seconds()
}
