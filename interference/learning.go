package interference

import (
	"maps"
	"slices"
	"time"
)

const (
	// readingDeviation is the standard deviation of a headroom that was read, without any known cause.
	// fillChangeDeviation is added if fill tasks have started or ended within the time that the reading
	// covers.
	readingDeviation    = 0.15
	fillChangeDeviation = 0.3
	// roundingDeviation is the standard deviation, in milliseconds, that results from rounding tail latencies
	// to whole milliseconds.
	roundingDeviation = 0.29
	// minReadingInterval is the least time between two readings. Each reading covers half a second, so
	// readings that follow more closely would contain mostly the same requests.
	minReadingInterval = 300 * time.Millisecond
	// saturationThreshold is the headroom below which a reading shows only that the serving task is
	// saturated, but not by how much. Such a reading counts as saturatedHeadroom with the standard deviation
	// saturatedDeviation.
	saturationThreshold = 0.25
	saturatedHeadroom   = -0.3
	saturatedDeviation  = 0.7
)

// Observe updates the model with a reading of all tasks on the worker.
func (model *Model) Observe(servings []ServingTask, fills []FillTask, now time.Time) {
	present := map[string]bool{}
	used := usedCoresByImage(fills)
	changed := model.updatePresentFills(fills)
	for _, serving := range servings {
		present[serving.Task] = true
		if serving.hasReading() {
			model.observeTask(serving, used, changed, now)
			model.servingTasks[serving.Task].updateMiss(serving, model.maxMiss, now)
		}
	}
	model.forgetEndedTasks(present)
	model.forgetStalePairs(now)
}

// forgetEndedTasks removes the levels of serving tasks that are no longer present. The weights that were
// learned from them remain.
func (model *Model) forgetEndedTasks(present map[string]bool) {
	for task, state := range model.servingTasks {
		if !present[task] {
			delete(model.servingTasks, task)
			state.image.filter.remove(levelOf(task))
			state.image.filter.remove(slopeOf(task))
		}
	}
}

// updatePresentFills replaces the set of fill tasks and reports whether any have started or ended since the
// reading before.
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

// usedCoresByImage returns how many cores the fill tasks of each image use in total.
func usedCoresByImage(fills []FillTask) map[string]float64 {
	used := map[string]float64{}
	for _, fill := range fills {
		used[fill.Image] += fill.UsedCores
	}
	return used
}

// observeTask updates the filter with the reading of one serving task. The cores used by fill tasks are given
// by fill image, and changed is set if fill tasks have started or ended since the reading before.
func (model *Model) observeTask(serving ServingTask, used map[string]float64, changed bool, now time.Time) {
	state, found := model.servingTasks[serving.Task]
	if !found {
		state = model.addServingTask(serving)
	} else if now.Sub(state.readAt) < minReadingInterval {
		return
	}
	state.readAt = now
	state.image.advance(now)
	terms := state.headroomTerms(used, now)
	headroom := serving.headroom()
	rising := headroom > state.lastHeadroom
	state.lastHeadroom = headroom
	expected := state.image.filter.predict(terms)
	if serving.isSaturated() {
		if expected < saturationThreshold {
			return
		}
		headroom = saturatedHeadroom
	}
	innovation := headroom - expected
	// A queue takes a while to build up and to drain, and a reading covers half a second. If the headroom is
	// below the expected value but rising again, the cause is already over and must not be attributed to the
	// fill tasks that run now. If it is below the expected value and still falling, the reading counts.
	if innovation < 0 && rising {
		return
	}
	state.image.update(terms, innovation, readingVariance(serving, changed))
}

// addServingTask adds the level and the slope of a serving task to the filter of its image.
func (model *Model) addServingTask(serving ServingTask) *servingState {
	image := model.imageStateOf(serving.Image)
	image.filter.add(levelOf(serving.Task), gaussian{priorLevel, priorLevelVariance})
	image.filter.add(slopeOf(serving.Task), gaussian{0, slopeDrift})
	state := &servingState{image: image, task: serving.Task, lastHeadroom: serving.headroom()}
	model.servingTasks[serving.Task] = state
	return state
}

// headroomTerms returns the headroom of the task as a linear combination of its level and of the weights of
// the fill images, given how many cores the tasks of each fill image use.
func (state *servingState) headroomTerms(used map[string]float64, now time.Time) []term {
	terms := []term{{levelOf(state.task), 1}}
	// The order is fixed so that the same readings always lead to the same estimates.
	for _, image := range slices.Sorted(maps.Keys(used)) {
		state.image.trackFill(image, now)
		terms = append(terms, term{weightOf(image), -used[image]})
	}
	return terms
}

// isSaturated reports whether the tail latency is so long that it shows only that the task is saturated.
func (serving ServingTask) isSaturated() bool { return serving.headroom() < saturationThreshold }

// readingVariance returns the variance of the measurement error of a headroom.
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
