package interference

import (
	"math"
	"time"
)

const (
	// priorWeight is what a pair that was never seen together is given. Measured
	// pairs either hardly disturb (below 0.05) or do (0.15 to 0.3).
	priorWeight = 0.08
	// mostWeight bounds what one outlier can teach.
	mostWeight = 0.4
	// learnStep is the share of a surprise that one reading corrects.
	learnStep = 0.4
	// surpriseFloor is how much a reading may differ, as a logarithm, without
	// teaching anything about pairs: the load of a serving task alone moves its
	// tail by about a quarter.
	surpriseFloor = 0.25
	// learnQuiet is the step of a serving task's quiet part: slow against a
	// disturbance, which shows within a second, and fast enough for the load,
	// which swings within about ten.
	learnQuiet = 0.06
	// quietLeast and quietMost bound the quiet part, as shares of the target.
	quietLeast = 0.2
	quietMost  = 0.75
	// usedLeast is what the tasks of an image must use, in cores, to be taught
	// anything about.
	usedLeast = 0.5
	// forget moves a weight towards the prior with each reading in which the
	// pair was together but too slow to teach, so that it is tried again.
	forget = 0.01
	// noiseWeight is below what the readings of pairs that don't disturb teach.
	noiseWeight = 0.1
)

func (model *Model) weight(serving, fill string) float64 {
	if known, found := model.pairs[Pair{serving, fill}]; found {
		return known.Weight
	}
	return priorWeight
}

// Observe learns from one reading of a worker.
func (model *Model) Observe(servings []Serving, fills []Fill, now time.Time) {
	present := map[string]bool{}
	used := usedCores(fills)
	for _, serving := range servings {
		present[serving.Task] = true
		if serving.Tail > 0 && serving.Target > 0 {
			model.observe(serving, used)
			model.tasks[serving.Task].noteTail(serving, model.allowed, now)
		}
	}
	for task := range model.tasks {
		if !present[task] {
			delete(model.tasks, task)
		}
	}
}

// usedCores sums what the tasks of each image use.
func usedCores(fills []Fill) map[string]float64 {
	used := map[string]float64{}
	for _, fill := range fills {
		used[fill.Image] += fill.Used
	}
	return used
}

func (model *Model) observe(serving Serving, used map[string]float64) {
	expected, squares := 0.0, 1.0
	for image, cores := range used {
		expected += model.weight(serving.Image, image) * cores
		squares += cores * cores
	}
	tail := math.Log(serving.Tail)
	state := model.state(serving, tail-expected)
	surprise := tail - state.quiet - expected
	rising := serving.Tail > state.lastTail
	falling := serving.Tail < state.lastTail
	state.lastTail = serving.Tail
	state.quiet += learnQuiet * surprise
	state.bound(serving.Target)
	// A reading looks back over half a second: a tail that already falls
	// accuses what has gone by, one that rises excuses nothing.
	if surprise > 0 && falling || surprise < 0 && rising {
		return
	}
	beyond := math.Copysign(max(math.Abs(surprise)-surpriseFloor, 0), surprise)
	for image, cores := range used {
		model.learn(Pair{serving.Image, image}, cores, learnStep*beyond*cores/squares)
	}
}

// state returns what is known of a serving task; a new one begins with quiet.
func (model *Model) state(serving Serving, quiet float64) *servingState {
	state, known := model.tasks[serving.Task]
	if !known {
		state = &servingState{quiet: quiet, lastTail: serving.Tail}
		state.bound(serving.Target)
		model.tasks[serving.Task] = state
	}
	return state
}

func (state *servingState) bound(target float64) {
	state.quiet = min(max(state.quiet, math.Log(quietLeast*target)), math.Log(quietMost*target))
}

func (model *Model) learn(pair Pair, cores, change float64) {
	known, found := model.pairs[pair]
	if !found {
		known = &Estimate{Weight: priorWeight}
		model.pairs[pair] = known
	}
	if cores < usedLeast {
		known.Weight += forget * (priorWeight - known.Weight)
		return
	}
	known.Weight = min(max(known.Weight+change, 0), mostWeight)
	known.Readings++
}

const (
	// trustOwn is from how many readings of its own a worker goes by them more
	// than by what others have learned.
	trustOwn = 20
	// blendShared is how far a pair that is known well moves towards what
	// others have learned each time it hears of it.
	blendShared = 0.1
)

// Share takes in what the models of other workers have learned.
func (model *Model) Share(pair Pair, learned Estimate) {
	known, found := model.pairs[pair]
	if !found {
		model.pairs[pair] = &Estimate{Weight: learned.Weight}
		return
	}
	blend := blendShared
	if known.Readings < trustOwn {
		blend = 0.5
	}
	known.Weight += blend * (learned.Weight - known.Weight)
}
