package interference

import (
	"cmp"
	"slices"
	"time"
)

const (
	// headroomAtTarget is the headroom of a task whose tail is its target, by definition.
	headroomAtTarget = 1
	// headroomReserve is the headroom that is kept beyond the target: for the noise of
	// readings, which is 0.2, and what a load does within their lag.
	headroomReserve = 0.15
	// pacingHorizon is how far ahead levels are looked at: a reading is a quarter of a
	// second old on average and the next one comes 0.4 s later.
	pacingHorizon = 600 * time.Millisecond
	// slackReserve is kept besides by tasks whose jobs have time to spare, or are late
	// whatever is done: measured on 72 days, serving tasks miss their targets for a tenth
	// less of the time, and no less of the batch work is in time than the days vary.
	slackReserve = 0.25
	// minPace keeps a filling task going: one that stands still looks like
	// one that hangs.
	minPace = 0.05
	// evictionPace is the pace below which a filling task is better off elsewhere.
	evictionPace = 0.6
	// suspectWeight is from which weight a filling task is held back while a
	// target is missed for long, and missPace is how far.
	suspectWeight = 0.1
	missPace      = 0.4
)

// budget is the headroom that filling tasks may take from a serving task now.
func (model *Model) budget(serving ServingTask) float64 {
	level := priorLevel
	if state, known := model.servingTasks[serving.Task]; known {
		present, slope := state.level()
		level = present + min(slope, 0)*pacingHorizon.Seconds()
	}
	return level - headroomAtTarget - headroomReserve
}

// Paces returns how fast each filling task may go, by task. The tasks that
// disturb most for each core are slowed first.
func (model *Model) Paces(servings []ServingTask, fills []FillTask) map[string]float64 {
	paces := map[string]float64{}
	for _, fill := range fills {
		paces[fill.Task] = 1
	}
	for _, serving := range servings {
		model.throttleToTarget(serving, fills, paces)
		if state, known := model.servingTasks[serving.Task]; known {
			model.throttleAfterMiss(serving, state, fills, paces)
		}
	}
	return paces
}

// throttleToTarget lowers paces until the serving task is expected to keep its target. Tasks whose
// jobs have time to spare yield earlier than others.
func (model *Model) throttleToTarget(serving ServingTask, fills []FillTask, paces map[string]float64) {
	var relaxed []FillTask
	for _, fill := range fills {
		if fill.HasSlack {
			relaxed = append(relaxed, fill)
		}
	}
	budget := model.budget(serving)
	model.throttleToBudget(budget-slackReserve, serving, fills, relaxed, paces)
	model.throttleToBudget(budget, serving, fills, fills, paces)
}

// throttleToBudget lowers the paces of some of the filling tasks until all of them together
// take no more than a budget of headroom from the serving task.
func (model *Model) throttleToBudget(budget float64, serving ServingTask, fills, slowed []FillTask, paces map[string]float64) {
	over := -budget
	for _, fill := range fills {
		// Also what is within noise: what it is said to take was added to the level.
		over += model.weight(serving.Image, fill.Image) * fill.Cores * paces[fill.Task]
	}
	for _, fill := range model.sortByWeight(serving, slowed) {
		full := model.significantWeight(serving.Image, fill.Image) * fill.Cores
		if over <= 0 || full <= 0 {
			return
		}
		pace := max(paces[fill.Task]-over/full, minPace)
		over -= (paces[fill.Task] - pace) * full
		paces[fill.Task] = min(paces[fill.Task], pace)
	}
}

// sortByWeight orders filling tasks by how much they disturb for each core.
func (model *Model) sortByWeight(serving ServingTask, fills []FillTask) []FillTask {
	worst := slices.Clone(fills)
	slices.SortFunc(worst, func(a, b FillTask) int {
		return cmp.Or(
			cmp.Compare(model.significantWeight(serving.Image, b.Image), model.significantWeight(serving.Image, a.Image)),
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(a.Task, b.Task),
		)
	})
	return worst
}

// throttleAfterMiss lowers the paces of the tasks that may disturb a serving task, or of all,
// once its target has been missed for long.
func (model *Model) throttleAfterMiss(serving ServingTask, state *servingState, fills []FillTask, paces map[string]float64) {
	for _, fill := range fills {
		suspect := model.isSuspect(serving, fill.Image)
		switch {
		case state.allStopped, state.suspectsStopped && suspect:
			paces[fill.Task] = minPace
		case state.suspectsThrottled && suspect:
			paces[fill.Task] = min(paces[fill.Task], missPace)
		}
	}
}

// isSuspect reports whether an image may be what makes a serving task miss its target.
func (model *Model) isSuspect(serving ServingTask, image string) bool {
	return model.weight(serving.Image, image) >= suspectWeight
}

// isThrottledAfterMiss reports whether tasks of an image are held back for a serving task that has
// missed its target for long.
func (model *Model) isThrottledAfterMiss(serving ServingTask, image string) bool {
	state, known := model.servingTasks[serving.Task]
	return known && (state.allStopped || (state.suspectsStopped || state.suspectsThrottled) && model.isSuspect(serving, image))
}

// EvictionCandidate returns the movable filling task that disturbs serving tasks the most, of
// those that have to be slowed so far, by the paces that Paces returned, that they are
// better off elsewhere, and false if there is none.
func (model *Model) EvictionCandidate(servings []ServingTask, fills []FillTask, paces map[string]float64) (string, bool) {
	task, most := "", 0.0
	for _, fill := range fills {
		if !fill.Movable || paces[fill.Task] >= evictionPace {
			continue
		}
		if blame := model.totalDisturbance(servings, fill); blame > most {
			task, most = fill.Task, blame
		}
	}
	return task, most > 0
}

// totalDisturbance returns how much headroom a filling task takes from the serving tasks at full
// pace.
func (model *Model) totalDisturbance(servings []ServingTask, fill FillTask) float64 {
	blame := 0.0
	for _, serving := range servings {
		blame += model.significantWeight(serving.Image, fill.Image) * fill.Cores
	}
	return blame
}
