// Package interference estimates how much tasks that fill a worker disturb the
// tasks that serve there, and how fast each may go so that the serving ones keep
// their target tails.
//
// The logarithm of a serving task's tail is taken as the sum of a quiet part of
// its own, which follows its load, and a weight for each pair of images times the
// cores that the filling tasks of that image use. Weights are learned from
// readings by normalised least mean squares: each reading moves the weights of
// the images that ran, in proportion to the cores they used, towards what was
// read.
//
// # Usage
//
//	model := interference.New(4 * time.Second)
//	model.Observe(servings, fills, now)
//	paces := model.Paces(servings, fills)
//	room := model.Tolerance(servings, fills, image)
//
// Cores are whole cores as a float, tails and targets are in milliseconds, paces
// are shares from 0 to 1.
package interference

import (
	"math"
	"slices"
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
	// targetShare is the share of the target that paces aim at. What is above
	// is kept for the swing of the load within the lag of a reading.
	targetShare = 0.85
	// leastPace keeps a filling task going: one that stands still looks like
	// one that hangs.
	leastPace = 0.05
	// noiseWeight is below what the readings of pairs that don't disturb teach.
	noiseWeight = 0.1
	// heldShare is the share of the time that a target may be missed for after
	// which what disturbs is held back. All filling work is when, without it,
	// the tail would just sink below the target in time.
	heldShare = 0.4
	// stoppedShare is the same for the work that may disturb, by what was learned.
	stoppedShare = 0.8
	// sinkTime is what a tail takes to sink by a factor of e once nothing
	// disturbs it: measured, it loses two fifths in 0.4 s.
	sinkTime = 900 * time.Millisecond
	// readingLag is what has passed before a reading shows a miss, and
	// sinkMargin what is left besides.
	readingLag = 600 * time.Millisecond
	sinkMargin = 300 * time.Millisecond
	// suspectWeight is from which weight a filling task is held back while a
	// target is missed, whatever the sum says, and cutAtMiss is how far.
	suspectWeight = 0.06
	cutAtMiss     = 0.4
)

// Pair names a serving and a filling image.
type Pair struct{ Serving, Fill string }

// Estimate is a weight with the number of readings that it rests on.
type Estimate struct {
	Weight   float64
	Readings int
}

// Serving is a task that serves, with its newest reading.
type Serving struct {
	Task, Image  string
	Tail, Target float64
}

// Fill is a task that fills: the cores that it asks for and those that it used
// by its newest reading.
type Fill struct {
	Task, Image string
	Cores, Used float64
}

// Model learns from the readings of one worker.
type Model struct {
	allowed time.Duration
	pairs   map[Pair]*Estimate
	tasks   map[string]*servingState
}

// servingState is what is known of one serving task.
type servingState struct {
	overSince time.Time // when its tail went over the target, zero while below
	held      bool      // its disturbers are held back until the tail is below
	stopped   bool      // what may disturb it hardly works until then
	emptied   bool      // nothing that fills works until then
	quiet     float64   // logarithm of the tail that it has by itself
	lastTail  float64
}

// New returns a model that has learned nothing. A target may be missed for the
// allowed time on end.
func New(allowed time.Duration) *Model {
	return &Model{allowed: allowed, pairs: map[Pair]*Estimate{}, tasks: map[string]*servingState{}}
}

func (model *Model) weight(serving, fill string) float64 {
	if known, found := model.pairs[Pair{serving, fill}]; found {
		return known.Weight
	}
	return priorWeight
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

// noteTail decides whether the disturbers of a serving task are held back: from
// when it has been over its target for a while until it is well below.
func (state *servingState) noteTail(serving Serving, allowed time.Duration, now time.Time) {
	if serving.Tail < serving.Target {
		state.overSince = time.Time{}
	} else if state.overSince.IsZero() {
		state.overSince = now
	}
	if state.overSince.IsZero() {
		state.held, state.stopped, state.emptied = false, false, false
		return
	}
	over := now.Sub(state.overSince)
	sinks := time.Duration(math.Log(serving.Tail/serving.Target) * float64(sinkTime))
	state.held = state.held || over+sinks >= time.Duration(heldShare*float64(allowed))
	state.stopped = state.stopped || over+sinks+readingLag+sinkMargin >= time.Duration(stoppedShare*float64(allowed))
	state.emptied = state.emptied || over+sinks+readingLag+sinkMargin >= allowed
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

// budget is how much a serving task's tail may grow, as a logarithm.
func (model *Model) budget(serving Serving) float64 {
	quiet := math.Log(quietLeast * serving.Target)
	if state, known := model.tasks[serving.Task]; known {
		quiet = state.quiet
	}
	return math.Log(targetShare*serving.Target) - quiet
}

// Paces returns how fast each filling task may go, by task. The tasks that
// disturb most for each core are slowed first.
func (model *Model) Paces(servings []Serving, fills []Fill) map[string]float64 {
	paces := map[string]float64{}
	for _, fill := range fills {
		paces[fill.Task] = 1
	}
	for _, serving := range servings {
		state, known := model.tasks[serving.Task]
		if known && state.held {
			model.slow(serving, fills, paces)
		}
		if known && state.stopped {
			model.stop(serving, fills, state.emptied, paces)
		}
	}
	return paces
}

// stop lowers the paces of the tasks that may disturb a serving task, or of all,
// to the least.
func (model *Model) stop(serving Serving, fills []Fill, all bool, paces map[string]float64) {
	for _, fill := range fills {
		if all || model.weight(serving.Image, fill.Image) >= suspectWeight {
			paces[fill.Task] = leastPace
		}
	}
}

// Worst returns the filling task that disturbs the serving tasks that have been
// over their target for long the most, and false if there is none to blame.
func (model *Model) Worst(servings []Serving, fills []Fill) (string, bool) {
	task, most := "", 0.0
	for _, fill := range fills {
		blame := 0.0
		for _, serving := range servings {
			if state, known := model.tasks[serving.Task]; known && state.held {
				blame += model.disturbance(serving.Image, fill.Image) * fill.Cores
			}
		}
		if blame > most {
			task, most = fill.Task, blame
		}
	}
	return task, most > 0
}

// slow lowers paces until the serving task is expected to keep its target.
func (model *Model) slow(serving Serving, fills []Fill, paces map[string]float64) {
	over := -model.budget(serving)
	for _, fill := range fills {
		over += model.disturbance(serving.Image, fill.Image) * fill.Cores * paces[fill.Task]
	}
	worst := slices.Clone(fills)
	slices.SortFunc(worst, func(a, b Fill) int {
		if heavier := model.disturbance(serving.Image, b.Image) - model.disturbance(serving.Image, a.Image); heavier != 0 {
			return int(math.Copysign(1, heavier))
		}
		return int(math.Copysign(1, b.Cores-a.Cores))
	})
	for _, fill := range worst {
		full := model.disturbance(serving.Image, fill.Image) * fill.Cores
		if over <= 0 || full <= 0 {
			break
		}
		pace := max(paces[fill.Task]-over/full, leastPace)
		over -= (paces[fill.Task] - pace) * full
		paces[fill.Task] = min(paces[fill.Task], pace)
	}
	if serving.Tail < serving.Target {
		return
	}
	for _, fill := range fills {
		if model.weight(serving.Image, fill.Image) >= suspectWeight {
			paces[fill.Task] = min(paces[fill.Task], cutAtMiss)
		}
	}
}

// Tolerance returns how many more cores of an image the serving tasks bear,
// beside the filling tasks that are there at full pace.
func (model *Model) Tolerance(servings []Serving, fills []Fill, image string) float64 {
	least := math.Inf(1)
	for _, serving := range servings {
		if serving.Target <= 0 {
			continue
		}
		if state, known := model.tasks[serving.Task]; known && state.held {
			// Something disturbs it now; more would hide what does.
			return 0
		}
		left := model.budget(serving)
		for _, fill := range fills {
			left -= model.disturbance(serving.Image, fill.Image) * fill.Cores
		}
		if weight := model.disturbance(serving.Image, image); weight > 0 {
			least = min(least, left/weight)
		}
	}
	return max(least, 0)
}

// Images returns the filling images that the model knows.
func (model *Model) Images() []string {
	var images []string
	for pair := range model.pairs {
		if !slices.Contains(images, pair.Fill) {
			images = append(images, pair.Fill)
		}
	}
	slices.Sort(images)
	return images
}

// Estimates returns what has been learned.
func (model *Model) Estimates() map[Pair]Estimate {
	learned := make(map[Pair]Estimate, len(model.pairs))
	for pair, known := range model.pairs {
		learned[pair] = *known
	}
	return learned
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
