package interference

import (
	"maps"
	"slices"
	"time"
)

const (
	// readingDeviation is by how much a reading is off without any cause that is
	// known, and changedDeviation what is added when filling tasks came or went
	// within the time that it looks back over.
	readingDeviation = 0.15
	changedDeviation = 0.3
	// roundingDeviation is that of a tail told in whole milliseconds, in them.
	roundingDeviation = 0.29
	// leastGap keeps readings apart that look back over much the same half second.
	leastGap = 300 * time.Millisecond
	// overflow is the headroom below which a reading says little more than that the
	// queue overflows: it is read as overflown, and by how much it may be off is
	// overflowDeviation.
	overflow          = 0.25
	overflown         = -0.3
	overflowDeviation = 0.7
)

// Observe learns from one reading of a worker.
func (model *Model) Observe(servings []Serving, fills []Fill, now time.Time) {
	here := map[string]bool{}
	used := usedCores(fills)
	changed := model.noteFills(fills)
	for _, serving := range servings {
		here[serving.Task] = true
		if serving.read() {
			model.observe(serving, used, changed, now)
			model.tasks[serving.Task].noteTail(serving, model.allowed, now)
		}
	}
	model.forgetGone(here)
	model.forgetOld(now)
}

// forgetGone ends the estimates of serving tasks that are not here any more. What
// their image's tasks taught of weights stays.
func (model *Model) forgetGone(here map[string]bool) {
	for task, state := range model.tasks {
		if !here[task] {
			delete(model.tasks, task)
			state.image.filter.remove(levelOf(task))
			state.image.filter.remove(slopeOf(task))
		}
	}
}

// noteFills takes note of which filling tasks there are and reports whether any
// came or went.
func (model *Model) noteFills(fills []Fill) bool {
	present := make(map[string]bool, len(fills))
	changed := len(fills) != len(model.present)
	for _, fill := range fills {
		present[fill.Task] = true
		changed = changed || !model.present[fill.Task]
	}
	model.present = present
	return changed
}

// usedCores sums what the tasks of each image use.
func usedCores(fills []Fill) map[string]float64 {
	used := map[string]float64{}
	for _, fill := range fills {
		used[fill.Image] += fill.Used
	}
	return used
}

// observe learns from a reading of one serving task.
func (model *Model) observe(serving Serving, used map[string]float64, changed bool, now time.Time) {
	state, known := model.tasks[serving.Task]
	if !known {
		state = model.newTask(serving)
	} else if now.Sub(state.readAt) < leastGap {
		return
	}
	state.readAt = now
	state.image.move(now)
	sum := state.headroomBeside(used, now)
	headroom := serving.headroom()
	rising := headroom > state.last
	state.last = headroom
	expected := state.image.filter.expect(sum)
	if serving.overflows() {
		if expected < overflow {
			return
		}
		headroom = overflown
	}
	surprise := headroom - expected
	// A queue takes a while to build up and to drain, and a reading looks back
	// over half a second: a headroom that already rises accuses what has gone by,
	// one that still falls excuses nothing.
	if surprise < 0 && rising {
		return
	}
	state.image.observe(sum, surprise, readingVariance(serving, changed))
}

// newTask begins to estimate the level of a serving task.
func (model *Model) newTask(serving Serving) *servingState {
	image := model.image(serving.Image)
	image.filter.add(levelOf(serving.Task), value{firstLevel, levelVariance})
	image.filter.add(slopeOf(serving.Task), value{0, slopeDrift})
	state := &servingState{image: image, task: serving.Task, last: serving.headroom()}
	model.tasks[serving.Task] = state
	return state
}

// headroomBeside returns the sum that a reading of the task shows beside cores that
// filling images use.
func (state *servingState) headroomBeside(used map[string]float64, now time.Time) []term {
	sum := []term{{levelOf(state.task), 1}}
	// In a fixed order, so that the same readings always teach the same.
	for _, image := range slices.Sorted(maps.Keys(used)) {
		state.image.noteFill(image, now)
		sum = append(sum, term{weightOf(image), -used[image]})
	}
	return sum
}

// overflows reports whether a reading says little more than that the queue does.
func (serving Serving) overflows() bool { return serving.headroom() < overflow }

// readingVariance returns the square of by how much a reading may be off.
func readingVariance(serving Serving, changed bool) float64 {
	rounding := roundingDeviation * serving.headroom() / serving.Tail
	variance := readingDeviation*readingDeviation + rounding*rounding
	if changed {
		variance += changedDeviation * changedDeviation
	}
	if serving.overflows() {
		variance += overflowDeviation * overflowDeviation
	}
	return variance
}
