// Package interference estimates how much tasks that fill a worker disturb the
// tasks that serve there, and how fast each may go so that the serving ones keep
// their target tails.
//
// # The model
//
// A serving task behaves like a queue: its tail is in proportion to 1/(1-u) where u
// is how far it is utilised. What it has left, its headroom, is its target divided
// by its tail: in proportion to 1-u, 1 at the target, above 1 below it. Load and
// disturbance add up in u, so the headroom is a level of the task's own, which
// follows its load, less a weight for each pair of images times the cores that the
// filling tasks of that image use. The logarithm of the tail, which an earlier model
// took for the sum, explains less of the readings, and by it every task beside a
// queue that overflows seems to disturb.
//
// Levels and weights are learned together, by a Kalman filter for each serving image:
// levels move by themselves and weights hardly, so that a load that rises is not taken
// for the doing of what happens to run.
//
// A filter is moved on by the time that has passed, then takes in a reading. Only the
// weights that a worker's own readings speak for are told to others, so that none comes
// back as if it had been read twice.
//
// # Decisions
//
// Filling tasks are slowed, those that disturb the most for each core first, until the
// level a moment ahead bears them. If a target is missed all the same, what is done
// goes by how long it has been: first suspects are held back, then they hardly work,
// then nothing that fills does. Places are judged by the level ahead.
//
// # Usage
//
//	model := interference.New(4 * time.Second)
//	model.Observe(servings, fills, now)
//	paces := model.Paces(servings, fills)
//	room := model.Tolerance(servings, fills, image)
//
// Cores are whole cores as a float, tails and targets are in milliseconds, paces
// are shares from 0 to 1, weights are headroom for each core. Nothing fails: what is not
// known is expected to be like what was measured on other pairs. Figures and ways that
// were weighed: docs/MEASUREMENTS.md, "Rounds on interference".
package interference

import (
	"maps"
	"slices"
	"time"
)

// Pair names a serving and a filling image.
type Pair struct{ Serving, Fill string }

// ServingTask is a task that serves, with its newest reading.
type ServingTask struct {
	Task, Image      string
	TailMs, TargetMs float64
}

// headroom returns the target divided by the tail.
func (serving ServingTask) headroom() float64 { return serving.TargetMs / serving.TailMs }

// hasReading reports whether the worker has told a tail of the task yet.
func (serving ServingTask) hasReading() bool { return serving.TailMs > 0 && serving.TargetMs > 0 }

// FillTask is a task that fills: the cores that it uses at full pace and those that it
// used by its newest reading. A movable one goes on elsewhere from where it is
// stopped.
type FillTask struct {
	Task, Image      string
	Cores, UsedCores float64
	Movable          bool
	// HasSlack is set for one whose job has time to spare.
	HasSlack bool
}

// Model learns from the readings of one worker.
type Model struct {
	maxMiss      time.Duration // how long a target may be missed on end
	images       map[string]*imageState
	servingTasks map[string]*servingState
	// presentFills holds the filling tasks of the last reading.
	presentFills map[string]bool
}

// New returns a model that has learned nothing. A target may be missed for the
// allowed time on end.
func New(allowed time.Duration) *Model {
	return &Model{
		maxMiss: allowed,
		images:  map[string]*imageState{}, servingTasks: map[string]*servingState{}, presentFills: map[string]bool{},
	}
}

// FillImages returns the filling images that the model knows.
func (model *Model) FillImages() []string {
	known := map[string]bool{}
	for _, state := range model.images {
		for fill := range state.evidence {
			known[fill] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}
