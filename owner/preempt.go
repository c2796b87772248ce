package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// preemptInterval keeps requests to make room at one worker apart: a stop takes up to
// half a second, and the room that it makes has to be told.
const preemptInterval = 700 * time.Millisecond

// preemptFor asks the worker that has to stop the least for it to make room for a
// task that found no place. Tasks that fill wait instead: they take what is left. It reports whether
// a worker was asked.
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

// preemptionTarget returns the worker that misses the least of its own room for a task, of
// those where the task would fit once what is less urgent has been stopped; nil if
// there is none. Where it fits already, or has no ticket, room is not what it lacks.
func (owner *Owner) preemptionTarget(task *job.Task, workers []*candidate, now time.Time) *candidate {
	var best *candidate
	least := 0.0
	for _, worker := range workers {
		if now.Sub(worker.view.preemptedAt) < preemptInterval || worker.fits(task) || !worker.fitsAfterReclaim(task) {
			continue
		}
		if _, allowed := owner.ticketFor(task, worker.view.incarnation(), now); !allowed {
			continue
		}
		if missing := worker.shortage(task); best == nil || missing < least {
			best, least = worker, missing
		}
	}
	return best
}

// addPreemptOrder has a worker's agent make room for a task, with the next message.
func (owner *Owner) addPreemptOrder(task *job.Task, worker *candidate, now time.Time) {
	view := worker.view
	view.preemptedAt = now
	demand := demandOf(task, now)
	view.nextMessage.Preempts = append(view.nextMessage.Preempts, &wire.PreemptOrder{
		Shard: int32(task.Job().Shard()), Epoch: owner.shards[task.Job().Shard()].epoch, Worker: view.status().GetWorker(), Born: view.status().GetBorn(), Demand: demand,
	})
	owner.log(event.RunPreempted, slog.String("task", task.Name()), slog.String("worker", view.status().GetWorker()),
		slog.Int("for_priority", int(demand.GetPriority())),
		slog.Int64("memory_mb", demand.GetMemoryMb()), slog.Int64("free_memory_mb", worker.free.MemoryMB()),
		slog.Int64("milli_cpu", demand.GetMilliCpu()), slog.Int64("free_milli_cpu", worker.free.MilliCPU))
}

// shortage returns what a task lacks at the worker, in shares of what the worker has,
// added up; 0 if there is room.
func (worker *candidate) shortage(task *job.Task) float64 {
	spec, status := task.Spec(), worker.view.status()
	return shortfall(spec.GetMilliCpu(), worker.free.MilliCPU, status.GetMilliCpu()) +
		shortfall(spec.GetMemoryMb(), worker.free.MemoryMB(), status.GetMemoryMb()) +
		shortfall(spec.GetAccelerators(), worker.free.Accelerators, status.GetAccelerators())
}

// shortfall returns how much of something is wanted beyond what is free, as a share of
// the whole.
func shortfall(wanted, free, whole int64) float64 {
	return float64(max(wanted-free, 0)) / float64(max(whole, 1))
}

// fitsAfterReclaim reports whether a task fits once what is less urgent has been
// stopped.
func (worker *candidate) fitsAfterReclaim(task *job.Task) bool {
	freed := *worker
	for _, known := range worker.view.status().GetReclaimable() {
		if known.GetPriority() > task.Job().Submission().GetPriority() {
			freed.free.Add(admission.NewResources(known.GetMilliCpu(), known.GetMemoryMb(), known.GetAccelerators()))
		}
	}
	return freed.fits(task)
}
