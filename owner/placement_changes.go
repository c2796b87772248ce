package owner

import (
	"time"

	"ambertiller.example/ambertiller/job"
)

// placementChanges is what has changed since places were last looked for.
//
// A task that has just found no place finds one only where something has changed: at the workers whose room has grown, or
// for a task that was not ready then. So a look goes over the jobs that changed on all workers, and over all
// jobs on the workers that grew; all jobs on all workers once in tickInterval, since pauses, doubts and the patience of jobs end
// without an event. What a look costs follows from what has changed, not from the fleet.
type placementChanges struct {
	jobs    map[*job.Job]bool
	workers map[*agentView]bool
	// full is set where all jobs are to be looked at on all workers; wholeAt is when they last were.
	full       bool
	fullPassAt time.Time
}

func newPlacementChanges() placementChanges {
	return placementChanges{jobs: map[*job.Job]bool{}, workers: map[*agentView]bool{}}
}

// addJob has places looked for the tasks of a job.
func (seen *placementChanges) addJob(made *job.Job) { seen.jobs[made] = true }

// addWorker has places looked for at a worker.
func (seen *placementChanges) addWorker(view *agentView) { seen.workers[view] = true }

// addAll has places looked for all tasks at all workers.
func (seen *placementChanges) addAll() { seen.full = true }

// isDue reports whether places are to be looked for.
func (seen *placementChanges) isDue(now time.Time) bool {
	return seen.full || len(seen.jobs)+len(seen.workers) > 0 || now.Sub(seen.fullPassAt) >= tickInterval
}

// take returns what has changed, and begins anew.
func (seen *placementChanges) take(now time.Time) placementChanges {
	taken := *seen
	*seen = newPlacementChanges()
	seen.fullPassAt = taken.fullPassAt
	taken.full = taken.full || now.Sub(taken.fullPassAt) >= tickInterval
	if taken.full {
		seen.fullPassAt = now
	}
	return taken
}
