package owner

import (
	"maps"
	"slices"
	"time"

	"ambertiller.example/ambertiller/job"
)

// placementPass is one placement pass: it considers the tasks of all jobs, the most urgent job first. A pass that has
// spent its budget continues in the next turn of the event loop, so that joins, answers to gateways and messages of agents
// don't wait for it, however many tasks and workers there are.
type placementPass struct {
	changes placementChanges
	jobs    []*job.Job // those that remain
	// unplaced holds the steps of the first of these jobs of which a task could not be placed, with the obstacle. They are
	// not examined again when the pass continues.
	unplaced map[stepKey]string
}

// placementBudget bounds how much of a placement pass is done in one turn of the event loop.
type placementBudget struct{ remaining int }

const (
	// turnBudget is the placement work of one turn, counted in workers examined for a task.
	turnBudget = 20_000
	// taskWork is what a task costs beside the workers examined for it, in the same unit: a task that is placed is logged,
	// stored and ordered.
	taskWork = 50
)

// isSpent reports whether the rest of the pass has to wait for the next turn.
func (budget *placementBudget) isSpent() bool { return budget.remaining <= 0 }

// spendOnTask accounts for examining workers for a task.
func (budget *placementBudget) spendOnTask(workers int) { budget.remaining -= taskWork + workers }

// placeDue begins a placement pass if one is due and none is in progress, and does as much of it as fits a turn.
func (owner *Owner) placeDue(now time.Time) {
	if owner.pass == nil {
		if !owner.placementChanges.isDue(now) {
			return
		}
		owner.pass = owner.newPlacementPass(owner.placementChanges.take(now), now)
	}
	owner.continuePass(now)
	if owner.pass != nil {
		owner.eventLoop.Wake()
	}
}

// newPlacementPass returns a pass over the jobs and workers in changes.
func (owner *Owner) newPlacementPass(changes placementChanges, now time.Time) *placementPass {
	return &placementPass{changes: changes, jobs: owner.jobsByUrgency(now), unplaced: map[stepKey]string{}}
}

// continuePass continues the pass in progress within the budget of one turn. A job that is only partly considered is the
// first one of the next turn. Each turn makes progress: a task that was considered is started or its step is in unplaced.
func (owner *Owner) continuePass(now time.Time) {
	pass := owner.pass
	sets := owner.candidateSets(pass.changes, now)
	if len(sets.all)+len(sets.grown) == 0 {
		owner.pass = nil
		return
	}
	budget := &placementBudget{remaining: turnBudget}
	for len(pass.jobs) > 0 {
		j := pass.jobs[0]
		if owner.isPlaceable(j, now) && !owner.placeJob(j, sets.forJob(j, pass.changes), pass.unplaced, budget, now) {
			return
		}
		pass.jobs = pass.jobs[1:]
		clear(pass.unplaced)
	}
	owner.pass = nil
}

// isPlaceable reports whether tasks of a job of a pass may still be placed: its shard may have been released since.
func (owner *Owner) isPlaceable(j *job.Job, now time.Time) bool {
	s, owned := owner.shards[j.Shard()]
	return owned && s.loaded && s.live[j.ID()] == j && !j.HasEnded() && owner.mayPlace(s, now)
}

// candidateSets holds the candidates of one turn of a pass: all of them, if any job needs these, and those that have more
// free resources since the last pass.
type candidateSets struct{ all, grown []*candidate }

// candidateSets returns the candidates for a pass over changes.
func (owner *Owner) candidateSets(changes placementChanges, now time.Time) candidateSets {
	if !changes.full && !owner.hasReadyTask(changes.jobs, now) {
		return candidateSets{grown: owner.candidates(maps.Keys(changes.workers), now)}
	}
	all := owner.candidates(owner.agentViews(), now)
	grown := slices.DeleteFunc(slices.Clone(all), func(worker *candidate) bool { return !changes.workers[worker.view] })
	return candidateSets{all: all, grown: grown}
}

// forJob returns the candidates to consider for a job.
func (sets candidateSets) forJob(j *job.Job, changes placementChanges) candidateSet {
	if changes.full || changes.jobs[j] {
		return candidateSet{workers: sets.all, complete: true}
	}
	return candidateSet{workers: sets.grown}
}
