package agent

import (
	"ambertiller.example/ambertiller/wire"
)

// room is what is free on a worker.
type room struct {
	milliCPU, memoryMB, accelerators int64
	fillMilliCPU                     int64
	servingMilliCPU                  int64
}

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
