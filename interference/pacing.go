package interference

import (
	"cmp"
	"slices"
	"time"
)

const (
	// headroomAtTarget is the headroom of a task whose tail latency equals its target, by definition.
	headroomAtTarget = 1
	// headroomReserve is the headroom that is kept free beyond the target. It covers the noise of readings,
	// which is 0.2, and changes of the load before they appear in a reading.
	headroomReserve = 0.15
	// pacingHorizon is how far ahead levels are extrapolated. A reading is on average a quarter of a second
	// old, and the next one follows after 0.4 s.
	pacingHorizon = 600 * time.Millisecond
	// slackReserve is the headroom that fill tasks with FillTask.HasSlack leave free in addition to
	// headroomReserve. It reduces the time in which serving tasks miss their targets by a tenth, with no
	// noticeable effect on the share of batch work that is in time.
	slackReserve = 0.25
	// minPace is the least pace of a fill task. A task that makes no progress at all can't be distinguished
	// from one that hangs.
	minPace = 0.05
	// evictionPace is the pace below which a fill task should move to another worker.
	evictionPace = 0.6
	// suspectWeight is the weight from which on a fill image may be the cause if a target is missed for long,
	// and missPace the pace to which its tasks are then throttled.
	suspectWeight = 0.1
	missPace      = 0.4
)

// budget returns how much headroom all fill tasks together may take from a serving task now.
func (model *Model) budget(serving ServingTask) float64 {
	level := priorLevel
	if state, found := model.servingTasks[serving.Task]; found {
		current, slope := state.level()
		level = current + min(slope, 0)*pacingHorizon.Seconds()
	}
	return level - headroomAtTarget - headroomReserve
}

// Paces returns the pace of each fill task by task. Tasks that take the most headroom for each core are
// throttled first.
func (model *Model) Paces(servings []ServingTask, fills []FillTask) map[string]float64 {
	paces := map[string]float64{}
	for _, fill := range fills {
		paces[fill.Task] = 1
	}
	for _, serving := range servings {
		model.throttleToTarget(serving, fills, paces)
		if state, found := model.servingTasks[serving.Task]; found {
			model.throttleAfterMiss(serving, state, fills, paces)
		}
	}
	return paces
}

// throttleToTarget reduces paces until the serving task is expected to keep its target. Fill tasks whose jobs
// have slack are throttled earlier than others.
func (model *Model) throttleToTarget(serving ServingTask, fills []FillTask, paces map[string]float64) {
	var withSlack []FillTask
	for _, fill := range fills {
		if fill.HasSlack {
			withSlack = append(withSlack, fill)
		}
	}
	budget := model.budget(serving)
	model.throttleToBudget(budget-slackReserve, serving, fills, withSlack, paces)
	model.throttleToBudget(budget, serving, fills, fills, paces)
}

// throttleToBudget reduces the paces of the throttled tasks, which are some of the fill tasks, until all fill
// tasks together take no more than budget from the headroom of the serving task.
func (model *Model) throttleToBudget(budget float64, serving ServingTask, fills, throttled []FillTask, paces map[string]float64) {
	excess := -budget
	for _, fill := range fills {
		// Weights within noise are included: the estimated level is higher by what is attributed to them.
		excess += model.weight(serving.Image, fill.Image) * fill.Cores * paces[fill.Task]
	}
	for _, fill := range model.sortByWeight(serving, throttled) {
		full := model.significantWeight(serving.Image, fill.Image) * fill.Cores
		if excess <= 0 || full <= 0 {
			return
		}
		pace := max(paces[fill.Task]-excess/full, minPace)
		excess -= (paces[fill.Task] - pace) * full
		paces[fill.Task] = min(paces[fill.Task], pace)
	}
}

// sortByWeight returns the fill tasks sorted by descending weight, then by descending cores.
func (model *Model) sortByWeight(serving ServingTask, fills []FillTask) []FillTask {
	sorted := slices.Clone(fills)
	slices.SortFunc(sorted, func(a, b FillTask) int {
		return cmp.Or(
			cmp.Compare(model.significantWeight(serving.Image, b.Image), model.significantWeight(serving.Image, a.Image)),
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(a.Task, b.Task),
		)
	})
	return sorted
}

// throttleAfterMiss reduces the paces of the fill tasks that may be the cause, or of all fill tasks, if the
// target of a serving task has been missed for long.
func (model *Model) throttleAfterMiss(serving ServingTask, state *servingState, fills []FillTask, paces map[string]float64) {
	for _, fill := range fills {
		isSuspect := model.isSuspect(serving, fill.Image)
		switch {
		case state.allStopped, state.suspectsStopped && isSuspect:
			paces[fill.Task] = minPace
		case state.suspectsThrottled && isSuspect:
			paces[fill.Task] = min(paces[fill.Task], missPace)
		}
	}
}

// isSuspect reports whether tasks of a fill image may be the cause if a serving task misses its target.
func (model *Model) isSuspect(serving ServingTask, image string) bool {
	return model.weight(serving.Image, image) >= suspectWeight
}

// isThrottledAfterMiss reports whether tasks of a fill image are throttled because a serving task has missed
// its target for long.
func (model *Model) isThrottledAfterMiss(serving ServingTask, image string) bool {
	state, found := model.servingTasks[serving.Task]
	return found && (state.allStopped || (state.suspectsStopped || state.suspectsThrottled) && model.isSuspect(serving, image))
}

// IsOverdue reports whether a serving task has missed its target for so long that fill tasks of an image have to
// leave without delay: they are already reduced to the least pace.
func (model *Model) IsOverdue(servings []ServingTask, image string) bool {
	for _, serving := range servings {
		state, found := model.servingTasks[serving.Task]
		if found && (state.allStopped || state.suspectsStopped && model.isSuspect(serving, image)) {
			return true
		}
	}
	return false
}

// EvictionCandidate returns the fill task that should be moved to another worker: the one that takes the most
// headroom from the serving tasks, among the movable tasks whose pace is below evictionPace. The paces are
// those returned by Paces. It returns false if there is no such task.
func (model *Model) EvictionCandidate(servings []ServingTask, fills []FillTask, paces map[string]float64) (string, bool) {
	candidate, most := "", 0.0
	for _, fill := range fills {
		if !fill.Movable || paces[fill.Task] >= evictionPace {
			continue
		}
		if disturbance := model.totalDisturbance(servings, fill); disturbance > most {
			candidate, most = fill.Task, disturbance
		}
	}
	return candidate, most > 0
}

// totalDisturbance returns how much headroom a fill task at full pace takes from all serving tasks together.
func (model *Model) totalDisturbance(servings []ServingTask, fill FillTask) float64 {
	total := 0.0
	for _, serving := range servings {
		total += model.significantWeight(serving.Image, fill.Image) * fill.Cores
	}
	return total
}
