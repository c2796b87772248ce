package interference

import (
	"maps"
	"slices"
	"time"
)

const (
	// readingDeviation is by how much a reading is off without any cause that is
	// known, and fillChangeDeviation what is added when filling tasks came or went
	// within the time that it looks back over.
	readingDeviation    = 0.15
	fillChangeDeviation = 0.3
	// roundingDeviation is that of a tail told in whole milliseconds, in them.
	roundingDeviation = 0.29
	// minReadingInterval keeps readings apart that look back over much the same half second.
	minReadingInterval = 300 * time.Millisecond
	// saturationThreshold is the headroom below which a reading says little more than that the
	// queue overflows: it is read as overflown, and by how much it may be off is
	// saturatedDeviation.
	saturationThreshold = 0.25
	saturatedHeadroom   = -0.3
	saturatedDeviation  = 0.7
)

// Observe learns from one reading of a worker.
func (model *Model) Observe(servings []ServingTask, fills []FillTask, now time.Time) {
	here := map[string]bool{}
	used := usedCoresByImage(fills)
	changed := model.updatePresentFills(fills)
	for _, serving := range servings {
		here[serving.Task] = true
		if serving.hasReading() {
			model.observeTask(serving, used, changed, now)
			model.servingTasks[serving.Task].updateMiss(serving, model.maxMiss, now)
		}
	}
	model.forgetEndedTasks(here)
	model.forgetStalePairs(now)
}

// forgetEndedTasks ends the estimates of serving tasks that are not here any more. What
// their image's tasks taught of weights stays.
func (model *Model) forgetEndedTasks(here map[string]bool) {
	for task, state := range model.servingTasks {
		if !here[task] {
			delete(model.servingTasks, task)
			state.image.filter.remove(levelOf(task))
			state.image.filter.remove(slopeOf(task))
		}
	}
}

// updatePresentFills takes note of which filling tasks there are and reports whether any
// came or went.
func (model *Model) updatePresentFills(fills []FillTask) bool {
	present := make(map[string]bool, len(fills))
	changed := len(fills) != len(model.presentFills)
	for _, fill := range fills {
		present[fill.Task] = true
		changed = changed || !model.presentFills[fill.Task]
	}
	model.presentFills = present
	return changed
}

// usedCoresByImage sums what the tasks of each image use.
func usedCoresByImage(fills []FillTask) map[string]float64 {
	used := map[string]float64{}
	for _, fill := range fills {
		used[fill.Image] += fill.UsedCores
	}
	return used
}

// observeTask learns from a reading of one serving task.
func (model *Model) observeTask(serving ServingTask, used map[string]float64, changed bool, now time.Time) {
	state, known := model.servingTasks[serving.Task]
	if !known {
		state = model.addServingTask(serving)
	} else if now.Sub(state.readAt) < minReadingInterval {
		return
	}
	state.readAt = now
	state.image.advance(now)
	sum := state.headroomTerms(used, now)
	headroom := serving.headroom()
	rising := headroom > state.lastHeadroom
	state.lastHeadroom = headroom
	expected := state.image.filter.predict(sum)
	if serving.isSaturated() {
		if expected < saturationThreshold {
			return
		}
		headroom = saturatedHeadroom
	}
	surprise := headroom - expected
	// A queue takes a while to build up and to drain, and a reading looks back
	// over half a second: a headroom that already rises accuses what has gone by,
	// one that still falls excuses nothing.
	if surprise < 0 && rising {
		return
	}
	state.image.update(sum, surprise, readingVariance(serving, changed))
}

// addServingTask begins to estimate the level of a serving task.
func (model *Model) addServingTask(serving ServingTask) *servingState {
	image := model.imageStateOf(serving.Image)
	image.filter.add(levelOf(serving.Task), gaussian{priorLevel, priorLevelVariance})
	image.filter.add(slopeOf(serving.Task), gaussian{0, slopeDrift})
	state := &servingState{image: image, task: serving.Task, lastHeadroom: serving.headroom()}
	model.servingTasks[serving.Task] = state
	return state
}

// headroomTerms returns the sum that a reading of the task shows beside cores that
// filling images use.
func (state *servingState) headroomTerms(used map[string]float64, now time.Time) []term {
	sum := []term{{levelOf(state.task), 1}}
	// In a fixed order, so that the same readings always teach the same.
	for _, image := range slices.Sorted(maps.Keys(used)) {
		state.image.trackFill(image, now)
		sum = append(sum, term{weightOf(image), -used[image]})
	}
	return sum
}

// isSaturated reports whether a reading says little more than that the queue does.
func (serving ServingTask) isSaturated() bool { return serving.headroom() < saturationThreshold }

// readingVariance returns the square of by how much a reading may be off.
func readingVariance(serving ServingTask, changed bool) float64 {
	rounding := roundingDeviation * serving.headroom() / serving.TailMs
	variance := readingDeviation*readingDeviation + rounding*rounding
	if changed {
		variance += fillChangeDeviation * fillChangeDeviation
	}
	if serving.isSaturated() {
		variance += saturatedDeviation * saturatedDeviation
	}
	return variance
}
