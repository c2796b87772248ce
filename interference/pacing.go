package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// reserve is the headroom that is kept beyond the target: for the noise of
	// readings, which is 0.2, and what a load does within their lag.
	reserve = 0.15
	// lead is how far ahead levels are looked at: a reading is a quarter of a
	// second old on average and the next one comes 0.4 s later.
	lead = 600 * time.Millisecond
	// leastPace keeps a filling task going: one that stands still looks like
	// one that hangs.
	leastPace = 0.05
	// movedBelow is the pace below which a filling task is better off elsewhere.
	movedBelow = 0.6
	// heldShare is the share of the time that a target may be missed for after
	// which everything that may disturb is held back, whatever the sum says.
	heldShare = 0.4
	// stoppedShare is the same for hardly working any more.
	stoppedShare = 0.9
	// sinkTime is what a tail takes to sink by a factor of e once nothing
	// disturbs it: measured, it loses two fifths in 0.4 s.
	sinkTime = 900 * time.Millisecond
	// readingLag is what has passed before a reading shows a miss, and
	// sinkMargin what is left besides.
	readingLag = 600 * time.Millisecond
	sinkMargin = 300 * time.Millisecond
	// suspectWeight is from which weight a filling task is held back while a
	// target is missed for long, and cutAtMiss is how far.
	suspectWeight = 0.1
	cutAtMiss     = 0.4
	// noiseWeight is below what the readings of pairs that don't disturb teach: no
	// fill is slowed or turned away for less.
	noiseWeight = 0.12
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

// noteTail decides how far the disturbers of a serving task are held back that has
// been over its target for a while, until it is below.
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

// budget is the headroom that filling tasks may take from a serving task now.
func (model *Model) budget(serving Serving) float64 {
	level := firstLevel
	if state, known := model.tasks[serving.Task]; known {
		now, slope := state.level()
		level = now + min(slope, 0)*lead.Seconds()
	}
	return level - 1 - reserve
}

// Paces returns how fast each filling task may go, by task. The tasks that
// disturb most for each core are slowed first.
func (model *Model) Paces(servings []Serving, fills []Fill) map[string]float64 {
	paces := map[string]float64{}
	for _, fill := range fills {
		paces[fill.Task] = 1
	}
	for _, serving := range servings {
		model.slow(serving, fills, paces)
		if state, known := model.tasks[serving.Task]; known {
			model.hold(serving, state, fills, paces)
		}
	}
	return paces
}

// slow lowers paces until the serving task is expected to keep its target.
func (model *Model) slow(serving Serving, fills []Fill, paces map[string]float64) {
	over := -model.budget(serving)
	for _, fill := range fills {
		// Also what is within noise: what it is said to take was added to the level.
		over += model.weight(serving.Image, fill.Image) * fill.Cores * paces[fill.Task]
	}
	for _, fill := range model.worstFirst(serving, fills) {
		full := model.disturbance(serving.Image, fill.Image) * fill.Cores
		if over <= 0 || full <= 0 {
			return
		}
		pace := max(paces[fill.Task]-over/full, leastPace)
		over -= (paces[fill.Task] - pace) * full
		paces[fill.Task] = min(paces[fill.Task], pace)
	}
}

// worstFirst orders filling tasks by how much they disturb for each core.
func (model *Model) worstFirst(serving Serving, fills []Fill) []Fill {
	worst := slices.Clone(fills)
	slices.SortFunc(worst, func(a, b Fill) int {
		if heavier := model.disturbance(serving.Image, b.Image) - model.disturbance(serving.Image, a.Image); heavier != 0 {
			return int(math.Copysign(1, heavier))
		}
		return int(math.Copysign(1, b.Cores-a.Cores))
	})
	return worst
}

// hold lowers the paces of the tasks that may disturb a serving task, or of all,
// once its target has been missed for long.
func (model *Model) hold(serving Serving, state *servingState, fills []Fill, paces map[string]float64) {
	for _, fill := range fills {
		suspect := model.weight(serving.Image, fill.Image) >= suspectWeight
		switch {
		case state.emptied, state.stopped && suspect:
			paces[fill.Task] = leastPace
		case state.held && suspect:
			paces[fill.Task] = min(paces[fill.Task], cutAtMiss)
		}
	}
}

// Worst returns the movable filling task that disturbs serving tasks the most, of
// those that have to be slowed so far that they are better off elsewhere, and false
// if there is none.
func (model *Model) Worst(servings []Serving, fills []Fill) (string, bool) {
	paces := model.Paces(servings, fills)
	task, most := "", 0.0
	for _, fill := range fills {
		if !fill.Movable || paces[fill.Task] >= movedBelow {
			continue
		}
		blame := 0.0
		for _, serving := range servings {
			blame += model.disturbance(serving.Image, fill.Image) * fill.Cores
		}
		if blame > most {
			task, most = fill.Task, blame
		}
	}
	return task, most > 0
}

// Tolerance returns how many more cores of an image the serving tasks bear, at the
// lowest level that they had lately, beside the filling tasks that are there at
// full pace. Below zero it tells how much a core would take from a task that bears
// none, so that the least harmful of several workers can be told.
func (model *Model) Tolerance(servings []Serving, fills []Fill, image string) float64 {
	least := math.Inf(1)
	for _, serving := range servings {
		if serving.Target <= 0 {
			continue
		}
		weight := model.disturbance(serving.Image, image)
		if weight == 0 {
			continue
		}
		left := model.lowest(serving) - 1 - reserve
		for _, fill := range fills {
			left -= model.weight(serving.Image, fill.Image) * fill.Cores
		}
		if left <= 0 {
			least = min(least, -weight)
			continue
		}
		least = min(least, left/weight)
	}
	return least
}

// lowest returns the lowest level that a serving task had lately.
func (model *Model) lowest(serving Serving) float64 {
	if state, known := model.tasks[serving.Task]; known {
		return state.low
	}
	return firstLevel
}
