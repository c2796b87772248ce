package owner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/job"
)

const (
	// rackLabelIndex is the place of the rack among a worker's labels.
	rackLabelIndex = 1
	// minFillIdleRatio is how much of what it asks for a filling task should find
	// unused, lest it holds memory without getting on.
	minFillIdleRatio = 0.3
	// maxToleranceRatio is how much of what it asks for a filling task should be
	// able to use without harm to serving tasks, while its job has time to wait
	// for such a place. It sinks with the time that the job has left.
	maxToleranceRatio = 1.0
	// fullToleranceSlack is the share of its spare time that a job has left from
	// which on the whole of maxToleranceRatio is asked for.
	fullToleranceSlack = 0.2
	// maxJobIdle is how long a job may have nothing running for want of a place
	// that bears it; a job must not stand still for 3 s while there is room.
	maxJobIdle = 1500 * time.Millisecond
	// servingIdleRatio is the part of what serving tasks hold that they leave
	// unused on average: their load is about two fifths of it.
	servingIdleRatio = 0.6
)

// placeJobs starts the tasks that may start, the most urgent job first, as far as something has changed for them.
func (owner *Owner) placeJobs(since placementChanges, now time.Time) {
	var everywhere, grown []*candidate
	if since.full || owner.hasReadyTask(since.jobs, now) {
		everywhere = owner.candidates(owner.agentViews(), now)
		grown = slices.DeleteFunc(slices.Clone(everywhere), func(worker *candidate) bool { return !since.workers[worker.view] })
	} else {
		grown = owner.candidates(maps.Keys(since.workers), now)
	}
	if len(everywhere)+len(grown) == 0 {
		return
	}
	for _, made := range owner.jobsByUrgency(now) {
		among := candidateSet{workers: grown}
		if since.full || since.jobs[made] {
			among = candidateSet{workers: everywhere, complete: true}
		}
		owner.placeJob(made, among, now)
	}
}

// candidateSet is the workers among which places are looked for.
type candidateSet struct {
	workers []*candidate
	// complete is set unless others were looked at before, and have not changed since.
	complete bool
}

// hasReadyTask reports whether a job has a task to start.
func (owner *Owner) hasReadyTask(jobs map[*job.Job]bool, now time.Time) bool {
	for made := range jobs {
		if len(made.ReadyTasks(now)) > 0 {
			return true
		}
	}
	return false
}

// toleranceRatioFor returns the share that a filling task of a job should find tolerated.
// A job that is late all the same gains nothing by harm to others.
func toleranceRatioFor(slack float64) float64 {
	if slack <= 0 {
		return maxToleranceRatio
	}
	return maxToleranceRatio * min(slack/fullToleranceSlack, 1)
}

// jobsByUrgency returns the jobs with tasks to start: by priority, then those that last,
// then those that can still meet their objective, then by objective.
func (owner *Owner) jobsByUrgency(now time.Time) []*job.Job {
	var waiting []*job.Job
	for _, held := range owner.shards {
		if !held.loaded {
			continue
		}
		for _, made := range held.live {
			if !made.HasEnded() {
				waiting = append(waiting, made)
			}
		}
	}
	late := map[*job.Job]bool{}
	for _, made := range waiting {
		late[made] = made.SlackRatio(now) <= 0
	}
	slices.SortFunc(waiting, func(a, b *job.Job) int { return compareUrgency(a, b, late) })
	return waiting
}

// compareUrgency compares two jobs of which late tells whether they can still meet
// their objective.
func compareUrgency(a, b *job.Job, late map[*job.Job]bool) int {
	if byPriority := int(a.Submission().GetPriority()) - int(b.Submission().GetPriority()); byPriority != 0 {
		return byPriority
	}
	if a.IsLasting() != b.IsLasting() {
		if a.IsLasting() {
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

// isBetterForServing keeps serving tasks of one image together, on as few workers as
// hold them. Which filling images disturb depends on the serving one, so a worker
// with one kind bears more kinds of filling ones, and one without any bears all.
func isBetterForServing(image string, a, b *candidate) bool {
	if a.servesImage(image) != b.servesImage(image) {
		return a.servesImage(image)
	}
	if a.countOtherImages(image) != b.countOtherImages(image) {
		return a.countOtherImages(image) < b.countOtherImages(image)
	}
	if len(a.servingImages) == 0 && len(b.servingImages) == 0 {
		// Owners that place tasks of one image at the same moment choose the
		// same empty worker without having spoken.
		return a.rendezvousScore(image) > b.rendezvousScore(image)
	}
	if a.free.MilliCPU != b.free.MilliCPU {
		return a.free.MilliCPU < b.free.MilliCPU
	}
	return a.view.address < b.view.address
}

// refusalsBeforeSpreading is how often in a row a lasting task is refused for room before it looks for
// more than what just suffices: places that are not the best cost more than a refusal.
const refusalsBeforeSpreading = 2

// isBetterAfterRefusals prefers workers with room for a task twice over, of these a different
// one for each task and attempt, and else the one with the most room. What is heard of a
// worker is some of a second old, and other owners take what just suffices: a task that
// was refused tends to be refused again where it fits best. A task that lasts lost that
// race for up to 3.6 s in the package's test, with room for it twice over elsewhere.
func isBetterAfterRefusals(task *job.Task, a, b *candidate) bool {
	roomyA, roomyB := a.fitsTwice(task), b.fitsTwice(task)
	if roomyA != roomyB {
		return roomyA
	}
	if roomyA {
		trial := fmt.Sprint(task.Name(), " ", task.Attempt())
		return a.rendezvousScore(trial) > b.rendezvousScore(trial)
	}
	return a.free.MilliCPU > b.free.MilliCPU
}

// placeJob starts the tasks of a job that may start.
func (owner *Owner) placeJob(made *job.Job, among candidateSet, now time.Time) {
	if len(among.workers) == 0 {
		return
	}
	ready := made.ReadyTasks(now)
	if len(ready) == 0 {
		return
	}
	owner.workersExamined += int64(len(among.workers))
	patience := toleranceRatioFor(made.SlackRatio(now))
	if made.IdleFor(now) >= maxJobIdle {
		patience = 0
	}
	for _, worker := range among.workers {
		worker.toleranceRatio = patience
	}
	placeless := map[stepKey]string{}
	for _, task := range ready {
		if !task.Spec().GetGang() {
			owner.placeStepTask(task, placeless, among, now)
			continue
		}
		if members := readyGang(task, ready); among.complete && members != nil && members[0] == task {
			owner.placeGang(members, among.workers, now)
		}
	}
}

// stepKey names a step of a job in one of its rounds, and its suspects apart from the others.
type stepKey struct {
	round, step int32
	suspect     bool
}

// placeStepTask starts a task unless another one of its step has just found no place: all
// of them ask for the same.
//
// Performance: a job may wait with dozens of tasks of a step, and places are looked for
// each time that any worker's room grows.
func (owner *Owner) placeStepTask(task *job.Task, placeless map[stepKey]string, among candidateSet, now time.Time) {
	of := stepKey{round: task.Round(), step: task.Step(), suspect: task.IsSuspect()}
	if obstacle, found := placeless[of]; found {
		if !task.IsUnplaced() {
			task.MarkUnplaced(obstacle, now)
		}
		return
	}
	if !owner.placeTask(task, among, now) {
		_, placeless[of] = task.UnplacedFor(now)
	}
}

// bestWorker returns the best worker for a task, or nil.
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

// placeTask starts a task on the best worker there is, if any. It reports false where
// another task of the step would not find a place either, nor a worker that can make room.
func (owner *Owner) placeTask(task *job.Task, among candidateSet, now time.Time) bool {
	best := owner.bestWorker(task, among.workers, now)
	if best != nil {
		owner.startTask(task, best.view, now)
		best.recordStart(task, best.view.runs[task.Name()].demand)
		return true
	}
	if !task.IsUnplaced() {
		task.MarkUnplaced(string(mostCommonObstacle(task, among.workers)), now)
	}
	owner.enqueueAdvice(task, now)
	return among.complete && owner.preemptFor(task, among.workers, now)
}

// isBetter prefers a worker near the data, then the one with the most idle
// processors, which both keeps tasks that serve apart from those that fill and
// leaves room everywhere.
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
