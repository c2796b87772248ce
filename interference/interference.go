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
	"slices"
	"time"
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
