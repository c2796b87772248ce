package interference

import (
	"math"
	"time"
)

const (
	// priorWeight is what a pair that was never seen together is given, and
	// priorWeightDeviation by how much it may be off. Of the pairs that were measured,
	// four in five take less than 0.1 of headroom a core, the others 0.3 to 0.8.
	priorWeight          = 0.12
	priorWeightDeviation = 0.25
	priorWeightVariance  = priorWeightDeviation * priorWeightDeviation
	// weightDrift is the variance that a weight gains each second: disturbance
	// shifts while tasks run.
	weightDrift = 0.0005
	// maxWeight bounds what one outlier can teach.
	maxWeight = 2.0
	// noiseWeight is below what the readings of pairs that don't disturb teach: no
	// fill is slowed or turned away for less.
	noiseWeight = 0.12

	// priorLevel and priorLevelVariance are what is expected of a task that was not
	// read before: measured levels are 1.5 to 3.4.
	priorLevel         = 2.3
	priorLevelVariance = 0.5
	// minLevel and maxLevel bound a level: a task that misses its target by
	// itself, and one without any load.
	minLevel = 0.5
	maxLevel = 5.0
	// levelDrift and slopeDrift are the variances that a level and its slope gain
	// each second, and slopeRetention is what is left of a slope after one: a load that
	// swings by half within 10 s changes the slope by 0.35 a second at most.
	levelDrift     = 0.01
	slopeDrift     = 0.06
	slopeRetention = 0.85
)

// imageState is what is known of the tasks of one serving image.
type imageState struct {
	filter filter
	// evidence holds the evidence for each filling image.
	evidence map[string]*evidence
	// advancedAt is the time that the estimates hold for.
	advancedAt time.Time
}

// imageStateOf returns what is known of a serving image.
func (model *Model) imageStateOf(image string) *imageState {
	state, known := model.images[image]
	if !known {
		state = &imageState{evidence: map[string]*evidence{}}
		model.images[image] = state
	}
	return state
}

// trackFill begins to estimate the weight of a filling image that is new, and notes
// that it has been heard of.
func (state *imageState) trackFill(fill string, now time.Time) {
	if state.evidence[fill] == nil {
		state.evidence[fill] = &evidence{}
		state.filter.add(weightOf(fill), gaussian{priorWeight, priorWeightVariance})
	}
	state.evidence[fill].lastSeenAt = now
}

// forgetAfter is how long a pair is remembered that is not heard of. A filter's work
// grows with the square of the images that it knows, so none is kept for ever; work
// that comes once an hour finds what was learned of it.
const forgetAfter = 2 * time.Hour

// forgetStalePairs ends the estimates of pairs that have not been heard of for long.
func (model *Model) forgetStalePairs(now time.Time) {
	for _, state := range model.images {
		for fill, own := range state.evidence {
			if now.Sub(own.lastSeenAt) > forgetAfter {
				delete(state.evidence, fill)
				state.filter.remove(weightOf(fill))
			}
		}
	}
	for image, state := range model.images {
		if len(state.filter.variables) == 0 {
			delete(model.images, image)
		}
	}
}

// advance carries the estimates on to now.
func (state *imageState) advance(now time.Time) {
	if state.advancedAt.IsZero() {
		state.advancedAt = now
	}
	passed := now.Sub(state.advancedAt).Seconds()
	if passed <= 0 {
		return
	}
	state.advancedAt = now
	for _, known := range state.filter.variables {
		switch known.kind {
		case levelVariable:
			state.filter.addScaled(known, slopeOf(known.name), passed)
			state.filter.addVariance(known, levelDrift*passed, math.Inf(1))
		case slopeVariable:
			state.filter.scale(known, math.Pow(slopeRetention, passed))
			state.filter.addVariance(known, slopeDrift*passed, math.Inf(1))
		case weightVariable:
			state.filter.addVariance(known, weightDrift*passed, priorWeightVariance)
		}
	}
	state.clamp()
}

// clamp keeps estimates within what can be; a weight may be below zero by as much as
// noise teaches.
func (state *imageState) clamp() {
	for position, known := range state.filter.variables {
		mean := &state.filter.mean[position]
		switch known.kind {
		case levelVariable:
			*mean = min(max(*mean, minLevel), maxLevel)
		case weightVariable:
			*mean = min(max(*mean, -noiseWeight), maxWeight)
		}
	}
}

// update takes in a reading of a sum and keeps what it taught of weights.
func (state *imageState) update(sum []term, surprise, noise float64) {
	before := state.weights()
	state.filter.update(sum, surprise, noise)
	for fill, own := range state.evidence {
		own.add(before[fill], state.filter.estimate(weightOf(fill)))
	}
	state.clamp()
}

// weights returns the estimates of all weights, by filling image.
func (state *imageState) weights() map[string]gaussian {
	known := make(map[string]gaussian, len(state.evidence))
	for fill := range state.evidence {
		known[fill] = state.filter.estimate(weightOf(fill))
	}
	return known
}

// weight returns the headroom that a core of a filling image takes.
func (model *Model) weight(serving, fill string) float64 {
	state, known := model.images[serving]
	if !known || state.evidence[fill] == nil {
		return priorWeight
	}
	return clampWeight(state.filter.estimate(weightOf(fill)).mean)
}

// significantWeight returns the weight that decisions go by: one that is within what
// noise teaches counts as none.
func (model *Model) significantWeight(serving, fill string) float64 {
	weight := model.weight(serving, fill)
	if weight < noiseWeight {
		return 0
	}
	return weight
}

// clampWeight keeps a weight within what can be.
func clampWeight(weight float64) float64 { return min(max(weight, 0), maxWeight) }
