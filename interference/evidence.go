package interference

import (
	"math"
	"time"
)

const (
	// maxReadings bounds what a weight is said to rest on, so that one that
	// changes is learned anew within as many readings.
	maxReadings = 60.0
	// remoteShare is the share of what others rest on that is taken in each time
	// they are heard of, about once in 1.5 s.
	remoteShare = 0.1
	// firstRemoteShare is the same for the first time, so that a process that has just
	// started goes by what is known at once.
	firstRemoteShare = 0.6
)

// Estimate is a weight with the number of readings that it rests on, counted in
// readings beside one core.
type Estimate struct {
	Weight   float64
	Readings int
}

// Differs reports whether an estimate differs from another one by a weight, or by a share of
// the readings that the other rests on.
func (known Estimate) Differs(other Estimate, weight, readings float64) bool {
	return math.Abs(known.Weight-other.Weight) >= weight ||
		math.Abs(float64(known.Readings-other.Readings)) >= readings*float64(max(other.Readings, 1))
}

// evidence is what this worker's own readings have taught of a pair, apart from what
// other workers' have: only what was read here is told on.
type evidence struct {
	// weightSum adds up the weights that readings spoke for, count how many they were.
	weightSum, readingCount float64
	// hasRemote is set once others' estimate has been heard.
	hasRemote bool
	// lastSeenAt is when the pair was last read here, or heard of from others.
	lastSeenAt time.Time
}

// weight returns the weight that the evidence speaks for.
func (own *evidence) weight() float64 {
	if own.readingCount == 0 {
		return priorWeight
	}
	return clampWeight(own.weightSum / own.readingCount)
}

// add takes in that a reading moved a weight and lowered its variance: as many
// readings beside one core as lower it so far, of the weight that moves it so far.
func (own *evidence) add(before, after gaussian) {
	count := priorWeightVariance * (1/after.variance - 1/before.variance)
	if count <= 0 {
		return
	}
	spokenFor := before.mean + (after.mean-before.mean)*priorWeightVariance/(after.variance*count)
	own.weightSum += count * min(max(spokenFor, -maxWeight), maxWeight)
	own.readingCount += count
	if own.readingCount > maxReadings {
		own.weightSum *= maxReadings / own.readingCount
		own.readingCount = maxReadings
	}
}

// LocalEstimate returns what this worker's own readings have taught of a pair.
func (model *Model) LocalEstimate(pair Pair) Estimate {
	state, known := model.images[pair.Serving]
	if !known || state.evidence[pair.Fill] == nil {
		return Estimate{}
	}
	return state.evidence[pair.Fill].estimate()
}

// estimate returns what the evidence speaks for.
func (own *evidence) estimate() Estimate {
	return Estimate{Weight: own.weight(), Readings: int(own.readingCount)}
}

// LocalEstimates returns what this worker's own readings have taught.
func (model *Model) LocalEstimates() map[Pair]Estimate {
	learned := map[Pair]Estimate{}
	for serving, state := range model.images {
		for fill, own := range state.evidence {
			learned[Pair{serving, fill}] = own.estimate()
		}
	}
	return learned
}

// MergeRemoteEstimate takes in what the models of other workers have learned.
func (model *Model) MergeRemoteEstimate(pair Pair, learned Estimate, now time.Time) {
	if learned.Readings <= 0 {
		return
	}
	state := model.imageStateOf(pair.Serving)
	state.trackFill(pair.Fill, now)
	weight := state.filter.estimate(weightOf(pair.Fill)).mean
	share := remoteShare
	if own := state.evidence[pair.Fill]; !own.hasRemote {
		own.hasRemote = true
		share = firstRemoteShare
	}
	counts := min(float64(learned.Readings), maxReadings) * share
	state.filter.update([]term{{weightOf(pair.Fill), 1}}, clampWeight(learned.Weight)-weight, priorWeightVariance/counts)
	state.clamp()
}
