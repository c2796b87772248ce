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

// isPreemptible reports whether a run may be stopped for a more urgent one: it does not
// last and goes on elsewhere from its checkpoint.
func (run *runState) isPreemptible() bool {
	return run.phase == phaseRunning && run.demand.GetMovable() && run.demand.GetSaves() && !run.demand.GetLasting()
}

// handlePreemptOrder stops runs of less urgent tasks until a demand has room. If it would
// not have, also without all of them, nothing is stopped.
func (agent *Agent) handlePreemptOrder(order *wire.PreemptOrder, now time.Time) {
	state := agent.worker
	if state == nil || !state.incarnation.MayEqual(order.Incarnation()) || !state.isReady() || state.heartbeat.Draining {
		return
	}
	if agent.checkFailureDomain(now) == operator.Evacuated {
		return // What would be stopped makes room that nothing may take.
	}
	if held, claimed := agent.claims[order.GetShard()]; !claimed || order.GetEpoch() < held.epoch {
		return
	}
	wanted := order.GetDemand()
	chosen, enough := state.selectPreempted(wanted)
	if !enough {
		return
	}
	for _, run := range chosen {
		agent.logRun(event.RunPreempted, run,
			slog.Int("priority", int(run.demand.GetPriority())), slog.Int("for_priority", int(wanted.GetPriority())),
			slog.Int64("memory_mb", wanted.GetMemoryMb()), slog.Int64("milli_cpu", wanted.GetMilliCpu()))
		agent.stopRun(state, run, now)
	}
}

// selectPreempted returns the runs to stop so that a demand has room, none if it has
// already, and whether it then has.
func (state *workerState) selectPreempted(wanted *wire.Demand) (chosen []*runState, enough bool) {
	free := state.freeOnceStopped()
	for _, run := range state.preemptibleRuns(wanted.GetPriority()) {
		if free.fits(wanted) {
			break
		}
		free.Add(admission.ReservedBy(run.demand))
		chosen = append(chosen, run)
	}
	return chosen, free.fits(wanted)
}

// preemptibleRuns returns the runs that may be stopped for a priority: the least urgent
// first, and of these the one that has got on the least.
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

// reclaimable tells what the runs of each priority hold that may be stopped.
func (state *workerState) reclaimable() []*wire.Reclaimable {
	held := map[int32]*admission.Resources{}
	for _, run := range state.runs {
		if !run.isPreemptible() {
			continue
		}
		priority := run.demand.GetPriority()
		if held[priority] == nil {
			held[priority] = &admission.Resources{}
		}
		held[priority].Add(admission.ReservedBy(run.demand))
	}
	var told []*wire.Reclaimable
	for _, priority := range slices.Sorted(maps.Keys(held)) {
		given := held[priority]
		told = append(told, &wire.Reclaimable{
			Priority: priority, MilliCpu: given.MilliCPU, MemoryMb: given.MemoryMB(), Accelerators: given.Accelerators,
		})
	}
	return told
}
