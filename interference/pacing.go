package interference

import (
	"cmp"
	"slices"
	"time"
)

const (
	// atTarget is the headroom of a task whose tail is its target, by definition.
	atTarget = 1
	// reserve is the headroom that is kept beyond the target: for the noise of
	// readings, which is 0.2, and what a load does within their lag.
	reserve = 0.15
	// lead is how far ahead levels are looked at: a reading is a quarter of a
	// second old on average and the next one comes 0.4 s later.
	lead = 600 * time.Millisecond
	// relaxedReserve is kept besides by tasks whose jobs have time to spare, or are late
	// whatever is done: measured on 72 days, serving tasks miss their targets for a tenth
	// less of the time, and no less of the batch work is in time than the days vary.
	relaxedReserve = 0.25
	// leastPace keeps a filling task going: one that stands still looks like
	// one that hangs.
	leastPace = 0.05
	// movedBelow is the pace below which a filling task is better off elsewhere.
	movedBelow = 0.6
	// suspectWeight is from which weight a filling task is held back while a
	// target is missed for long, and cutAtMiss is how far.
	suspectWeight = 0.1
	cutAtMiss     = 0.4
)

// budget is the headroom that filling tasks may take from a serving task now.
func (model *Model) budget(serving Serving) float64 {
	level := firstLevel
	if state, known := model.tasks[serving.Task]; known {
		present, slope := state.level()
		level = present + min(slope, 0)*lead.Seconds()
	}
	return level - atTarget - reserve
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

// slow lowers paces until the serving task is expected to keep its target. Tasks whose
// jobs have time to spare yield earlier than others.
func (model *Model) slow(serving Serving, fills []Fill, paces map[string]float64) {
	var relaxed []Fill
	for _, fill := range fills {
		if fill.Relaxed {
			relaxed = append(relaxed, fill)
		}
	}
	budget := model.budget(serving)
	model.slowUntil(budget-relaxedReserve, serving, fills, relaxed, paces)
	model.slowUntil(budget, serving, fills, fills, paces)
}

// slowUntil lowers the paces of some of the filling tasks until all of them together
// take no more than a budget of headroom from the serving task.
func (model *Model) slowUntil(budget float64, serving Serving, fills, slowed []Fill, paces map[string]float64) {
	over := -budget
	for _, fill := range fills {
		// Also what is within noise: what it is said to take was added to the level.
		over += model.weight(serving.Image, fill.Image) * fill.Cores * paces[fill.Task]
	}
	for _, fill := range model.worstFirst(serving, slowed) {
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
		return cmp.Or(
			cmp.Compare(model.disturbance(serving.Image, b.Image), model.disturbance(serving.Image, a.Image)),
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(a.Task, b.Task),
		)
	})
	return worst
}

// hold lowers the paces of the tasks that may disturb a serving task, or of all,
// once its target has been missed for long.
func (model *Model) hold(serving Serving, state *servingState, fills []Fill, paces map[string]float64) {
	for _, fill := range fills {
		suspect := model.suspects(serving, fill.Image)
		switch {
		case state.emptied, state.stopped && suspect:
			paces[fill.Task] = leastPace
		case state.held && suspect:
			paces[fill.Task] = min(paces[fill.Task], cutAtMiss)
		}
	}
}

// suspects reports whether an image may be what makes a serving task miss its target.
func (model *Model) suspects(serving Serving, image string) bool {
	return model.weight(serving.Image, image) >= suspectWeight
}

// holdsBack reports whether tasks of an image are held back for a serving task that has
// missed its target for long.
func (model *Model) holdsBack(serving Serving, image string) bool {
	state, known := model.tasks[serving.Task]
	return known && (state.emptied || (state.stopped || state.held) && model.suspects(serving, image))
}

// Worst returns the movable filling task that disturbs serving tasks the most, of
// those that have to be slowed so far, by the paces that Paces returned, that they are
// better off elsewhere, and false if there is none.
func (model *Model) Worst(servings []Serving, fills []Fill, paces map[string]float64) (string, bool) {
	task, most := "", 0.0
	for _, fill := range fills {
		if !fill.Movable || paces[fill.Task] >= movedBelow {
			continue
		}
		if blame := model.blame(servings, fill); blame > most {
			task, most = fill.Task, blame
		}
	}
	return task, most > 0
}

// blame returns how much headroom a filling task takes from the serving tasks at full
// pace.
func (model *Model) blame(servings []Serving, fill Fill) float64 {
	blame := 0.0
	for _, serving := range servings {
		blame += model.disturbance(serving.Image, fill.Image) * fill.Cores
	}
	return blame
}
