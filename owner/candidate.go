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

// candidate is a worker that may be given starts, with what is free there after
// those that are on their way.
type candidate struct {
	view            *agentView
	free            admission.Resources
	fillMilliCPU    int64
	servingMilliCPU int64
	// servingImages lists the images of the tasks that serve there.
	servingImages []string
	// unreportedFillMilliCPU is what has been placed since the agent's last word.
	unreportedFillMilliCPU int64
	// evacuated is set where the worker's failure domain is: nothing is started there.
	evacuated bool
	// onProbation is set after failures: the worker is given one run until it has shown
	// that it does. tried is set while it has one.
	onProbation, hasTrialRun bool
	// obstacleSuspect is set where a suspect has just been started: no other one is for a while.
	hasSuspect bool
	// toleranceRatio is the share that a filling task of the present job should find
	// tolerated.
	toleranceRatio float64
}

// agentViews goes over all agents.
func (owner *Owner) agentViews() iter.Seq[*agentView] { return maps.Values(owner.agents) }

// candidates returns those workers that may be given starts now.
func (owner *Owner) candidates(views iter.Seq[*agentView], now time.Time) []*candidate {
	var workers []*candidate
	for view := range views {
		status := view.status()
		if view.conn == nil || !status.GetReady() || status.GetDraining() || now.Before(view.avoidUntil) || now.Sub(view.lastMessageAt) > 2*grantInterval {
			continue
		}
		worker := newCandidate(view)
		worker.evacuated = owner.isEvacuated(view)
		worker.hasSuspect = now.Before(view.noSuspectsUntil)
		worker.hasTrialRun = view.hasProbationRun(now)
		workers = append(workers, worker)
	}
	return workers
}

// newCandidate returns a worker with what is free there, less what is on its way.
func newCandidate(view *agentView) *candidate {
	status := view.status()
	worker := &candidate{
		view: view, free: admission.NewResources(status.GetFreeMilliCpu(), status.GetFreeMemoryMb(), status.GetFreeAccelerators()),
		fillMilliCPU: status.GetFillMilliCpu(), servingMilliCPU: status.GetServingMilliCpu(),
		servingImages: slices.Clone(status.GetServingImages()),
		onProbation:   view.consecutiveFailures >= failuresBeforeProbation,
	}
	for _, entry := range view.runs {
		if !entry.inAgentStatus {
			worker.reserve(entry.demand)
		}
	}
	return worker
}

// recordStart takes note of a start.
func (worker *candidate) recordStart(task *job.Task, demand *wire.Demand) {
	worker.reserve(demand)
	worker.hasSuspect = worker.hasSuspect || task.IsSuspect()
	worker.hasTrialRun = true
}

// reserve takes what a start needs from what is free.
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

// idleMilliCPU is what is expected to be unused of the processors: tasks that serve use
// only part of what they hold.
func (worker *candidate) idleMilliCPU() int64 {
	return worker.free.MilliCPU + int64(servingIdleRatio*float64(worker.servingMilliCPU)) - worker.fillMilliCPU
}

// violatedConstraint says what forbids a task to run at the worker, if there were room.
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
	case worker.onProbation && worker.hasTrialRun:
		return obstacleProbation
	}
	return obstacleNone
}

// obstacleTo says why a task can't be started at the worker now.
func (worker *candidate) obstacleTo(task *job.Task) obstacle {
	spec := task.Spec()
	if found := worker.violatedConstraint(task); found != obstacleNone {
		return found
	}
	if lacking := worker.free.Shortage(admission.ReservedBy(spec)); lacking != "" {
		return obstacle(lacking)
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

// fits reports whether a task may run at the worker and has room there.
func (worker *candidate) fits(task *job.Task) bool { return worker.obstacleTo(task) == obstacleNone }

// toleratedMilliCPU returns how many more processors of a filling image the worker's
// serving tasks bear, at most what is idle; below zero, how much they would suffer.
func (worker *candidate) toleratedMilliCPU(image string) int64 {
	return min(worker.idleMilliCPU(), worker.view.statusDecoder.Tolerance(image)-worker.unreportedFillMilliCPU)
}

// fitsTwice reports whether the worker has what a task holds twice over.
func (worker *candidate) fitsTwice(task *job.Task) bool {
	held := admission.ReservedBy(task.Spec())
	held.Add(held)
	return worker.free.Shortage(held) == ""
}

// rendezvousScore orders workers for an image, or for what else is placed, in the same way at each
// owner.
func (worker *candidate) rendezvousScore(what string) uint64 {
	return xxhash.Sum64String(what + " " + worker.view.address)
}

// servesImage reports whether the worker has a serving task of the image.
func (worker *candidate) servesImage(image string) bool {
	return slices.Contains(worker.servingImages, image)
}

// countOtherImages counts the kinds of the worker's serving tasks of other images.
func (worker *candidate) countOtherImages(image string) int {
	count := 0
	for index, other := range worker.servingImages {
		if other != image && !slices.Contains(worker.servingImages[:index], other) {
			count++
		}
	}
	return count
}

// countStepTasks counts the tasks of the same step and round that the machine has, on whichever life of its worker: one
// that was ordered of an earlier life may still go on.
func (worker *candidate) countStepTasks(task *job.Task) int32 {
	count := int32(0)
	for _, member := range task.Job().StepTasks(task) {
		if member.State() == job.TaskState_TASK_STARTED && member.Place().AgentAddress == worker.view.address {
			count++
		}
	}
	return count
}

// rack returns the worker's rack, which is its second label.
func (worker *candidate) rack() string {
	if labels := worker.view.status().GetLabels(); len(labels) > rackLabelIndex {
		return labels[rackLabelIndex]
	}
	return ""
}

// isNearData reports whether the worker stands in the rack that holds the task's data.
func (worker *candidate) isNearData(task *job.Task) bool {
	rack := task.Spec().GetAffinity()
	return rack == "" || slices.Contains(worker.view.status().GetLabels(), rack)
}
