package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// preemptEvery keeps requests to make room at one worker apart: a stop takes up to
// half a second, and the room that it makes has to be told.
const preemptEvery = 700 * time.Millisecond

// preemptFor asks the worker that has to stop the least for it to make room for a
// task that found no place. Tasks that fill wait instead: they take what is left.
func (owner *Owner) preemptFor(task *job.Task, workers []*candidate, now time.Time) {
	if task.Spec().GetFills() || task.Spec().GetGang() {
		return
	}
	if best := leastToStop(task, workers, now); best != nil {
		owner.orderPreemption(task, best, now)
	}
}

// leastToStop returns the worker that misses the least memory for a task, of those
// where the task would fit once what is less urgent has been stopped; nil if there is
// none.
func leastToStop(task *job.Task, workers []*candidate, now time.Time) *candidate {
	var best *candidate
	least := int64(0)
	for _, worker := range workers {
		if now.Sub(worker.view.preemptedAt) < preemptEvery || !worker.allows(task) || !worker.fitsOnceReclaimed(task) {
			continue
		}
		missing := max(task.Spec().GetMemoryMb()-worker.memoryMB, 0)
		if best == nil || missing < least {
			best, least = worker, missing
		}
	}
	return best
}

// orderPreemption has a worker's agent make room for a task, with the next message.
func (owner *Owner) orderPreemption(task *job.Task, worker *candidate, now time.Time) {
	view := worker.view
	view.preemptedAt = now
	demand := demandOf(task)
	view.message.Preempts = append(view.message.Preempts, &wire.PreemptOrder{Worker: view.status.GetWorker(), Demand: demand})
	owner.log(event.RunPreempted, slog.String("task", task.Name()), slog.String("worker", view.status.GetWorker()),
		slog.Int("for_priority", int(demand.GetPriority())),
		slog.Int64("memory_mb", demand.GetMemoryMb()), slog.Int64("free_memory_mb", worker.memoryMB),
		slog.Int64("milli_cpu", demand.GetMilliCpu()), slog.Int64("free_milli_cpu", worker.milliCPU))
}

// fitsOnceReclaimed reports whether a task fits once what is less urgent has been
// stopped.
func (worker *candidate) fitsOnceReclaimed(task *job.Task) bool {
	spec := task.Spec()
	milliCPU, memoryMB, accelerators := worker.milliCPU, worker.memoryMB, worker.accelerators
	for _, known := range worker.view.status.GetReclaimable() {
		if known.GetPriority() > task.Job().Submission().GetPriority() {
			milliCPU += known.GetMilliCpu()
			memoryMB += known.GetMemoryMb()
			accelerators += known.GetAccelerators()
		}
	}
	return spec.GetMilliCpu() <= milliCPU && spec.GetMemoryMb() <= memoryMB && spec.GetAccelerators() <= accelerators
}
