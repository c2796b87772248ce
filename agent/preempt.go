package agent

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/wire"
)

// isPreemptible reports whether the run may be stopped for a more urgent one: it is not long-running, has not
// been moved too often, and resumes elsewhere from its checkpoint.
func (run *runState) isPreemptible() bool {
	return run.phase == phaseRunning && run.demand.GetMovable() && run.demand.GetSaves() && !run.demand.GetLasting()
}

// handlePreemptOrder stops runs of less urgent tasks to make room for a demand. It stops none if the demand
// would not fit even without all of them.
func (agent *Agent) handlePreemptOrder(order *wire.PreemptOrder, now time.Time) {
	state := agent.worker
	if state == nil || !state.incarnation.MayEqual(order.Incarnation()) || !state.isReady() || state.heartbeat.Draining {
		return
	}
	if agent.checkFailureDomain(now) == operator.Evacuated {
		return // Nothing may be started in the room that this would make.
	}
	if claim, claimed := agent.claims[order.GetShard()]; !claimed || order.GetEpoch() < claim.epoch {
		return
	}
	demand := order.GetDemand()
	selected, fits := state.selectPreempted(demand)
	if !fits {
		return
	}
	for _, run := range selected {
		agent.logRun(event.RunPreempted, run,
			slog.Int("priority", int(run.demand.GetPriority())), slog.Int("for_priority", int(demand.GetPriority())),
			slog.Int64("memory_mb", demand.GetMemoryMb()), slog.Int64("milli_cpu", demand.GetMilliCpu()))
		agent.stopRun(state, run, now)
	}
}

// selectPreempted returns the runs to stop to make room for the demand, and whether it fits then. It selects
// none if the demand fits already.
func (state *workerState) selectPreempted(demand *wire.Demand) (selected []*runState, fits bool) {
	free := state.freeOnceStopped()
	for _, run := range state.preemptibleRuns(demand.GetPriority()) {
		if free.fits(demand) {
			break
		}
		free.Add(admission.ReservedBy(run.demand))
		selected = append(selected, run)
	}
	return selected, free.fits(demand)
}

// preemptibleRuns returns the runs that may be stopped for a task of the given priority: the least urgent
// first, and among equally urgent ones those with the least progress first.
func (state *workerState) preemptibleRuns(priority int32) []*runState {
	var runs []*runState
	for _, run := range state.runs {
		if run.isPreemptible() && run.demand.GetPriority() > priority {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *runState) int {
		if byPriority := b.demand.GetPriority() - a.demand.GetPriority(); byPriority != 0 {
			return int(byPriority)
		}
		if byProgress := a.progressPercent - b.progressPercent; byProgress != 0 {
			return int(byProgress)
		}
		return strings.Compare(a.task, b.task)
	})
	return runs
}

// reclaimable returns the resources that preemptible runs reserve, by priority.
func (state *workerState) reclaimable() []*wire.Reclaimable {
	reserved := map[int32]*admission.Resources{}
	for _, run := range state.runs {
		if !run.isPreemptible() {
			continue
		}
		priority := run.demand.GetPriority()
		if reserved[priority] == nil {
			reserved[priority] = &admission.Resources{}
		}
		reserved[priority].Add(admission.ReservedBy(run.demand))
	}
	var listed []*wire.Reclaimable
	for _, priority := range slices.Sorted(maps.Keys(reserved)) {
		resources := reserved[priority]
		listed = append(listed, &wire.Reclaimable{
			Priority: priority, MilliCpu: resources.MilliCPU, MemoryMb: resources.MemoryMB(), Accelerators: resources.Accelerators,
		})
	}
	return listed
}
