package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// preemptInterval is the minimum time between two preemption orders for one worker. Stopping a run
// takes up to 0.5 s, and the agent then has to report the resources that it freed.
const preemptInterval = 700 * time.Millisecond

// preemptFor orders a preemption for a task that could not be placed, on the worker that has to free
// the least. It reports whether it ordered one. There is no preemption for fill tasks, which only use
// what is left, nor for gangs.
func (owner *Owner) preemptFor(task *job.Task, workers []*candidate, now time.Time) bool {
	if task.Spec().GetFills() || task.Spec().GetGang() {
		return false
	}
	best := owner.preemptionTarget(task, workers, now)
	if best == nil {
		return false
	}
	owner.addPreemptOrder(task, best, now)
	return true
}

// preemptionTarget returns the worker with the smallest shortage for a task among those where it would
// fit once runs of lower priority have been stopped, or nil if there is none. It skips workers where
// the task fits already, has to leave processors to short tasks, or has no ticket, since preemption would not
// help there.
func (owner *Owner) preemptionTarget(task *job.Task, workers []*candidate, now time.Time) *candidate {
	var best *candidate
	minShortage := 0.0
	for _, worker := range workers {
		if now.Sub(worker.view.preemptedAt) < preemptInterval {
			continue
		}
		found := worker.obstacleTo(task)
		if found == obstacleNone || found == obstacleShortReserve || !worker.fitsAfterReclaim(task) {
			continue
		}
		if _, allowed := owner.ticketFor(task, worker.view.incarnation(), now); !allowed {
			continue
		}
		if shortage := worker.shortage(task); best == nil || shortage < minShortage {
			best, minShortage = worker, shortage
		}
	}
	return best
}

// addPreemptOrder adds an order to free resources for a task to the next message to the worker's agent once the store
// has shown that the task's shard has no later owner: that one may have placed the task already.
func (owner *Owner) addPreemptOrder(task *job.Task, worker *candidate, now time.Time) {
	view, s := worker.view, owner.shards[task.Job().Shard()]
	view.preemptedAt = now
	demand := demandOf(task, now)
	order := &wire.PreemptOrder{
		Shard: int32(s.number), Epoch: s.epoch, Worker: view.status().GetWorker(), Born: view.status().GetBorn(), Demand: demand,
	}
	s.afterFlush = append(s.afterFlush, func(time.Time) {
		view.nextMessage.Preempts = append(view.nextMessage.Preempts, order)
	})
	owner.log(event.RunPreempted, slog.String("task", task.Name()), slog.String("worker", view.status().GetWorker()),
		slog.Int("for_priority", int(demand.GetPriority())),
		slog.Int64("memory_mb", demand.GetMemoryMb()), slog.Int64("free_memory_mb", worker.free.MemoryMB()),
		slog.Int64("milli_cpu", demand.GetMilliCpu()), slog.Int64("free_milli_cpu", worker.free.MilliCPU))
}

// shortage returns how much of each resource is missing on the worker for a task, as a share of what
// the worker has in total, summed over all resources. It is 0 if the resources suffice.
func (worker *candidate) shortage(task *job.Task) float64 {
	spec, status := task.Spec(), worker.view.status()
	return shortfall(spec.GetMilliCpu(), worker.free.MilliCPU, status.GetMilliCpu()) +
		shortfall(spec.GetMemoryMb(), worker.free.MemoryMB(), status.GetMemoryMb()) +
		shortfall(spec.GetAccelerators(), worker.free.Accelerators, status.GetAccelerators())
}

// shortfall returns how much of what is wanted exceeds what is free, as a share of the total.
func shortfall(wanted, free, total int64) float64 {
	return float64(max(wanted-free, 0)) / float64(max(total, 1))
}

// fitsAfterReclaim reports whether a task fits on the worker once all runs of lower priority there
// have been stopped. A higher number is a lower priority.
func (worker *candidate) fitsAfterReclaim(task *job.Task) bool {
	reclaimed := *worker
	for _, runs := range worker.view.status().GetReclaimable() {
		if runs.GetPriority() > task.Job().Submission().GetPriority() {
			reclaimed.free.Add(admission.NewResources(runs.GetMilliCpu(), runs.GetMemoryMb(), runs.GetAccelerators()))
		}
	}
	return reclaimed.fits(task)
}
