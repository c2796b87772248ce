package owner

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/relocation"
	"ambertiller.example/ambertiller/telemetry"
)

// reservedMove is a run for which a worker is reserved.
type reservedMove struct {
	run                 *trackedRun
	source, destination *agentView
	worker              incarnation.ID // of the destination
}

// reserve reserves a worker for a run that is offered. It returns false if the worker is reserved already.
func (owner *Owner) reserve(run *trackedRun, received receivedOffer, destination *candidate, now time.Time) bool {
	view, number := destination.view, received.offer.GetNumber()
	if !owner.moves.reservations.Reserve(relocation.NewReservation(run.taskName, run.attempt, number, view.address, now)) {
		return false
	}
	owner.moves.reserved[run.taskName] = reservedMove{
		run: run, source: received.source, destination: view, worker: view.incarnation(),
	}
	return true
}

// subtractReserved subtracts what is reserved on the worker from its free resources, for all decisions, and counts the
// task that it is reserved for as one of the tasks of its step there.
func (owner *Owner) subtractReserved(worker *candidate) {
	if reservation, reserved := owner.moves.reservations.ByDestination(worker.view.address); reserved {
		run := owner.moves.reserved[reservation.Task()].run
		worker.reserve(run.demand)
		worker.reservedFor = run.task
	}
}

// updateReservations ends the reservations that are over, and places the tasks whose runs have been stopped on
// the workers reserved for them. A reservation of a run that is offered again ends here, before tasks are placed, so
// that tasks that wait for the worker come first.
func (owner *Owner) updateReservations(now time.Time) {
	for _, received := range owner.moves.offers {
		owner.endOutdatedReservation(received, now)
	}
	for _, reservation := range owner.moves.reservations.All() {
		move := owner.moves.reserved[reservation.Task()]
		situation := owner.situationOf(move, now)
		if situation.Waiting {
			owner.moves.stoppedAt[move.run.task] = now
		}
		end, ended := reservation.CheckEnd(situation, now)
		if !ended {
			continue
		}
		if end == relocation.Used {
			end = owner.placeMoved(reservation, move, now)
		}
		owner.endReservation(reservation, end, now)
	}
	for task := range owner.moves.stoppedAt {
		if _, current := owner.loadedJob(task.Job().ID()); current != task.Job() || current.HasEnded() {
			delete(owner.moves.stoppedAt, task)
		}
	}
}

// endOutdatedReservation ends the reservation of a task whose run is offered again under another number: the agent
// has not received the answer in time. An offer of an earlier run of the task, on another worker, has no effect.
func (owner *Owner) endOutdatedReservation(received receivedOffer, now time.Time) {
	offer := received.offer
	earlier, reserved := owner.moves.reservations.ByTask(offer.GetTask())
	if !reserved || received.source.conn != received.conn || earlier.IsFor(offer.GetNumber(), offer.GetAttempt()) {
		return
	}
	run, found := received.source.runs[offer.GetTask()]
	if found && run.attempt == offer.GetAttempt() && run.attempt == run.task.Attempt() {
		owner.endReservation(earlier, relocation.OfferedAgain, now)
	}
}

// situationOf returns what is known now of a reservation's run and destination.
func (owner *Owner) situationOf(move reservedMove, now time.Time) relocation.Situation {
	view, task := move.destination, move.run.task
	return relocation.Situation{
		Released:  owner.shards[move.run.shard.number] != move.run.shard,
		Ended:     task.Job().HasEnded(),
		Lost:      owner.agents[view.address] != view || view.incarnation() != move.worker || !view.isHeard(now),
		Draining:  view.status().GetDraining(),
		Evacuated: owner.isEvacuated(view),
		Running:   move.source.runs[move.run.taskName] == move.run,
		Waiting:   task.State() == job.TaskState_TASK_WAITING && task.Attempt() == move.run.attempt,
	}
}

// placeMoved places a task whose run has been stopped, before any other task: on the worker reserved for it if the
// task still fits there, or else on any other where it fits. Owners don't know of each other's reservations, so another
// owner may have used what the worker tolerates. It returns how the reservation ends.
func (owner *Owner) placeMoved(
	reservation relocation.Reservation, move reservedMove, now time.Time,
) relocation.EndReason {
	task := move.run.task
	if !task.Job().IsReady(task, now) {
		return relocation.RunEnded // It has failed, and is to be started later.
	}
	owner.releaseReservation(reservation)
	if owner.placeMovedAmong(task, slices.Values([]*agentView{move.destination}), now) {
		return relocation.Used
	}
	if owner.placeMovedAmong(task, owner.agentViews(), now) {
		return relocation.PlacedElsewhere
	}
	return relocation.Unfit
}

// placeMovedAmong starts a task on the best worker among the agents given that tolerates as much of it as the
// destination of a move must. It returns false if there is none.
func (owner *Owner) placeMovedAmong(task *job.Task, views iter.Seq[*agentView], now time.Time) bool {
	workers := owner.candidates(views, now)
	for _, worker := range workers {
		worker.toleranceRatio = min(toleranceRatioFor(task.Job().SlackRatio(now)), minMoveToleranceRatio)
	}
	best := owner.bestWorker(task, workers, now)
	if best == nil {
		return false
	}
	owner.startTask(task, best.view, now)
	return true
}

// releaseReservation makes the reserved resources available again.
func (owner *Owner) releaseReservation(reservation relocation.Reservation) {
	owner.moves.reservations.Release(reservation.Task())
	if move, found := owner.moves.reserved[reservation.Task()]; found {
		owner.placementChanges.addWorker(move.destination)
	}
	delete(owner.moves.reserved, reservation.Task())
}

// endReservation releases a reservation, and logs and counts the reason.
func (owner *Owner) endReservation(reservation relocation.Reservation, end relocation.EndReason, now time.Time) {
	owner.releaseReservation(reservation)
	owner.metrics.moveReservations.Add(owner.ctx, 1, telemetry.WithAttribute("end", string(end)))
	owner.log(event.MoveReservationEnded,
		slog.String("task", reservation.Task()), slog.Int("attempt", int(reservation.Attempt())),
		slog.String("agent", reservation.Destination()), slog.String("reason", string(end)),
		slog.Duration("after", reservation.Age(now)))
}

// recordMoveGap records how long a task that was moved was without a run.
func (owner *Owner) recordMoveGap(task *job.Task, now time.Time) {
	stoppedAt, moved := owner.moves.stoppedAt[task]
	if !moved {
		return
	}
	delete(owner.moves.stoppedAt, task)
	owner.metrics.moveGap.Record(owner.ctx, now.Sub(stoppedAt).Seconds())
}
