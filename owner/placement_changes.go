package owner

import (
	"time"

	"ambertiller.example/ambertiller/job"
)

// placementChanges records what has changed since the last placement pass.
//
// A task that could not be placed in the last pass can only be placed now if something has changed: a
// worker has more free resources, or the task was not ready then. A pass therefore considers all
// workers for the jobs that have changed, and only the workers with more free resources for all other
// jobs. Its cost depends on what has changed, not on the size of the fleet. Once per tickInterval a
// full pass considers all workers for all jobs, because backoffs and probations end, and
// the tolerance that fill tasks require changes, without an event.
type placementChanges struct {
	jobs    map[*job.Job]bool
	workers map[*agentView]bool
	// full is set if the next pass has to consider all workers for all jobs. fullPassAt is the time
	// of the last full pass.
	full       bool
	fullPassAt time.Time
}

func newPlacementChanges() placementChanges {
	return placementChanges{jobs: map[*job.Job]bool{}, workers: map[*agentView]bool{}}
}

// addJob records that a job may have new tasks to place.
func (changes *placementChanges) addJob(changed *job.Job) { changes.jobs[changed] = true }

// addWorker records that an agent's worker may have more free resources.
func (changes *placementChanges) addWorker(view *agentView) { changes.workers[view] = true }

// addAll requests a full pass.
func (changes *placementChanges) addAll() { changes.full = true }

// isDue reports whether a placement pass is due.
func (changes *placementChanges) isDue(now time.Time) bool {
	return changes.full || len(changes.jobs)+len(changes.workers) > 0 || now.Sub(changes.fullPassAt) >= tickInterval
}

// take returns the changes recorded so far and resets them. The pass is full if one was requested
// or the last one was at least tickInterval ago.
func (changes *placementChanges) take(now time.Time) placementChanges {
	taken := *changes
	*changes = newPlacementChanges()
	changes.fullPassAt = taken.fullPassAt
	taken.full = taken.full || now.Sub(taken.fullPassAt) >= tickInterval
	if taken.full {
		changes.fullPassAt = now
	}
	return taken
}
