package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// targetShare is the share of the target that paces aim at. What is above
	// is kept for the swing of the load within the lag of a reading.
	targetShare = 0.85
	// leastPace keeps a filling task going: one that stands still looks like
	// one that hangs.
	leastPace = 0.05
	// heldShare is the share of the time that a target may be missed for after
	// which what disturbs is held back. All filling work is when, without it,
	// the tail would just sink below the target in time.
	heldShare = 0.65
	// stoppedShare is the same for the work that may disturb, by what was learned.
	stoppedShare = 0.9
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

// disturbance returns the weight that decisions go by: one that is within what
// noise teaches counts as none.
func (model *Model) disturbance(serving, fill string) float64 {
	weight := model.weight(serving, fill)
	if weight < noiseWeight {
		return 0
	}
	return weight
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
