package agent

import (
	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/wire"
)

// freeResources is what is free on a worker.
type freeResources struct {
	admission.Resources
	// fillMilliCPU is what runs that fill use at their pace, and servingMilliCPU what
	// runs that serve hold.
	fillMilliCPU    int64
	servingMilliCPU int64
}

// freeResources returns what the worker's runs leave free.
func (state *workerState) freeResources() freeResources {
	free := freeResources{Resources: admission.NewResources(state.heartbeat.MilliCPU, state.heartbeat.MemoryMB, state.heartbeat.Accelerators)}
	for _, run := range state.runs {
		demand := run.demand
		free.Subtract(admission.ReservedBy(demand))
		if demand.GetFills() {
			free.fillMilliCPU += demand.GetMilliCpu() * int64(run.pacePercent) / fullPercent
		}
		if demand.GetTargetMs() > 0 {
			free.servingMilliCPU += demand.GetMilliCpu()
		}
	}
	return free
}

// freeOnceStopped returns what is free once the runs that are being stopped are over.
func (state *workerState) freeOnceStopped() freeResources {
	free := state.freeResources()
	for _, run := range state.runs {
		if run.phase == phaseStopping {
			free.Add(admission.ReservedBy(run.demand))
		}
	}
	return free
}

// fits reports whether there is room for a demand.
func (free freeResources) fits(demand *wire.Demand) bool {
	return free.Shortage(admission.ReservedBy(demand)) == ""
}
