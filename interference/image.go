package interference

import (
	"math"
	"time"
)

const (
	// priorWeight is the initial estimate for a pair of images without readings, and priorWeightDeviation its
	// standard deviation. Four in five pairs have a weight below 0.1, the others 0.3 to 0.8.
	priorWeight          = 0.12
	priorWeightDeviation = 0.25
	priorWeightVariance  = priorWeightDeviation * priorWeightDeviation
	// weightDrift is the variance that a weight gains each second, since interference shifts while tasks run.
	weightDrift = 0.0005
	// maxWeight limits the effect of a single outlier.
	maxWeight = 2.0
	// noiseWeight is the weight that noise in the readings may suggest for a pair without any interference.
	// No fill task is throttled or turned away because of a smaller weight.
	noiseWeight = 0.12

	// priorLevel and priorLevelVariance are the initial estimate for a task without readings, and its
	// variance. Levels are usually 1.5 to 3.4.
	priorLevel         = 2.3
	priorLevelVariance = 0.5
	// minLevel and maxLevel bound the level: a task that misses its target without any fill tasks is at the
	// lower bound, a task without load at the upper one.
	minLevel = 0.5
	maxLevel = 5.0
	// levelDrift and slopeDrift are the variances that a level and its slope gain each second, and
	// slopeRetention is the fraction of a slope that remains after one second. A load that changes by half
	// within 10 s changes the slope by at most 0.35 per second.
	levelDrift     = 0.01
	slopeDrift     = 0.06
	slopeRetention = 0.85
)

// imageState is the state of the model for one serving image.
type imageState struct {
	filter filter
	// evidence is the evidence from local readings, by fill image.
	evidence map[string]*evidence
	// advancedAt is the time to which the estimates apply.
	advancedAt time.Time
}

// imageStateOf returns the state for a serving image and creates it if necessary.
func (model *Model) imageStateOf(image string) *imageState {
	state, found := model.images[image]
	if !found {
		state = &imageState{evidence: map[string]*evidence{}}
		model.images[image] = state
	}
	return state
}

// trackFill adds a fill image to the filter unless it is there already, and records that it was seen.
func (state *imageState) trackFill(fill string, now time.Time) {
	if state.evidence[fill] == nil {
		state.evidence[fill] = &evidence{}
		state.filter.add(weightOf(fill), gaussian{priorWeight, priorWeightVariance})
	}
	state.evidence[fill].lastSeenAt = now
}

// forgetAfter is how long a pair of images is kept after it was last seen. The cost of a filter update grows
// with the square of the number of fill images, so pairs can't be kept forever. The time is long enough to
// keep the estimates for batch work that runs once an hour.
const forgetAfter = 2 * time.Hour

// forgetStalePairs removes pairs that have not been seen for forgetAfter, and serving images without any
// estimates.
func (model *Model) forgetStalePairs(now time.Time) {
	for _, state := range model.images {
		for fill, evidence := range state.evidence {
			if now.Sub(evidence.lastSeenAt) > forgetAfter {
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

// advance is the prediction step of the filter: it extrapolates the estimates to now.
func (state *imageState) advance(now time.Time) {
	if state.advancedAt.IsZero() {
		state.advancedAt = now
	}
	elapsed := now.Sub(state.advancedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	state.advancedAt = now
	for _, variable := range state.filter.variables {
		switch variable.kind {
		case levelVariable:
			state.filter.addScaled(variable, slopeOf(variable.name), elapsed)
			state.filter.addVariance(variable, levelDrift*elapsed, math.Inf(1))
		case slopeVariable:
			state.filter.scale(variable, math.Pow(slopeRetention, elapsed))
			state.filter.addVariance(variable, slopeDrift*elapsed, math.Inf(1))
		case weightVariable:
			state.filter.addVariance(variable, weightDrift*elapsed, priorWeightVariance)
		}
	}
	state.clamp()
}

// clamp limits the estimates to possible values. A weight may become negative, but only by as much as noise
// in the readings may suggest.
func (state *imageState) clamp() {
	for position, variable := range state.filter.variables {
		mean := &state.filter.mean[position]
		switch variable.kind {
		case levelVariable:
			*mean = min(max(*mean, minLevel), maxLevel)
		case weightVariable:
			*mean = min(max(*mean, -noiseWeight), maxWeight)
		}
	}
}

// update updates the filter with a local reading; see filter.update. It records as evidence how the reading
// changed the weights.
func (state *imageState) update(terms []term, innovation, noiseVariance float64) {
	before := state.weights()
	state.filter.update(terms, innovation, noiseVariance)
	for fill, evidence := range state.evidence {
		evidence.add(before[fill], state.filter.estimate(weightOf(fill)))
	}
	state.clamp()
}

// weights returns the estimates of all weights by fill image.
func (state *imageState) weights() map[string]gaussian {
	weights := make(map[string]gaussian, len(state.evidence))
	for fill := range state.evidence {
		weights[fill] = state.filter.estimate(weightOf(fill))
	}
	return weights
}

// weight returns how much headroom each core of a fill image takes from a task of a serving image.
func (model *Model) weight(serving, fill string) float64 {
	state, found := model.images[serving]
	if !found || state.evidence[fill] == nil {
		return priorWeight
	}
	return clampWeight(state.filter.estimate(weightOf(fill)).mean)
}

// significantWeight is like weight, but returns 0 for a weight that may be due to noise. It is the basis of
// decisions against individual tasks.
func (model *Model) significantWeight(serving, fill string) float64 {
	weight := model.weight(serving, fill)
	if weight < noiseWeight {
		return 0
	}
	return weight
}

// clampWeight limits a weight to possible values.
func clampWeight(weight float64) float64 { return min(max(weight, 0), maxWeight) }
