package interference

import (
	"math"
	"time"
)

const (
	// priorWeight is what a pair that was never seen together is given, and
	// weightDeviation by how much it may be off. Of the pairs that were measured,
	// four in five take less than 0.1 of headroom a core, the others 0.3 to 0.8.
	priorWeight     = 0.12
	weightDeviation = 0.25
	weightVariance  = weightDeviation * weightDeviation
	// weightDrift is the variance that a weight gains each second: disturbance
	// shifts while tasks run.
	weightDrift = 0.0005
	// mostWeight bounds what one outlier can teach.
	mostWeight = 2.0
	// mostReadings bounds what a weight is said to rest on, so that one that
	// changes is learned anew within as many readings.
	mostReadings = 60.0
	// sharedShare is the share of what others rest on that is taken in each time
	// they are heard of, about once in 1.5 s.
	sharedShare = 0.1

	// firstLevel and levelVariance are what is expected of a task that was not
	// read before: measured levels are 1.5 to 3.4.
	firstLevel    = 2.3
	levelVariance = 0.5
	// leastLevel and mostLevel bound a level: a task that misses its target by
	// itself, and one without any load.
	leastLevel = 0.5
	mostLevel  = 5.0
	// levelDrift and slopeDrift are the variances that a level and its slope gain
	// each second, and slopeKept is what is left of a slope after one: a load that
	// swings by half within 10 s changes the slope by 0.35 a second at most.
	levelDrift = 0.01
	slopeDrift = 0.06
	slopeKept  = 0.85
	// lowRise is how fast the lowest level seen is forgotten, a second.
	lowRise = 0.06

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

// evidence is what this worker's own readings have taught of a pair.
type evidence struct {
	sum, count float64
}

// weight returns the weight that the evidence speaks for.
func (own *evidence) weight() float64 {
	if own.count == 0 {
		return priorWeight
	}
	return clampWeight(own.sum / own.count)
}

// add takes in that readings moved a weight and lowered its variance.
func (own *evidence) add(before, after, varianceBefore, varianceAfter float64) {
	count := weightVariance * (1/varianceAfter - 1/varianceBefore)
	if count <= 0 {
		return
	}
	spokenFor := before + (after-before)*weightVariance/(varianceAfter*count)
	own.sum += count * min(max(spokenFor, -mostWeight), mostWeight)
	own.count += count
	if own.count > mostReadings {
		own.sum *= mostReadings / own.count
		own.count = mostReadings
	}
}

func clampWeight(weight float64) float64 { return min(max(weight, 0), mostWeight) }

// imageState is what is known of the tasks of one serving image.
type imageState struct {
	filter filter
	// own holds the evidence for each filling image.
	own map[string]*evidence
	at  time.Time
}

func weightOf(fill string) part { return part{partWeight, fill} }
func levelOf(task string) part  { return part{partLevel, task} }
func slopeOf(task string) part  { return part{partSlope, task} }

// noteFill begins to estimate the weight of a filling image.
func (state *imageState) noteFill(fill string) {
	if state.own[fill] == nil {
		state.own[fill] = &evidence{}
		state.filter.add(weightOf(fill), priorWeight, weightVariance)
	}
}

// move carries the estimates on to now.
func (state *imageState) move(now time.Time) {
	passed := now.Sub(state.at).Seconds()
	if passed <= 0 {
		return
	}
	state.at = now
	for _, known := range state.filter.parts {
		switch known.kind {
		case partLevel:
			state.filter.couple(known, slopeOf(known.name), passed)
			state.filter.blur(known, levelDrift*passed)
		case partSlope:
			state.filter.shrink(known, math.Pow(slopeKept, passed))
			state.filter.blur(known, slopeDrift*passed)
		case partWeight:
			state.filter.blur(known, weightDrift*passed)
		}
	}
	state.bound()
}

// bound keeps estimates within what can be.
func (state *imageState) bound() {
	for position, known := range state.filter.parts {
		value := &state.filter.mean[position]
		switch known.kind {
		case partLevel:
			*value = min(max(*value, leastLevel), mostLevel)
		case partWeight:
			*value = min(max(*value, -noiseWeight), mostWeight)
		}
	}
}

// observe takes in a reading of a sum and keeps what it taught of weights.
func (state *imageState) observe(sum []term, surprise, noise float64) {
	type estimate struct{ mean, variance float64 }
	before := map[string]estimate{}
	for fill := range state.own {
		mean, variance := state.filter.value(weightOf(fill))
		before[fill] = estimate{mean, variance}
	}
	state.filter.observe(sum, surprise, noise)
	for fill, own := range state.own {
		mean, variance := state.filter.value(weightOf(fill))
		own.add(before[fill].mean, mean, before[fill].variance, variance)
	}
	state.bound()
}

// image returns what is known of a serving image.
func (model *Model) image(image string) *imageState {
	state, known := model.images[image]
	if !known {
		state = &imageState{own: map[string]*evidence{}}
		model.images[image] = state
	}
	return state
}

// weight returns the headroom that a core of a filling image takes.
func (model *Model) weight(serving, fill string) float64 {
	state, known := model.images[serving]
	if !known || state.own[fill] == nil {
		return priorWeight
	}
	mean, _ := state.filter.value(weightOf(fill))
	return clampWeight(mean)
}

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
		state = model.newTask(serving, now)
	} else if now.Sub(state.readAt) < leastGap {
		return
	}
	state.readAt = now
	state.image.move(now)
	sum := []term{{levelOf(serving.Task), 1}}
	for image, cores := range used {
		state.image.noteFill(image)
		sum = append(sum, term{weightOf(image), -cores})
	}
	headroom := serving.headroom()
	rising := headroom > state.last
	state.last = headroom
	noise := readingVariance(serving, changed)
	expected := state.image.filter.expect(sum)
	if headroom < overflow {
		if expected < overflow {
			return
		}
		headroom = overflown
		noise += overflowDeviation * overflowDeviation
	}
	surprise := headroom - expected
	// A queue takes a while to build up and to drain, and a reading looks back
	// over half a second: a headroom that already rises accuses what has gone by,
	// one that still falls excuses nothing.
	if surprise < 0 && rising {
		return
	}
	state.image.observe(sum, surprise, noise)
	state.noteLow(now)
}

// newTask begins to estimate the level of a serving task.
func (model *Model) newTask(serving Serving, now time.Time) *servingState {
	image := model.image(serving.Image)
	image.filter.add(levelOf(serving.Task), firstLevel, levelVariance)
	image.filter.add(slopeOf(serving.Task), 0, slopeDrift)
	state := &servingState{image: image, task: serving.Task, low: firstLevel, lowAt: now, last: serving.headroom()}
	model.tasks[serving.Task] = state
	return state
}

// readingVariance returns the square of by how much a reading may be off.
func readingVariance(serving Serving, changed bool) float64 {
	rounding := roundingDeviation * serving.headroom() / serving.Tail
	variance := readingDeviation*readingDeviation + rounding*rounding
	if changed {
		variance += changedDeviation * changedDeviation
	}
	return variance
}

// servingState is what is known of one serving task.
type servingState struct {
	image  *imageState
	task   string
	readAt time.Time
	// last is the headroom last read.
	last float64
	// low is the lowest level seen lately.
	low   float64
	lowAt time.Time

	overSince time.Time // when its tail went over the target, zero while below
	held      bool      // its disturbers are held back until the tail is below
	stopped   bool      // what may disturb it hardly works until then
	emptied   bool      // nothing that fills works until then
}

// level returns the headroom that the task has by itself, and its change a second.
func (state *servingState) level() (level, slope float64) {
	level, _ = state.image.filter.value(levelOf(state.task))
	slope, _ = state.image.filter.value(slopeOf(state.task))
	return level, slope
}

// noteLow keeps the lowest level lately.
func (state *servingState) noteLow(now time.Time) {
	level, _ := state.level()
	state.low = min(state.low+lowRise*now.Sub(state.lowAt).Seconds(), level)
	state.lowAt = now
}
