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
	// noiseWeight is below what the readings of pairs that don't disturb teach: no
	// fill is slowed or turned away for less.
	noiseWeight = 0.12

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
)

// imageState is what is known of the tasks of one serving image.
type imageState struct {
	filter filter
	// own holds the evidence for each filling image.
	own map[string]*evidence
	// movedAt is the time that the estimates hold for.
	movedAt time.Time
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

// noteFill begins to estimate the weight of a filling image that is new, and notes
// that it has been heard of.
func (state *imageState) noteFill(fill string, now time.Time) {
	if state.own[fill] == nil {
		state.own[fill] = &evidence{}
		state.filter.add(weightOf(fill), value{priorWeight, weightVariance})
	}
	state.own[fill].heardAt = now
}

// forgetAfter is how long a pair is remembered that is not heard of. A filter's work
// grows with the square of the images that it knows, so none is kept for ever; work
// that comes once an hour finds what was learned of it.
const forgetAfter = 2 * time.Hour

// forgetOld ends the estimates of pairs that have not been heard of for long.
func (model *Model) forgetOld(now time.Time) {
	for _, state := range model.images {
		for fill, own := range state.own {
			if now.Sub(own.heardAt) > forgetAfter {
				delete(state.own, fill)
				state.filter.remove(weightOf(fill))
			}
		}
	}
	for image, state := range model.images {
		if len(state.filter.parts) == 0 {
			delete(model.images, image)
		}
	}
}

// move carries the estimates on to now.
func (state *imageState) move(now time.Time) {
	if state.movedAt.IsZero() {
		state.movedAt = now
	}
	passed := now.Sub(state.movedAt).Seconds()
	if passed <= 0 {
		return
	}
	state.movedAt = now
	for _, known := range state.filter.parts {
		switch known.kind {
		case partLevel:
			state.filter.couple(known, slopeOf(known.name), passed)
			state.filter.blur(known, levelDrift*passed, math.Inf(1))
		case partSlope:
			state.filter.shrink(known, math.Pow(slopeKept, passed))
			state.filter.blur(known, slopeDrift*passed, math.Inf(1))
		case partWeight:
			state.filter.blur(known, weightDrift*passed, weightVariance)
		}
	}
	state.bound()
}

// bound keeps estimates within what can be; a weight may be below zero by as much as
// noise teaches.
func (state *imageState) bound() {
	for position, known := range state.filter.parts {
		mean := &state.filter.mean[position]
		switch known.kind {
		case partLevel:
			*mean = min(max(*mean, leastLevel), mostLevel)
		case partWeight:
			*mean = min(max(*mean, -noiseWeight), mostWeight)
		}
	}
}

// observe takes in a reading of a sum and keeps what it taught of weights.
func (state *imageState) observe(sum []term, surprise, noise float64) {
	before := state.weights()
	state.filter.observe(sum, surprise, noise)
	for fill, own := range state.own {
		own.add(before[fill], state.filter.value(weightOf(fill)))
	}
	state.bound()
}

// weights returns the estimates of all weights, by filling image.
func (state *imageState) weights() map[string]value {
	known := make(map[string]value, len(state.own))
	for fill := range state.own {
		known[fill] = state.filter.value(weightOf(fill))
	}
	return known
}

// weight returns the headroom that a core of a filling image takes.
func (model *Model) weight(serving, fill string) float64 {
	state, known := model.images[serving]
	if !known || state.own[fill] == nil {
		return priorWeight
	}
	return clampWeight(state.filter.value(weightOf(fill)).mean)
}

// disturbance returns the weight that decisions go by: one that is within what
// noise teaches counts as none.
func (model *Model) disturbance(serving, fill string) float64 {
	weight := model.weight(serving, fill)
	if weight < noiseWeight {
		return 0
	}
	return weight
}

// clampWeight keeps a weight within what can be.
func clampWeight(weight float64) float64 { return min(max(weight, 0), mostWeight) }
