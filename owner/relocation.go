package owner

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/relocation"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// moves is the owner's state of offers to move fill runs. It is empty unless feature.Offers is enabled.
type moves struct {
	// offers are answered in the next tick.
	offers       []receivedOffer
	reservations *relocation.ReservationSet
	// reserved holds the runs of the reservations, by task name.
	reserved map[string]reservedMove
	// stoppedAt holds the tasks whose runs were stopped while a worker was reserved for them, with the time
	// at which the end arrived, until they have started again.
	stoppedAt map[*job.Task]time.Time
}

// receivedOffer is an offer that an agent has sent on a connection.
type receivedOffer struct {
	source *agentView
	conn   *agentConn
	offer  *wire.MoveOffer
}

// reservedMove is a run for which a worker is reserved.
type reservedMove struct {
	run                 *trackedRun
	source, destination *agentView
	worker              incarnation.ID // of the destination
}

func newMoves() moves {
	return moves{reservations: relocation.NewReservationSet(), reserved: map[string]reservedMove{}, stoppedAt: map[*job.Task]time.Time{}}
}

// receiveOffers keeps the offers of an agent for the next tick.
func (owner *Owner) receiveOffers(view *agentView, offers []*wire.MoveOffer) {
	if !owner.options.Features.Has(feature.Offers) {
		return
	}
	for _, offer := range offers {
		owner.moves.offers = append(owner.moves.offers, receivedOffer{source: view, conn: view.conn, offer: offer})
	}
}

// answerOffers answers the offers received since the last tick.
func (owner *Owner) answerOffers(now time.Time) {
	if len(owner.moves.offers) == 0 {
		return
	}
	// Performance: one list for all offers of the tick. A worker that is reserved for one is not used for
	// another, so the list need not be updated in between.
	among := owner.destinations(now)
	for _, received := range owner.moves.offers {
		owner.answerOffer(received, among, now)
	}
	owner.moves.offers = nil
}

// destinations are the workers that runs may be moved to in a tick.
type destinations struct {
	workers []*candidate
	// tolerating holds those that tolerate enough of a fill task.
	//
	// Performance: where few do, an offer does not look at every worker.
	tolerating map[fillNeed][]*candidate
}

// fillNeed is what a fill task needs the serving tasks on its worker to tolerate.
type fillNeed struct {
	image    string
	milliCPU int64
}

// destinations returns the workers that a run may be moved to. A worker on probation is none: its last runs have
// failed, while the run goes on where it is.
func (owner *Owner) destinations(now time.Time) destinations {
	workers := slices.DeleteFunc(owner.candidates(owner.agentViews(), now), func(worker *candidate) bool { return worker.onProbation })
	return destinations{workers: workers, tolerating: map[fillNeed][]*candidate{}}
}

// toleratingFor returns the workers that tolerate enough of a task. They may lack other resources for it.
func (destinations destinations) toleratingFor(task *job.Task) []*candidate {
	need := fillNeed{image: task.Spec().GetImage(), milliCPU: task.Spec().GetMilliCpu()}
	workers, known := destinations.tolerating[need]
	if known {
		return workers
	}
	for _, worker := range destinations.workers {
		if float64(worker.toleratedMilliCPU(need.image)) >= minMoveToleranceRatio*float64(need.milliCPU) {
			workers = append(workers, worker)
		}
	}
	destinations.tolerating[need] = workers
	return workers
}

// endOutdatedReservation ends the reservation of a task whose run is offered again under another number: the agent
// has not received the answer in time. An offer of an earlier run of the task, on another worker, has no effect.
func (owner *Owner) endOutdatedReservation(received receivedOffer, now time.Time) {
	offer := received.offer
	earlier, reserved := owner.moves.reservations.For(offer.GetTask())
	if !reserved || received.source.conn != received.conn || earlier.Answers(offer.GetNumber(), offer.GetAttempt()) {
		return
	}
	run, found := received.source.runs[offer.GetTask()]
	if found && run.attempt == offer.GetAttempt() && run.attempt == run.task.Attempt() {
		owner.endReservation(earlier, relocation.OfferedAgain, now)
	}
}

// answerOffer answers one offer. It does not answer one that has lapsed already, nor if the connection has ended
// or the shard is not owned and loaded.
func (owner *Owner) answerOffer(received receivedOffer, among destinations, now time.Time) {
	view, offer := received.source, received.offer
	ref, err := job.ParseTaskRef(offer.GetTask())
	if err != nil {
		owner.log(event.RecordUnreadable, slog.String("task", offer.GetTask()), slog.Any("error", err))
		return
	}
	s, j := owner.loadedJob(ref.Job)
	if s == nil || view.conn != received.conn || time.Duration(offer.GetLapsesNanos()) <= view.agentUptime {
		return
	}
	verdict := owner.judgeOffer(received, j, among, now)
	owner.metrics.moveOffers.Add(owner.ctx, 1, telemetry.WithAttribute("verdict", string(verdict)))
	if verdict != verdictReserved {
		owner.log(event.MoveDeclined, slog.String("task", offer.GetTask()), slog.Int("attempt", int(offer.GetAttempt())),
			slog.Int64("offer", offer.GetNumber()), slog.String("reason", string(verdict)),
			slog.Int("percent", int(offer.GetPercent())), slog.Int64("remaining_ms", offer.GetRemainingMs()),
			slog.Int("workers", len(among.workers)))
	}
	worker := view.incarnation()
	view.nextMessage.Moves = append(view.nextMessage.Moves, &wire.MoveAnswer{
		Number: offer.GetNumber(), Shard: int32(s.number), Epoch: s.epoch,
		Task: offer.GetTask(), Attempt: offer.GetAttempt(), Worker: worker.WorkerID(), Born: worker.StartedMs(),
		Accepted: verdict == verdictReserved,
	})
}

// offerVerdict is the decision about an offer: verdictReserved, or why it is declined.
type offerVerdict string

const (
	verdictReserved    offerVerdict = "reserved"
	verdictEnded       offerVerdict = "its job has ended"
	verdictNotCurrent  offerVerdict = "not the task's current run"
	verdictFixed       offerVerdict = "not a fill task that runs by itself"
	verdictUnconfirmed offerVerdict = "the store has not confirmed the ownership lately"
	verdictLittleGain  offerVerdict = "would save too little"
	verdictNoWorker    offerVerdict = "no worker tolerates it"
)

// judgeOffer decides about an offer, and reserves a worker if it is accepted. An offer that is told twice is
// accepted twice for one reservation.
func (owner *Owner) judgeOffer(received receivedOffer, j *job.Job, among destinations, now time.Time) offerVerdict {
	offer := received.offer
	run, found := received.source.runs[offer.GetTask()]
	switch {
	case j == nil || j.HasEnded():
		return verdictEnded
	case !found || run.attempt != offer.GetAttempt() || run.task.Attempt() != run.attempt:
		return verdictNotCurrent
	case run.task.Spec().GetGang() || !run.task.Spec().GetFills():
		return verdictFixed
	case now.Sub(owner.lastJoinAt) >= owner.options.MemberTimeout:
		return verdictUnconfirmed // The next start could not be recorded.
	}
	if _, reserved := owner.moves.reservations.For(run.taskName); reserved {
		return verdictReserved
	}
	remaining := time.Duration(offer.GetRemainingMs()) * time.Millisecond
	least := relocation.LeastGain(time.Duration(offer.GetMinGainMs())*time.Millisecond, run.task.Interruptions())
	if relocation.TimeSaved(remaining, offer.GetPercent(), relocation.FullPercent) < least {
		return verdictLittleGain
	}
	destination := owner.bestDestination(run.task, received.source, among, now)
	if destination == nil {
		owner.enqueueAdvice(run.task, now)
		return verdictNoWorker
	}
	percent := destination.expectedPercent(run.task)
	saved := relocation.TimeSaved(remaining, offer.GetPercent(), percent)
	if saved < least {
		return verdictLittleGain
	}
	if !owner.reserve(run, received, destination, now) {
		return verdictNoWorker
	}
	owner.logRun(event.MoveReserved, run,
		slog.Int64("offer", offer.GetNumber()), slog.String("worker", destination.view.incarnation().WorkerID()),
		slog.Int("percent", int(offer.GetPercent())), slog.Int("percent_there", int(percent)),
		slog.Duration("saves", saved), slog.Duration("least", least),
		slog.Int("interruptions", run.task.Interruptions()),
		slog.Int64("tolerated_milli_cpu", destination.toleratedMilliCPU(run.demand.GetImage())),
		slog.Duration("age", now.Sub(destination.view.lastMessageAt)))
	return verdictReserved
}

// bestDestination returns the worker that tolerates most of the task, is not the source and is not reserved for
// another move, or nil if none tolerates enough.
func (owner *Owner) bestDestination(task *job.Task, source *agentView, among destinations, now time.Time) *candidate {
	others := slices.DeleteFunc(slices.Clone(among.toleratingFor(task)), func(worker *candidate) bool {
		_, reserved := owner.moves.reservations.At(worker.view.address)
		return worker.view == source || reserved
	})
	return owner.bestWorker(task, others, now)
}

// minMoveToleranceRatio is the share of the processors a fill task asks for that the serving tasks on a worker
// must tolerate for the task to be moved there. With less, the run would be offered again at once.
const minMoveToleranceRatio = 0.3

// expectedPercent returns the pace, as a percentage, at which the worker would let a fill task run.
func (worker *candidate) expectedPercent(task *job.Task) int32 {
	asked := task.Spec().GetMilliCpu()
	if asked <= 0 {
		return relocation.FullPercent
	}
	percent := worker.toleratedMilliCPU(task.Spec().GetImage()) * relocation.FullPercent / asked
	return int32(min(max(percent, 0), relocation.FullPercent))
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

// subtractReserved subtracts what is reserved on the worker from its free resources, for all decisions, and has the
// task that it is reserved for counted as one of its step there.
func (owner *Owner) subtractReserved(worker *candidate) {
	if reservation, reserved := owner.moves.reservations.At(worker.view.address); reserved {
		run := owner.moves.reserved[reservation.Task()].run
		worker.reserve(run.demand)
		worker.reservedFor = run.task
	}
}

// settleReservations ends the reservations that are over, and places the tasks whose runs have been stopped on
// the workers reserved for them. A reservation of a run that is offered again ends here, before tasks are placed, so
// that tasks that wait for the worker come first.
func (owner *Owner) settleReservations(now time.Time) {
	for _, received := range owner.moves.offers {
		owner.endOutdatedReservation(received, now)
	}
	for _, reservation := range owner.moves.reservations.All() {
		move := owner.moves.reserved[reservation.Task()]
		situation := owner.situationOf(move, now)
		if situation.Waiting {
			owner.moves.stoppedAt[move.run.task] = now
		}
		end, ended := reservation.EndIn(situation, now)
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

// situationOf returns what is known now of a reservation's run and destination.
func (owner *Owner) situationOf(move reservedMove, now time.Time) relocation.Situation {
	view, task := move.destination, move.run.task
	return relocation.Situation{
		Released: owner.shards[move.run.shard.number] != move.run.shard,
		Ended:    task.Job().HasEnded(),
		Lost: owner.agents[view.address] != view || view.conn == nil || view.incarnation() != move.worker ||
			now.Sub(view.lastMessageAt) > 2*grantInterval,
		Draining:  view.status().GetDraining(),
		Evacuated: owner.isEvacuated(view),
		Running:   move.source.runs[move.run.taskName] == move.run,
		Waiting:   task.State() == job.TaskState_TASK_WAITING && task.Attempt() == move.run.attempt,
	}
}

// placeMoved places a task whose run has been stopped, before any other task: on the worker reserved for it if that
// still fits, or else on any other that fits. Owners don't know of each other's reservations, so what the worker
// tolerates may be gone. It returns how the reservation ends.
func (owner *Owner) placeMoved(reservation relocation.Reservation, move reservedMove, now time.Time) relocation.End {
	task := move.run.task
	if !slices.Contains(task.Job().ReadyTasks(now), task) {
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

// releaseReservation makes the reserved room available again.
func (owner *Owner) releaseReservation(reservation relocation.Reservation) {
	owner.moves.reservations.Release(reservation.Task())
	if move, found := owner.moves.reserved[reservation.Task()]; found {
		owner.placementChanges.addWorker(move.destination)
	}
	delete(owner.moves.reserved, reservation.Task())
}

// endReservation releases a reservation, and logs and counts why.
func (owner *Owner) endReservation(reservation relocation.Reservation, end relocation.End, now time.Time) {
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
