// Package interference estimates how much the fill tasks on a worker slow down its serving tasks, and decides
// how fast each fill task may run so that the serving tasks keep their latency targets.
//
// A serving task handles requests and has a target for its tail latency. A fill task is a batch task that
// runs on the processor time that other tasks leave unused. Both share the hardware of the worker, so a fill
// task may increase the tail latency of a serving task. A reading is what the worker reports about its tasks:
// the tail latencies of the serving tasks and the processor usage of the fill tasks.
//
// # Model
//
// A serving task is modeled as a queue with utilization u, whose tail latency is proportional to 1/(1-u).
// The headroom of the task is its target divided by its tail latency. It is proportional to 1-u, 1 at the
// target and greater than 1 below the target. Load and interference add up in u, so the headroom is a linear
// combination:
//
//	headroom = level - sum over fill images(weight * cores)
//
// The level belongs to the serving task and follows its load. The weight is the headroom that each core takes
// away; it depends on the serving image and the fill image. Cores is what the tasks of the fill image use.
//
// A model that adds up contributions to the logarithm of the tail latency explains less of the readings. It
// also attributes interference to every fill task that runs beside an overloaded serving task.
//
// Levels and weights are estimated together by a Kalman filter for each serving image. The filter lets levels
// change by themselves and weights hardly at all, so that an increase in load is not attributed to the fill
// tasks that happen to run at the time.
//
// For each reading, the filter is first advanced by the elapsed time and then updated. Workers exchange their
// estimates of weights, but each of them reports only what its own readings contribute. Otherwise a reading
// could come back from other workers and be counted twice.
//
// # Decisions
//
// Fill tasks are throttled, starting with those of the greatest weight, until the level expected a moment
// ahead leaves enough headroom. If a target is missed nevertheless, the reaction depends on how long the miss
// lasts: first, fill tasks that may be the cause are throttled, then they are reduced to the minimum pace,
// and finally all fill tasks are. The tolerance for further fill tasks is derived from the level expected
// while a new task would run.
//
// # Usage
//
//	model := interference.New(4 * time.Second)
//	model.Observe(servings, fills, now)
//	paces := model.Paces(servings, fills)
//	tolerated := model.Tolerance(servings, fills, image)
//
// Processor usage is in cores, tail latencies and targets are in milliseconds, paces are fractions of full
// speed from 0 to 1, and weights are headroom for each core. No function returns an error: unknown pairs of
// images are assumed to behave like the pairs that have been measured. Measurements and alternatives that
// were considered are in docs/MEASUREMENTS.md, "Rounds on interference".
package interference

import (
	"maps"
	"slices"
	"time"
)

// Pair is a serving image and a fill image, for which a weight is estimated.
type Pair struct{ Serving, Fill string }

// ServingTask is a serving task with its latest reading. TailMs is 0 before the first one.
type ServingTask struct {
	Task, Image      string
	TailMs, TargetMs float64
}

// headroom returns the target divided by the tail latency.
func (serving ServingTask) headroom() float64 { return serving.TargetMs / serving.TailMs }

// hasReading reports whether the worker has reported a tail latency for the task.
func (serving ServingTask) hasReading() bool { return serving.TailMs > 0 && serving.TargetMs > 0 }

// FillTask is a fill task with its latest reading.
type FillTask struct {
	Task, Image string
	// Cores is what the task uses at full pace, UsedCores what it used according to the latest reading.
	Cores, UsedCores float64
	// Movable is set if the task can be stopped and can continue on another worker from where it was stopped.
	Movable bool
	// HasSlack is set if the job of the task would still be in time if the task ran slower, or will be late
	// in any case. Such tasks are throttled before others.
	HasSlack bool
}

// Model learns from the readings of one worker. It is not safe for concurrent use.
type Model struct {
	maxMiss      time.Duration            // how long a target may be missed without interruption
	images       map[string]*imageState   // by serving image
	servingTasks map[string]*servingState // by task
	// presentFills is the set of fill tasks in the latest reading.
	presentFills map[string]bool
}

// New returns a model without any readings. Targets may be missed for up to maxMiss without interruption.
func New(maxMiss time.Duration) *Model {
	return &Model{
		maxMiss: maxMiss,
		images:  map[string]*imageState{}, servingTasks: map[string]*servingState{}, presentFills: map[string]bool{},
	}
}

// FillImages returns the fill images for which the model has an estimate, sorted.
func (model *Model) FillImages() []string {
	images := map[string]bool{}
	for _, state := range model.images {
		for fill := range state.evidence {
			images[fill] = true
		}
	}
	return slices.Sorted(maps.Keys(images))
}
