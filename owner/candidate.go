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
	// serving lists the images of the tasks that serve there.
	serving []string
	// addedFill is what has been placed since the agent's last word.
	addedFill int64
	// evacuated is set where the worker's failure domain is: nothing is started there.
	evacuated bool
	// trial is set after failures: the worker is given one run until it has shown
	// that it does. tried is set while it has one.
	trial, tried bool
	// hasSuspect is set where a suspect has just been started: no other one is for a while.
	hasSuspect bool
	// patience is the share that a filling task of the present job should find
	// tolerated.
	patience float64
}

// views goes over all agents.
func (owner *Owner) views() iter.Seq[*agentView] { return maps.Values(owner.agents) }

// candidates returns those workers that may be given starts now.
func (owner *Owner) candidates(views iter.Seq[*agentView], now time.Time) []*candidate {
	var workers []*candidate
	for view := range views {
		status := view.status()
		if view.link == nil || !status.GetReady() || status.GetDraining() || now.Before(view.avoidUntil) || now.Sub(view.heardAt) > 2*grantEvery {
			continue
		}
		worker := newCandidate(view)
		worker.evacuated = owner.evacuated(view)
		worker.hasSuspect = now.Before(view.suspectUntil)
		worker.tried = view.onTrial(now)
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
		serving: slices.Clone(status.GetServingImages()),
		trial:   view.failures >= failuresBeforeDoubt,
	}
	for _, entry := range view.runs {
		if !entry.reflected {
			worker.take(entry.demand)
		}
	}
	return worker
}

// place takes note of a start.
func (worker *candidate) place(task *job.Task, demand *wire.Demand) {
	worker.take(demand)
	worker.hasSuspect = worker.hasSuspect || task.IsSuspect()
	worker.tried = true
}

// take takes what a start needs from what is free.
func (worker *candidate) take(demand *wire.Demand) {
	worker.free.Subtract(admission.ReservedBy(demand))
	if demand.GetFills() {
		worker.fillMilliCPU += demand.GetMilliCpu()
		worker.addedFill += demand.GetMilliCpu()
		return
	}
	if demand.GetTargetMs() > 0 {
		worker.serving = append(worker.serving, demand.GetImage())
		worker.servingMilliCPU += demand.GetMilliCpu()
	}
}

// idle is what is expected to be unused of the processors: tasks that serve use
// only part of what they hold.
func (worker *candidate) idle() int64 {
	return worker.free.MilliCPU + int64(servingUnused*float64(worker.servingMilliCPU)) - worker.fillMilliCPU
}

// allows says what forbids a task to run at the worker, if there were room.
func (worker *candidate) allows(task *job.Task) obstacle {
	spec := task.Spec()
	status := worker.view.status()
	switch {
	case status.GetService() != task.Job().Submission().GetService():
		return wrongService
	case worker.evacuated:
		return domainEvacuated
	case spec.GetLabel() != "" && !slices.Contains(status.GetLabels(), spec.GetLabel()):
		return lacksLabel
	case spec.GetMostPerWorker() > 0 && worker.holding(task) >= spec.GetMostPerWorker():
		return holdsEnough
	case worker.hasSuspect && task.IsSuspect():
		return hasSuspect
	case worker.trial && worker.tried:
		return inDoubt
	}
	return unobstructed
}

// obstacleTo says why a task can't be started at the worker now.
func (worker *candidate) obstacleTo(task *job.Task) obstacle {
	spec := task.Spec()
	if found := worker.allows(task); found != unobstructed {
		return found
	}
	if lacking := worker.free.Shortage(admission.ReservedBy(spec)); lacking != "" {
		return obstacle(lacking)
	}
	switch {
	case !spec.GetFills():
		return unobstructed
	case float64(worker.idle()) < fillShare*float64(spec.GetMilliCpu()):
		return lacksIdleProcessors
	case float64(worker.tolerates(spec.GetImage())) < worker.patience*float64(spec.GetMilliCpu()):
		return wouldDisturb
	}
	return unobstructed
}

// fits reports whether a task may run at the worker and has room there.
func (worker *candidate) fits(task *job.Task) bool { return worker.obstacleTo(task) == unobstructed }

// tolerates returns how many more processors of a filling image the worker's
// serving tasks bear, at most what is idle; below zero, how much they would suffer.
func (worker *candidate) tolerates(image string) int64 {
	return min(worker.idle(), worker.view.heard.Tolerance(image)-worker.addedFill)
}

// fitsTwice reports whether the worker has what a task holds twice over.
func (worker *candidate) fitsTwice(task *job.Task) bool {
	held := admission.ReservedBy(task.Spec())
	held.Add(held)
	return worker.free.Shortage(held) == ""
}

// rankFor orders workers for an image, or for what else is placed, in the same way at each
// owner.
func (worker *candidate) rankFor(what string) uint64 {
	return xxhash.Sum64String(what + " " + worker.view.address)
}

// serves reports whether the worker has a serving task of the image.
func (worker *candidate) serves(image string) bool { return slices.Contains(worker.serving, image) }

// strangers counts the kinds of the worker's serving tasks of other images.
func (worker *candidate) strangers(image string) int {
	count := 0
	for index, other := range worker.serving {
		if other != image && !slices.Contains(worker.serving[:index], other) {
			count++
		}
	}
	return count
}

// holding counts the tasks of the same step and round that the machine has, on whichever life of its worker: one
// that was ordered of an earlier life may still go on.
func (worker *candidate) holding(task *job.Task) int32 {
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
	if labels := worker.view.status().GetLabels(); len(labels) > rackLabel {
		return labels[rackLabel]
	}
	return ""
}

// near reports whether the worker stands in the rack that holds the task's data.
func (worker *candidate) near(task *job.Task) bool {
	rack := task.Spec().GetAffinity()
	return rack == "" || slices.Contains(worker.view.status().GetLabels(), rack)
}
