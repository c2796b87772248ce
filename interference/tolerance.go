package interference

import "math"

// Tolerance returns how many more cores of an image the serving tasks bear, at the
// lowest level that they had lately, beside the filling tasks that are there at
// full pace. Below zero it tells how much a core would take from a task that bears
// none, so that the least harmful of several workers can be told.
func (model *Model) Tolerance(servings []Serving, fills []Fill, image string) float64 {
	least := math.Inf(1)
	for _, serving := range servings {
		if serving.Target <= 0 {
			continue
		}
		weight := model.disturbance(serving.Image, image)
		if weight == 0 {
			continue
		}
		if left := model.leftBeside(serving, fills); left <= 0 {
			least = min(least, -weight)
		} else {
			least = min(least, left/weight)
		}
	}
	return least
}

// leftBeside returns the headroom that a serving task has to spare at its lowest level
// lately, beside filling tasks at full pace.
func (model *Model) leftBeside(serving Serving, fills []Fill) float64 {
	left := model.lowest(serving) - atTarget - reserve
	for _, fill := range fills {
		left -= model.weight(serving.Image, fill.Image) * fill.Cores
	}
	return left
}

// lowest returns the lowest level that a serving task had lately.
func (model *Model) lowest(serving Serving) float64 {
	if state, known := model.tasks[serving.Task]; known {
		return state.low
	}
	return firstLevel
}
