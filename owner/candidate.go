package owner

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// candidate is a worker that tasks may be placed on during one placement pass. It accounts for
// the resources of the runs that the agent's status does not include yet.
//
// Two kinds of tasks share the processors of a worker. A fill task ([job.StepSpec.Fills]) uses
// processors that other tasks leave idle and reserves none. Every other task reserves the
// processors that it asks for; it is a serving task if it has a latency target
// ([job.StepSpec.TargetMs]). Fill tasks may slow serving tasks down, so they are placed only where
// the serving tasks tolerate them.
type candidate struct {
	view            *agentView
	free            admission.Resources
	fillMilliCPU    int64
	servingMilliCPU int64
	// servingImages lists the images of the worker's serving tasks.
	servingImages []string
	// unreportedFillMilliCPU is the demand of fill tasks that the agent's status does not
	// include yet.
	unreportedFillMilliCPU int64
	// evacuated is set if the worker's failure domain is evacuated: nothing is started there.
	evacuated bool
	// onProbation is set after repeated failures: the worker is given only one run at a time
	// until a run succeeds. hasProbationRun is set while it has that run.
	onProbation, hasProbationRun bool
	// hasSuspect is set if a task suspected of crashing workers has just been started on the
	// worker: another one has to wait, so that a crash can be attributed to one of them.
	hasSuspect bool
	// reservedFor is the task whose run is to move to the worker, or nil.
	reservedFor *job.Task
	// toleranceRatio is the share of the processors a fill task asks for that the serving tasks
	// must tolerate. It is set for each job in turn.
	toleranceRatio float64
	// shortReserve is what long-running tasks have to leave to short ones as of createdAt.
	shortReserve shortReserve
	createdAt    time.Time
}

// agentViews returns an iterator over all known agents.
func (owner *Owner) agentViews() iter.Seq[*agentView] { return maps.Values(owner.agents) }

// candidates returns the workers among the agents given that can take tasks now: connected,
// with a recent message, ready, not draining, and not avoided after a refusal or a failure.
func (owner *Owner) candidates(views iter.Seq[*agentView], now time.Time) []*candidate {
	var workers []*candidate
	for view := range views {
		status := view.status()
		if !view.isHeard(now) || !status.GetReady() || status.GetDraining() || now.Before(view.avoidUntil) {
			continue
		}
		worker := newCandidate(view)
		owner.subtractReserved(worker)
		worker.shortReserve, worker.createdAt = owner.shortReserveOf(view, now), now
		worker.evacuated = owner.isEvacuated(view)
		worker.hasSuspect = now.Before(view.noSuspectsUntil)
		worker.hasProbationRun = view.hasProbationRun(now)
		workers = append(workers, worker)
	}
	return workers
}

// newCandidate returns the candidate for an agent's worker. What the runs that are not in the
// agent's status need is subtracted from the free resources that it reports.
func newCandidate(view *agentView) *candidate {
	status := view.status()
	worker := &candidate{
		view: view, free: admission.NewResources(status.GetFreeMilliCpu(), status.GetFreeMemoryMb(), status.GetFreeAccelerators()),
		fillMilliCPU: status.GetFillMilliCpu(), servingMilliCPU: status.GetServingMilliCpu(),
		servingImages: slices.Clone(status.GetServingImages()),
		onProbation:   view.consecutiveFailures >= failuresBeforeProbation,
	}
	for _, run := range view.runs {
		if !run.inAgentStatus {
			worker.reserve(run.demand)
		}
	}
	return worker
}

// recordStart accounts for a task that has just been placed on the worker.
func (worker *candidate) recordStart(task *job.Task, demand *wire.Demand) {
	worker.reserve(demand)
	worker.hasSuspect = worker.hasSuspect || task.IsSuspect()
	worker.hasProbationRun = true
}

// recordGangMember accounts for a member of a gang of which other members are still to be assigned. These start at the
// same time in any case, so a suspect does not keep another one of the gang from the worker.
func (worker *candidate) recordGangMember(member *job.Task, demand *wire.Demand) {
	hadSuspect := worker.hasSuspect
	worker.recordStart(member, demand)
	worker.hasSuspect = hadSuspect
}

// reserve subtracts what a task needs from the free resources.
func (worker *candidate) reserve(demand *wire.Demand) {
	worker.free.Subtract(admission.ReservedBy(demand))
	if demand.GetFills() {
		worker.fillMilliCPU += demand.GetMilliCpu()
		worker.unreportedFillMilliCPU += demand.GetMilliCpu()
		return
	}
	if demand.GetTargetMs() > 0 {
		worker.servingImages = append(worker.servingImages, demand.GetImage())
		worker.servingMilliCPU += demand.GetMilliCpu()
	}
}

// idleMilliCPU returns how much of the processors is expected to be idle. Serving tasks use only
// part of what they reserve.
func (worker *candidate) idleMilliCPU() int64 {
	return worker.free.MilliCPU + int64(servingIdleRatio*float64(worker.servingMilliCPU)) - worker.fillMilliCPU
}

// violatedConstraint returns the constraint other than resources that forbids the task to run on
// the worker now, or obstacleNone.
func (worker *candidate) violatedConstraint(task *job.Task) obstacle {
	spec := task.Spec()
	status := worker.view.status()
	switch {
	case status.GetService() != task.Job().Submission().GetService():
		return obstacleService
	case worker.evacuated:
		return obstacleEvacuation
	case spec.GetLabel() != "" && !slices.Contains(status.GetLabels(), spec.GetLabel()):
		return obstacleLabel
	case spec.GetMostPerWorker() > 0 && worker.countStepTasks(task) >= spec.GetMostPerWorker():
		return obstacleSpread
	case worker.hasSuspect && task.IsSuspect():
		return obstacleSuspect
	case worker.onProbation && worker.hasProbationRun:
		return obstacleProbation
	}
	return obstacleNone
}

// obstacleTo returns why the task cannot be started on the worker now, or obstacleNone.
func (worker *candidate) obstacleTo(task *job.Task) obstacle {
	spec := task.Spec()
	if found := worker.violatedConstraint(task); found != obstacleNone {
		return found
	}
	if missing := worker.free.Shortage(admission.ReservedBy(spec)); missing != "" {
		return obstacle(missing)
	}
	if worker.isReserved(task) {
		return obstacleShortReserve
	}
	switch {
	case !spec.GetFills():
		return obstacleNone
	case float64(worker.idleMilliCPU()) < minFillIdleRatio*float64(spec.GetMilliCpu()):
		return obstacleIdleProcessors
	case float64(worker.toleratedMilliCPU(spec.GetImage())) < worker.toleranceRatio*float64(spec.GetMilliCpu()):
		return obstacleInterference
	}
	return obstacleNone
}

// fits reports whether the task may run on the worker and the worker has the resources for it.
func (worker *candidate) fits(task *job.Task) bool { return worker.obstacleTo(task) == obstacleNone }

// toleratedMilliCPU returns how much more processor time fill tasks of an image may use on the
// worker without its serving tasks missing their targets. It is at most what is idle. A negative
// value is how far that is exceeded already.
func (worker *candidate) toleratedMilliCPU(image string) int64 {
	return min(worker.idleMilliCPU(), worker.view.statusDecoder.Tolerance(image)-worker.unreportedFillMilliCPU)
}

// fitsTwice reports whether the worker has twice the resources that the task reserves.
func (worker *candidate) fitsTwice(task *job.Task) bool {
	resources := admission.ReservedBy(task.Spec())
	resources.Add(resources)
	return worker.free.Shortage(resources) == ""
}

// rendezvousScore returns the worker's score for a key in rendezvous hashing. All owners order the
// workers for a key in the same way, without communicating.
func (worker *candidate) rendezvousScore(key string) uint64 {
	return xxhash.Sum64String(key + " " + worker.view.address)
}

// servesImage reports whether the worker has a serving task of the image.
func (worker *candidate) servesImage(image string) bool {
	return slices.Contains(worker.servingImages, image)
}

// countOtherImages returns the number of distinct images other than the one given among the
// worker's serving tasks.
func (worker *candidate) countOtherImages(image string) int {
	count := 0
	for i, other := range worker.servingImages {
		if other != image && !slices.Contains(worker.servingImages[:i], other) {
			count++
		}
	}
	return count
}

// countStepTasks returns how many tasks of the same step and round have been started on the
// machine, or are to move there. It counts those of all incarnations of the machine's worker, since a run that was
// ordered from an earlier incarnation may still be running.
func (worker *candidate) countStepTasks(task *job.Task) int32 {
	count := task.Job().StartedOn(task, worker.view.address)
	if moving := worker.reservedFor; moving != nil && moving.Job() == task.Job() && moving.Round() == task.Round() && moving.Step() == task.Step() &&
		!moving.IsStartedAt(worker.view.address) {
		count++
	}
	return count
}

// rack returns the worker's rack, which is its second label, or the empty string.
func (worker *candidate) rack() string {
	if labels := worker.view.status().GetLabels(); len(labels) > rackLabelIndex {
		return labels[rackLabelIndex]
	}
	return ""
}

// isNearData reports whether the worker is in the rack that holds the task's data. It is true for
// a task without such a rack.
func (worker *candidate) isNearData(task *job.Task) bool {
	rack := task.Spec().GetAffinity()
	return rack == "" || slices.Contains(worker.view.status().GetLabels(), rack)
}
