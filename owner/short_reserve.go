package owner

import (
	"maps"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/share"
)

// observeShortTasks records what short tasks use on a worker. The owner knows only those of its own shards. Jobs are
// distributed over the shards by hash, so it extrapolates their use to all shards.
func (owner *Owner) observeShortTasks(view *agentView, now time.Time) {
	loaded := owner.loadedShards()
	used := map[int32]int64{}
	for _, run := range view.runs {
		demand := run.demand
		estimate := time.Duration(demand.GetEstimateMs()) * time.Millisecond
		if !demand.GetFills() && !demand.GetLasting() && share.IsShortTask(estimate) {
			used[demand.GetPriority()] += demand.GetMilliCpu()
		}
	}
	maps.DeleteFunc(view.shortPeaks, func(_ int32, peak *share.RecentPeak) bool { return peak.MilliCPU(now) == 0 })
	for priority, milliCPU := range used {
		if view.shortPeaks[priority] == nil {
			view.shortPeaks[priority] = &share.RecentPeak{}
		}
		view.shortPeaks[priority].Observe(milliCPU*int64(owner.options.Shards)/int64(max(loaded, 1)), now)
	}
}

// shortReserve is the part of a worker's processors that long-running tasks of a priority, and of less urgent
// ones, leave to short tasks. Those of more urgent priorities don't have to.
type shortReserve struct {
	milliCPU int64
	priority int32
}

// shortReserveOf returns the reserve on an agent's worker: nothing while the workers of its service suffice.
func (owner *Owner) shortReserveOf(view *agentView, now time.Time) shortReserve {
	if owner.shares == nil {
		return shortReserve{}
	}
	priority, contended := owner.shares.table.ContendedPriority(view.status().GetService(), now)
	if !contended {
		return shortReserve{}
	}
	peak := int64(0)
	for peakPriority, recent := range view.shortPeaks {
		if peakPriority <= priority {
			peak += recent.MilliCPU(now)
		}
	}
	return shortReserve{milliCPU: share.ShortReserve(view.status().GetMilliCpu(), peak), priority: priority}
}

// isReserved reports whether a task that fits on the worker has to leave its processors to short tasks. A task
// that has been refused doesn't have to: its wait starts again, and it would leave them for the same time again.
func (worker *candidate) isReserved(task *job.Task) bool {
	spec, reserve := task.Spec(), worker.shortReserve
	isMoreUrgent := task.Job().Submission().GetPriority() < reserve.priority
	if reserve.milliCPU == 0 || isMoreUrgent || task.Refusals() > 0 || !spec.GetLasting() || spec.GetFills() {
		return false
	}
	waited, _ := task.UnplacedFor(worker.createdAt)
	return share.IsReserved(worker.free.MilliCPU, spec.GetMilliCpu(), reserve.milliCPU, waited)
}
