package agent

import "ambertiller.example/ambertiller/wire"

// room is what is free on a worker.
type room struct {
	milliCPU, memoryMB, accelerators int64
	// fillMilliCPU is what runs that fill use at their pace, and servingMilliCPU what
	// runs that serve hold.
	fillMilliCPU    int64
	servingMilliCPU int64
}

// room returns what the worker's runs leave free.
func (state *workerState) room() room {
	free := room{milliCPU: state.beat.MilliCPU, memoryMB: state.beat.MemoryMB, accelerators: state.beat.Accelerators}
	for _, run := range state.runs {
		demand := run.demand
		free.memoryMB -= demand.GetMemoryMb()
		free.accelerators -= demand.GetAccelerators()
		if demand.GetFills() {
			free.fillMilliCPU += demand.GetMilliCpu() * int64(run.pace) / fullPercent
			continue
		}
		if demand.GetTargetMs() > 0 {
			free.servingMilliCPU += demand.GetMilliCpu()
		}
		free.milliCPU -= demand.GetMilliCpu()
	}
	return free
}

// roomOnceStopped returns what is free once the runs that are being stopped are over.
func (state *workerState) roomOnceStopped() room {
	free := state.room()
	for _, run := range state.runs {
		if run.phase == phaseStopping {
			free.give(run.demand)
		}
	}
	return free
}

// fits reports whether there is room for a demand. One that fills takes what others
// leave of the processors and holds none.
func (free room) fits(demand *wire.Demand) bool {
	if !demand.GetFills() && demand.GetMilliCpu() > free.milliCPU {
		return false
	}
	return demand.GetMemoryMb() <= free.memoryMB && demand.GetAccelerators() <= free.accelerators
}

// give adds what a run gives back when it ends.
func (free *room) give(demand *wire.Demand) {
	free.memoryMB += demand.GetMemoryMb()
	free.accelerators += demand.GetAccelerators()
	if !demand.GetFills() {
		free.milliCPU += demand.GetMilliCpu()
	}
}
