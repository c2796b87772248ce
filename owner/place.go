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
	// rackLabel is the place of the rack among a worker's labels.
	rackLabel = 1
	// fillShare is how much of what it asks for a filling task should find
	// unused, lest it holds memory without getting on.
	fillShare = 0.3
	// tolerableShare is how much of what it asks for a filling task should be
	// able to use without harm to serving tasks, while its job has time to wait
	// for such a place. It sinks with the time that the job has left.
	tolerableShare = 1.0
	// patientSlack is the share of its spare time that a job has left from
	// which on the whole of tolerableShare is asked for.
	patientSlack = 0.2
	// idleMost is how long a job may have nothing running for want of a place
	// that bears it; a job must not stand still for 3 s while there is room.
	idleMost = 1500 * time.Millisecond
	// servingUnused is the part of what serving tasks hold that they leave
	// unused on average: their load is about two fifths of it.
	servingUnused = 0.6
)

// place starts the tasks that may start, the most urgent job first, as far as something has changed for them.
func (owner *Owner) place(since lookout, now time.Time) {
	var everywhere, grown []*candidate
	if since.whole || owner.anyReady(since.jobs, now) {
		everywhere = owner.candidates(owner.views(), now)
		grown = slices.DeleteFunc(slices.Clone(everywhere), func(worker *candidate) bool { return !since.workers[worker.view] })
	} else {
		grown = owner.candidates(maps.Keys(since.workers), now)
	}
	if len(everywhere)+len(grown) == 0 {
		return
	}
	for _, made := range owner.urgent(now) {
		among := choice{workers: grown}
		if since.whole || since.jobs[made] {
			among = choice{workers: everywhere, all: true}
		}
		owner.placeJob(made, among, now)
	}
}

// choice is the workers among which places are looked for.
type choice struct {
	workers []*candidate
	// all is set unless others were looked at before, and have not changed since.
	all bool
}

// anyReady reports whether a job has a task to start.
func (owner *Owner) anyReady(jobs map[*job.Job]bool, now time.Time) bool {
	for made := range jobs {
		if len(made.ReadyTasks(now)) > 0 {
			return true
		}
	}
	return false
}

// patienceOf returns the share that a filling task of a job should find tolerated.
// A job that is late all the same gains nothing by harm to others.
func patienceOf(slack float64) float64 {
	if slack <= 0 {
		return tolerableShare
	}
	return tolerableShare * min(slack/patientSlack, 1)
}

// urgent returns the jobs with tasks to start: by priority, then those that last,
// then those that can still meet their objective, then by objective.
func (owner *Owner) urgent(now time.Time) []*job.Job {
	var waiting []*job.Job
	for _, held := range owner.shards {
		if !held.active {
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
	slices.SortFunc(waiting, func(a, b *job.Job) int { return byUrgency(a, b, late) })
	return waiting
}

// byUrgency compares two jobs of which late tells whether they can still meet
// their objective.
func byUrgency(a, b *job.Job, late map[*job.Job]bool) int {
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

// betterToServe keeps serving tasks of one image together, on as few workers as
// hold them. Which filling images disturb depends on the serving one, so a worker
// with one kind bears more kinds of filling ones, and one without any bears all.
func betterToServe(image string, a, b *candidate) bool {
	if a.serves(image) != b.serves(image) {
		return a.serves(image)
	}
	if a.strangers(image) != b.strangers(image) {
		return a.strangers(image) < b.strangers(image)
	}
	if len(a.serving) == 0 && len(b.serving) == 0 {
		// Owners that place tasks of one image at the same moment choose the
		// same empty worker without having spoken.
		return a.rankFor(image) > b.rankFor(image)
	}
	if a.free.MilliCPU != b.free.MilliCPU {
		return a.free.MilliCPU < b.free.MilliCPU
	}
	return a.view.address < b.view.address
}

// refusalsBorne is how often in a row a lasting task is refused for room before it looks for
// more than what just suffices: places that are not the best cost more than a refusal.
const refusalsBorne = 2

// betterOnceRefused prefers workers with room for a task twice over, of these a different
// one for each task and attempt, and else the one with the most room. What is heard of a
// worker is some of a second old, and other owners take what just suffices: a task that
// was refused tends to be refused again where it fits best. A task that lasts lost that
// race for up to 3.6 s in the package's test, with room for it twice over elsewhere.
func betterOnceRefused(task *job.Task, a, b *candidate) bool {
	roomyA, roomyB := a.fitsTwice(task), b.fitsTwice(task)
	if roomyA != roomyB {
		return roomyA
	}
	if roomyA {
		trial := fmt.Sprint(task.Name(), " ", task.Attempt())
		return a.rankFor(trial) > b.rankFor(trial)
	}
	return a.free.MilliCPU > b.free.MilliCPU
}

// placeJob starts the tasks of a job that may start.
func (owner *Owner) placeJob(made *job.Job, among choice, now time.Time) {
	if len(among.workers) == 0 {
		return
	}
	ready := made.ReadyTasks(now)
	if len(ready) == 0 {
		return
	}
	owner.looked += int64(len(among.workers))
	patience := patienceOf(made.SlackRatio(now))
	if made.IdleFor(now) >= idleMost {
		patience = 0
	}
	for _, worker := range among.workers {
		worker.patience = patience
	}
	placeless := map[stepOf]string{}
	for _, task := range ready {
		if !task.Spec().GetGang() {
			owner.placeMember(task, placeless, among, now)
			continue
		}
		if members := gangOf(task, ready); among.all && members != nil && members[0] == task {
			owner.placeGang(members, among.workers, now)
		}
	}
}

// stepOf names a step of a job in one of its rounds, and its suspects apart from the others.
type stepOf struct {
	round, step int32
	suspect     bool
}

// placeMember starts a task unless another one of its step has just found no place: all
// of them ask for the same.
//
// Performance: a job may wait with dozens of tasks of a step, and places are looked for
// each time that any worker's room grows.
func (owner *Owner) placeMember(task *job.Task, placeless map[stepOf]string, among choice, now time.Time) {
	of := stepOf{round: task.Round(), step: task.Step(), suspect: task.IsSuspect()}
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

// bestOf returns the best worker for a task, or nil.
func (owner *Owner) bestOf(task *job.Task, workers []*candidate, now time.Time) *candidate {
	var best *candidate
	for _, worker := range workers {
		if !worker.fits(task) || best != nil && !better(task, worker, best) {
			continue
		}
		if _, allowed := owner.ticket(task, worker.view.incarnation(), now); allowed {
			best = worker
		}
	}
	return best
}

// placeTask starts a task on the best worker there is, if any. It reports false where
// another task of the step would not find a place either, nor a worker that can make room.
func (owner *Owner) placeTask(task *job.Task, among choice, now time.Time) bool {
	best := owner.bestOf(task, among.workers, now)
	if best != nil {
		owner.start(task, best.view, now)
		best.place(task, best.view.runs[task.Name()].demand)
		return true
	}
	if !task.IsUnplaced() {
		task.MarkUnplaced(string(mainObstacle(task, among.workers)), now)
	}
	owner.wantAdvice(task, now)
	return among.all && owner.preemptFor(task, among.workers, now)
}

// better prefers a worker near the data, then the one with the most idle
// processors, which both keeps tasks that serve apart from those that fill and
// leaves room everywhere.
func better(task *job.Task, a, b *candidate) bool {
	if order := compareForSuspect(task, a, b); order != 0 {
		return order < 0
	}
	if a.near(task) != b.near(task) {
		return a.near(task)
	}
	image := task.Spec().GetImage()
	if task.Spec().GetLasting() && task.Refusals() >= refusalsBorne {
		return betterOnceRefused(task, a, b)
	}
	if task.Spec().GetTargetMs() > 0 {
		return betterToServe(image, a, b)
	}
	if task.Spec().GetFills() {
		if a.tolerates(image) != b.tolerates(image) {
			return a.tolerates(image) > b.tolerates(image)
		}
	}
	if a.idle() != b.idle() {
		return a.idle() > b.idle()
	}
	return a.view.address < b.view.address
}
