package interference

import (
	"math"
	"time"
)

const (
	// maxReadings limits the number of readings that an estimate is based on, so that a weight that changes
	// is learned again within the same number of readings.
	maxReadings = 60.0
	// remoteShare is the share of the readings of other workers that is counted each time their estimate is
	// merged, which happens about every 1.5 s.
	remoteShare = 0.1
	// firstRemoteShare replaces remoteShare the first time, so that a process that has just started uses the
	// estimate of other workers immediately.
	firstRemoteShare = 0.6
)

// Estimate is an estimate of a weight and the number of readings that it is based on. The number is converted
// to readings beside a fill task that uses one core.
type Estimate struct {
	Weight   float64
	Readings int
}

// Differs reports whether the weights of two estimates differ by at least minWeight, or their numbers of
// readings by at least the fraction minReadings of the number of other.
func (estimate Estimate) Differs(other Estimate, minWeight, minReadings float64) bool {
	return math.Abs(estimate.Weight-other.Weight) >= minWeight ||
		math.Abs(float64(estimate.Readings-other.Readings)) >= minReadings*float64(max(other.Readings, 1))
}

// evidence is what the readings of this worker contribute to the estimate for a pair of images. It is kept
// apart from the contribution of other workers, because a worker reports only its own readings.
type evidence struct {
	// weightSum is the sum of the weights that the readings suggest, and readingCount the number of readings.
	weightSum, readingCount float64
	// hasRemote is set once an estimate of other workers has been merged.
	hasRemote bool
	// lastSeenAt is when the pair last occurred in a reading or in an estimate of other workers.
	lastSeenAt time.Time
}

// weight returns the mean of the weights that the readings suggest.
func (e *evidence) weight() float64 {
	if e.readingCount == 0 {
		return priorWeight
	}
	return clampWeight(e.weightSum / e.readingCount)
}

// add records how a reading changed the estimate of the weight. The change is expressed as a number of
// readings beside one core that would have reduced the variance as much, and as the weight that these
// readings must have suggested to move the mean as far.
func (e *evidence) add(before, after gaussian) {
	count := priorWeightVariance * (1/after.variance - 1/before.variance)
	if count <= 0 {
		return
	}
	suggested := before.mean + (after.mean-before.mean)*priorWeightVariance/(after.variance*count)
	e.weightSum += count * min(max(suggested, -maxWeight), maxWeight)
	e.readingCount += count
	if e.readingCount > maxReadings {
		e.weightSum *= maxReadings / e.readingCount
		e.readingCount = maxReadings
	}
}

// LocalEstimate returns the estimate for a pair that the readings of this worker suggest.
func (model *Model) LocalEstimate(pair Pair) Estimate {
	state, found := model.images[pair.Serving]
	if !found || state.evidence[pair.Fill] == nil {
		return Estimate{}
	}
	return state.evidence[pair.Fill].estimate()
}

// estimate returns the estimate that the readings suggest.
func (e *evidence) estimate() Estimate {
	return Estimate{Weight: e.weight(), Readings: int(e.readingCount)}
}

// LocalEstimates returns the estimates that the readings of this worker suggest. It includes pairs that are
// known only from other workers, with 0 readings.
func (model *Model) LocalEstimates() map[Pair]Estimate {
	estimates := map[Pair]Estimate{}
	for serving, state := range model.images {
		for fill, evidence := range state.evidence {
			estimates[Pair{serving, fill}] = evidence.estimate()
		}
	}
	return estimates
}

// MergeRemoteEstimate updates the model with an estimate that is based on the readings of other workers.
func (model *Model) MergeRemoteEstimate(pair Pair, remote Estimate, now time.Time) {
	if remote.Readings <= 0 {
		return
	}
	state := model.imageStateOf(pair.Serving)
	state.trackFill(pair.Fill, now)
	weight := state.filter.estimate(weightOf(pair.Fill)).mean
	share := remoteShare
	if evidence := state.evidence[pair.Fill]; !evidence.hasRemote {
		evidence.hasRemote = true
		share = firstRemoteShare
	}
	count := min(float64(remote.Readings), maxReadings) * share
	state.filter.update([]term{{weightOf(pair.Fill), 1}}, clampWeight(remote.Weight)-weight, priorWeightVariance/count)
	state.clamp()
}
