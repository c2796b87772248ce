package agent

import (
	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/wire"
)

// freeResources holds the resources of a worker that its runs leave free, which are negative where it has
// fewer than its runs reserve.
type freeResources struct {
	admission.Resources
	// fillMilliCPU is the CPU that fill runs use at their pace. They reserve none.
	fillMilliCPU int64
	// servingMilliCPU is the CPU that serving runs reserve.
	servingMilliCPU int64
}

// freeResources returns the resources that the worker's runs leave free.
func (state *workerState) freeResources() freeResources {
	free := freeResources{Resources: admission.NewResources(state.heartbeat.MilliCPU, state.heartbeat.MemoryMB, state.heartbeat.Accelerators)}
	for _, run := range state.runs {
		free.subtract(run)
	}
	return free
}

// subtract accounts for a run.
func (free *freeResources) subtract(run *runState) {
	demand := run.demand
	free.Subtract(admission.ReservedBy(demand))
	if demand.GetFills() {
		free.fillMilliCPU += demand.GetMilliCpu() * int64(run.pacePercent) / fullPercent
	}
	if demand.GetTargetMs() > 0 {
		free.servingMilliCPU += demand.GetMilliCpu()
	}
}

// freeOnceStopped returns the resources that will be free once the runs that are being stopped have ended.
func (state *workerState) freeOnceStopped() freeResources {
	free := state.freeResources()
	for _, run := range state.runs {
		if run.phase == phaseStopping {
			free.Add(admission.ReservedBy(run.demand))
		}
	}
	return free
}

// fits reports whether the free resources suffice for a demand.
func (free freeResources) fits(demand *wire.Demand) bool {
	return free.Shortage(admission.ReservedBy(demand)) == ""
}
