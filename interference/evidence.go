package interference

import (
	"math"
	"time"
)

const (
	// mostReadings bounds what a weight is said to rest on, so that one that
	// changes is learned anew within as many readings.
	mostReadings = 60.0
	// sharedShare is the share of what others rest on that is taken in each time
	// they are heard of, about once in 1.5 s.
	sharedShare = 0.1
	// firstShare is the same for the first time, so that a process that has just
	// started goes by what is known at once.
	firstShare = 0.6
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
	// sum adds up the weights that readings spoke for, count how many they were.
	sum, count float64
	// told is set once others' estimate has been heard.
	told bool
	// heardAt is when the pair was last read here, or heard of from others.
	heardAt time.Time
}

// weight returns the weight that the evidence speaks for.
func (own *evidence) weight() float64 {
	if own.count == 0 {
		return priorWeight
	}
	return clampWeight(own.sum / own.count)
}

// add takes in that a reading moved a weight and lowered its variance: as many
// readings beside one core as lower it so far, of the weight that moves it so far.
func (own *evidence) add(before, after value) {
	count := weightVariance * (1/after.variance - 1/before.variance)
	if count <= 0 {
		return
	}
	spokenFor := before.mean + (after.mean-before.mean)*weightVariance/(after.variance*count)
	own.sum += count * min(max(spokenFor, -mostWeight), mostWeight)
	own.count += count
	if own.count > mostReadings {
		own.sum *= mostReadings / own.count
		own.count = mostReadings
	}
}

// Own returns what this worker's own readings have taught of a pair.
func (model *Model) Own(pair Pair) Estimate {
	state, known := model.images[pair.Serving]
	if !known || state.own[pair.Fill] == nil {
		return Estimate{}
	}
	return state.own[pair.Fill].estimate()
}

// estimate returns what the evidence speaks for.
func (own *evidence) estimate() Estimate {
	return Estimate{Weight: own.weight(), Readings: int(own.count)}
}

// Estimates returns what this worker's own readings have taught.
func (model *Model) Estimates() map[Pair]Estimate {
	learned := map[Pair]Estimate{}
	for serving, state := range model.images {
		for fill, own := range state.own {
			learned[Pair{serving, fill}] = own.estimate()
		}
	}
	return learned
}

// Share takes in what the models of other workers have learned.
func (model *Model) Share(pair Pair, learned Estimate, now time.Time) {
	if learned.Readings <= 0 {
		return
	}
	state := model.image(pair.Serving)
	state.noteFill(pair.Fill, now)
	weight := state.filter.value(weightOf(pair.Fill)).mean
	share := sharedShare
	if own := state.own[pair.Fill]; !own.told {
		own.told = true
		share = firstShare
	}
	counts := min(float64(learned.Readings), mostReadings) * share
	state.filter.observe([]term{{weightOf(pair.Fill), 1}}, clampWeight(learned.Weight)-weight, weightVariance/counts)
	state.bound()
}
