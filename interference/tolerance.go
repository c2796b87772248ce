package interference

import (
	"math"
	"time"
)

// placementHorizon is how far ahead a level that falls is followed: a task that is placed now
// runs for about two seconds. From 2 to 3 s make no difference that 48 days show; at 2 s
// and at 3 s serving tasks of the package's own test miss their targets more often.
const placementHorizon = 2500 * time.Millisecond

// Tolerance returns how many more cores of an image the serving tasks bear, as Bearing
// tells it.
func (model *Model) Tolerance(servings []ServingTask, fills []FillTask, image string) float64 {
	return model.SpareHeadroom(servings, fills).Tolerance(image)
}

// SpareHeadroom is what each of some serving tasks has to spare, for questions about many
// images.
type SpareHeadroom struct {
	model    *Model
	servings []ServingTask
	spare    []float64 // headroom to spare, by serving task
}

// SpareHeadroom works out what serving tasks have to spare beside filling tasks at full pace, at
// the lowest level that they are expected to have within placementHorizon.
//
// Performance: a worker tells the tolerances of all images that it knows each time its
// room changes.
func (model *Model) SpareHeadroom(servings []ServingTask, fills []FillTask) SpareHeadroom {
	borne := SpareHeadroom{model: model}
	for _, serving := range servings {
		if serving.TargetMs <= 0 {
			continue
		}
		borne.servings = append(borne.servings, serving)
		borne.spare = append(borne.spare, model.spareHeadroomOf(serving, fills))
	}
	return borne
}

// Tolerance returns how many more cores of an image the serving tasks bear. Below zero it
// tells how much a core would take from a task that bears none, so that the least harmful
// of several workers can be told.
func (borne SpareHeadroom) Tolerance(image string) float64 {
	least := math.Inf(1)
	for index, serving := range borne.servings {
		weight := borne.model.significantWeight(serving.Image, image)
		if borne.model.isThrottledAfterMiss(serving, image) {
			least = min(least, -max(weight, noiseWeight))
			continue
		}
		if weight == 0 {
			continue
		}
		if left := borne.spare[index]; left <= 0 {
			least = min(least, -weight)
		} else {
			least = min(least, left/weight)
		}
	}
	return least
}

// spareHeadroomOf returns the headroom that a serving task has to spare in the time ahead,
// beside filling tasks at full pace.
func (model *Model) spareHeadroomOf(serving ServingTask, fills []FillTask) float64 {
	left := model.forecastLevel(serving) - headroomAtTarget - headroomReserve
	for _, fill := range fills {
		left -= model.weight(serving.Image, fill.Image) * fill.Cores
	}
	return left
}

// forecastLevel returns the lowest level that a serving task is expected to have while a task
// that is placed now runs. A load swings by half within seconds: judged by the lowest
// level lately, no worker ever bore a task that disturbs much, and a tenth less of the
// batch work was in time (on 48 days, 0.75 instead of 0.83).
func (model *Model) forecastLevel(serving ServingTask) float64 {
	state, known := model.servingTasks[serving.Task]
	if !known {
		return priorLevel
	}
	level, slope := state.level()
	return level + min(slope, 0)*placementHorizon.Seconds()
}
