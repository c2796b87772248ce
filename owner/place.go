package owner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/job"
)

const (
	// rackLabelIndex is the index of the rack in a worker's labels.
	rackLabelIndex = 1
	// minFillIdleRatio is the share of the processors a fill task asks for that must be idle on
	// a worker. With less, the task would hold memory while making hardly any progress.
	minFillIdleRatio = 0.3
	// maxToleranceRatio is the share of the processors a fill task asks for that the serving
	// tasks on a worker must tolerate, as long as its job has time to wait for such a worker.
	// The required share decreases with the slack that the job has left.
	maxToleranceRatio = 1.0
	// fullToleranceSlack is the slack ratio of a job at and above which maxToleranceRatio
	// applies in full.
	fullToleranceSlack = 0.2
	// maxJobIdle is how long a job may have no running task before its fill tasks are placed
	// regardless of tolerance. A job must not be without progress for 3 s while there are free
	// resources.
	maxJobIdle = 1500 * time.Millisecond
	// servingIdleRatio is the share of their reserved processors that serving tasks leave idle
	// on average: they use about two fifths.
	servingIdleRatio = 0.6
)

// candidateSet is the set of workers that a job's tasks may be placed on in one pass.
type candidateSet struct {
	workers []*candidate
	// complete is set if the set has all candidates. Otherwise it has only those that have more
	// free resources since the last pass.
	complete bool
}

// hasReadyTask reports whether any of the jobs has a task that is ready to start.
func (owner *Owner) hasReadyTask(jobs map[*job.Job]bool, now time.Time) bool {
	for j := range jobs {
		for range j.Ready(now) {
			return true
		}
	}
	return false
}

// toleranceRatioFor returns the share of the processors a fill task asks for that the serving tasks on
// a worker must tolerate, for a job with the slack ratio given. For a job without slack it is
// maxToleranceRatio again: the job is late in any case, so slowing serving tasks down would gain
// nothing.
func toleranceRatioFor(slack float64) float64 {
	if slack <= 0 {
		return maxToleranceRatio
	}
	return maxToleranceRatio * min(slack/fullToleranceSlack, 1)
}

// jobsByUrgency returns the jobs that have not ended and may be placed, the most urgent first. They are ordered
// by priority, then long-running jobs before others, then jobs that can still meet their objective before
// late ones, then by objective. Queues that compete for too few workers take turns by their shares instead.
func (owner *Owner) jobsByUrgency(now time.Time) []*job.Job {
	var jobs []*job.Job
	for _, s := range owner.shards {
		if !s.loaded || !owner.mayPlace(s, now) {
			continue
		}
		for _, j := range s.live {
			if !j.HasEnded() {
				jobs = append(jobs, j)
			}
		}
	}
	late := map[*job.Job]bool{}
	for _, j := range jobs {
		late[j] = j.SlackRatio(now) <= 0
	}
	slices.SortFunc(jobs, func(a, b *job.Job) int { return compareUrgency(a, b, late) })
	owner.orderByShares(jobs, now)
	return jobs
}

// compareUrgency compares two jobs for jobsByUrgency. late holds whether a job can no longer meet its
// objective.
func compareUrgency(a, b *job.Job, late map[*job.Job]bool) int {
	if byPriority := int(a.Submission().GetPriority()) - int(b.Submission().GetPriority()); byPriority != 0 {
		return byPriority
	}
	if a.IsLongRunning() != b.IsLongRunning() {
		if a.IsLongRunning() {
			return -1
		}
		return 1
	}
	if late[a] != late[b] {
		if late[a] {
			return 1
		}
		return -1
	}
	if byTime := a.Objective().Compare(b.Objective()); byTime != 0 {
		return byTime
	}
	return strings.Compare(a.ID(), b.ID())
}

// isBetterForServing reports whether a is a better worker than b for a serving task of an image. It
// packs serving tasks of one image onto as few workers as possible. Which fill images disturb a
// serving task depends on its image, so a worker with a single serving image tolerates more fill
// images, and a worker without serving tasks tolerates all.
func isBetterForServing(image string, a, b *candidate) bool {
	if a.servesImage(image) != b.servesImage(image) {
		return a.servesImage(image)
	}
	if a.countOtherImages(image) != b.countOtherImages(image) {
		return a.countOtherImages(image) < b.countOtherImages(image)
	}
	if len(a.servingImages) == 0 && len(b.servingImages) == 0 {
		// Owners that place tasks of one image at the same time choose the same empty
		// worker, without communicating.
		return a.rendezvousScore(image) > b.rendezvousScore(image)
	}
	if a.free.MilliCPU != b.free.MilliCPU {
		return a.free.MilliCPU < b.free.MilliCPU
	}
	return a.view.address < b.view.address
}

// refusalsBeforeSpreading is the number of consecutive refusals for lack of resources after which a
// long-running task prefers workers with ample free resources. It is not done at the first refusal,
// since a worse worker costs more than a refusal.
const refusalsBeforeSpreading = 2

// isBetterAfterRefusals reports whether a is a better worker than b for a long-running task that has
// been refused repeatedly. It prefers workers with twice the resources that the task needs, and
// spreads tasks and attempts over them by hash. Without such a worker it prefers the one with the most
// free processors. A worker's status is a fraction of a second old, and other owners take resources
// that just suffice, so a refused task tends to be refused again on the worker where it fits best.
// Without this rule such a task lost that race for up to 3.6 s in TestRefusedTaskIsPlacedElsewhere, while
// another worker had twice the resources it needed.
func isBetterAfterRefusals(task *job.Task, a, b *candidate) bool {
	roomyA, roomyB := a.fitsTwice(task), b.fitsTwice(task)
	if roomyA != roomyB {
		return roomyA
	}
	if roomyA {
		key := fmt.Sprint(task.Name(), " ", task.Attempt())
		return a.rendezvousScore(key) > b.rendezvousScore(key)
	}
	return a.free.MilliCPU > b.free.MilliCPU
}

// placeJob places the ready tasks of a job on the candidates. It returns false if the budget was spent before all of them
// were considered.
//
// unplaced holds the obstacles of the steps of which a task could not be placed in this pass.
func (owner *Owner) placeJob(j *job.Job, set candidateSet, unplaced map[stepKey]string, budget *placementBudget, now time.Time) bool {
	if len(set.workers) == 0 {
		return true
	}
	begun := false
	for task := range j.Ready(now) {
		if !begun {
			owner.workersExamined += int64(len(set.workers))
			owner.requireTolerance(j, set.workers, now)
			begun = true
		}
		if budget.isSpent() {
			return false
		}
		if !task.Spec().GetGang() {
			owner.placeStepTask(task, unplaced, set, budget, now)
			continue
		}
		if members := j.StepTasks(task); set.complete && members[0] == task && isGangReady(members, now) {
			owner.placeStepGang(members, unplaced, set, budget, now)
		}
	}
	return true
}

// requireTolerance sets the tolerance that fill tasks of a job require of workers.
func (owner *Owner) requireTolerance(j *job.Job, workers []*candidate, now time.Time) {
	ratio := toleranceRatioFor(j.SlackRatio(now))
	if j.IdleFor(now) >= maxJobIdle {
		ratio = 0
	}
	for _, worker := range workers {
		worker.toleranceRatio = ratio
	}
}

// stepKey identifies the tasks of a step of a job in one round. Suspects are kept apart from other
// tasks, because different workers may take them.
type stepKey struct {
	round, step int32
	suspect     bool
}

// placeStepTask places a task, unless another task of its step could not be placed in this pass: all
// tasks of a step have the same requirements. unplaced holds the obstacles of such steps.
//
// Performance: this saves most of the work, since a job may have dozens of waiting tasks in a step, and
// there is a placement pass whenever any worker has more free resources.
func (owner *Owner) placeStepTask(task *job.Task, unplaced map[stepKey]string, set candidateSet, budget *placementBudget, now time.Time) {
	key := stepKey{round: task.Round(), step: task.Step(), suspect: task.IsSuspect()}
	if obstacle, found := unplaced[key]; found {
		if !task.IsUnplaced() {
			task.MarkUnplaced(obstacle, now)
		}
		return
	}
	budget.spendOnTask(len(set.workers))
	if !owner.placeTask(task, set, now) {
		_, unplaced[key] = task.UnplacedFor(now)
	}
}

// placeStepGang places a gang, unless it could not be placed in this pass.
func (owner *Owner) placeStepGang(members []*job.Task, unplaced map[stepKey]string, set candidateSet, budget *placementBudget, now time.Time) {
	key := stepKey{round: members[0].Round(), step: members[0].Step()}
	if _, found := unplaced[key]; found {
		return
	}
	if !owner.placeGang(members, set.workers, budget, now) {
		_, unplaced[key] = members[0].UnplacedFor(now)
	}
}

// bestWorker returns the best worker that may run a task and has the resources for it, or nil.
func (owner *Owner) bestWorker(task *job.Task, workers []*candidate, now time.Time) *candidate {
	var best *candidate
	for _, worker := range workers {
		if !worker.fits(task) || best != nil && !isBetter(task, worker, best) {
			continue
		}
		if _, allowed := owner.ticketFor(task, worker.view.incarnation(), now); allowed {
			best = worker
		}
	}
	return best
}

// placeTask starts a task on the best worker. If there is none, it requests advice for the task's step
// and may order a preemption. It returns false if another task of the step would neither be placed
// nor lead to a preemption in this pass.
func (owner *Owner) placeTask(task *job.Task, set candidateSet, now time.Time) bool {
	best := owner.bestWorker(task, set.workers, now)
	if best != nil && !set.complete && task.HasCrashedWorkerOf(best.view.address) {
		// A worker that has just come back after a crash would take the task again before any other one is considered.
		// The other suspects of the step wait for that too, so that a pass that continues makes progress.
		owner.placementChanges.addJob(task.Job())
		if !task.IsUnplaced() {
			task.MarkUnplaced(string(obstacleSuspect), now)
		}
		return false
	}
	if best != nil {
		owner.startTask(task, best.view, now)
		best.recordStart(task, best.view.runs[task.Name()].demand)
		return true
	}
	if !task.IsUnplaced() {
		task.MarkUnplaced(string(mostCommonObstacle(task, set.workers)), now)
	}
	if set.complete {
		owner.shares.noteUnplaced(task, set.workers, now)
	}
	owner.enqueueAdvice(task, now)
	return set.complete && owner.preemptFor(task, set.workers, now)
}

// isBetter reports whether a is a better worker than b for a task. It prefers a worker near the task's
// data, then the one with the most idle processors. That keeps serving tasks apart from fill tasks and
// leaves free resources on every worker. Suspects, serving tasks, fill tasks and long-running tasks
// that have been refused are compared by additional rules.
func isBetter(task *job.Task, a, b *candidate) bool {
	if order := compareForSuspect(task, a, b); order != 0 {
		return order < 0
	}
	if a.isNearData(task) != b.isNearData(task) {
		return a.isNearData(task)
	}
	image := task.Spec().GetImage()
	if task.Spec().GetLasting() && task.Refusals() >= refusalsBeforeSpreading {
		return isBetterAfterRefusals(task, a, b)
	}
	if task.Spec().GetTargetMs() > 0 {
		return isBetterForServing(image, a, b)
	}
	if task.Spec().GetFills() {
		if a.toleratedMilliCPU(image) != b.toleratedMilliCPU(image) {
			return a.toleratedMilliCPU(image) > b.toleratedMilliCPU(image)
		}
	}
	if a.idleMilliCPU() != b.idleMilliCPU() {
		return a.idleMilliCPU() > b.idleMilliCPU()
	}
	return a.view.address < b.view.address
}
