package agent

import (
	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/wire"
)

// room is what is free on a worker.
type room struct {
	admission.Resources
	// fillMilliCPU is what runs that fill use at their pace, and servingMilliCPU what
	// runs that serve hold.
	fillMilliCPU    int64
	servingMilliCPU int64
}

// room returns what the worker's runs leave free.
func (state *workerState) room() room {
	free := room{Resources: admission.NewResources(state.beat.MilliCPU, state.beat.MemoryMB, state.beat.Accelerators)}
	for _, run := range state.runs {
		demand := run.demand
		free.Subtract(admission.ReservedBy(demand))
		if demand.GetFills() {
			free.fillMilliCPU += demand.GetMilliCpu() * int64(run.pace) / fullPercent
		}
		if demand.GetTargetMs() > 0 {
			free.servingMilliCPU += demand.GetMilliCpu()
		}
	}
	return free
}

// roomOnceStopped returns what is free once the runs that are being stopped are over.
func (state *workerState) roomOnceStopped() room {
	free := state.room()
	for _, run := range state.runs {
		if run.phase == phaseStopping {
			free.Add(admission.ReservedBy(run.demand))
		}
	}
	return free
}

// fits reports whether there is room for a demand.
func (free room) fits(demand *wire.Demand) bool {
	return free.Shortage(admission.ReservedBy(demand)) == ""
}
