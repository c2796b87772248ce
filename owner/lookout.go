package owner

import (
	"time"

	"ambertiller.example/ambertiller/job"
)

// lookout is what has changed since places were last looked for.
//
// A task that has just found no place finds one only where something has changed: at the workers whose room has grown, or
// for a task that was not ready then. So a look goes over the jobs that changed on all workers, and over all
// jobs on the workers that grew; all jobs on all workers once in tickInterval, since pauses, doubts and the patience of jobs end
// without an event. What a look costs follows from what has changed, not from the fleet.
type lookout struct {
	jobs    map[*job.Job]bool
	workers map[*agentView]bool
	// whole is set where all jobs are to be looked at on all workers; wholeAt is when they last were.
	whole   bool
	wholeAt time.Time
}

func newLookout() lookout {
	return lookout{jobs: map[*job.Job]bool{}, workers: map[*agentView]bool{}}
}

// noteJob has places looked for the tasks of a job.
func (seen *lookout) noteJob(made *job.Job) { seen.jobs[made] = true }

// noteRoom has places looked for at a worker.
func (seen *lookout) noteRoom(view *agentView) { seen.workers[view] = true }

// noteAll has places looked for all tasks at all workers.
func (seen *lookout) noteAll() { seen.whole = true }

// due reports whether places are to be looked for.
func (seen *lookout) due(now time.Time) bool {
	return seen.whole || len(seen.jobs)+len(seen.workers) > 0 || now.Sub(seen.wholeAt) >= tickInterval
}

// take returns what has changed, and begins anew.
func (seen *lookout) take(now time.Time) lookout {
	taken := *seen
	*seen = newLookout()
	seen.wholeAt = taken.wholeAt
	taken.whole = taken.whole || now.Sub(taken.wholeAt) >= tickInterval
	if taken.whole {
		seen.wholeAt = now
	}
	return taken
}
