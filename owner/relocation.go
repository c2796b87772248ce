package owner

import (
	"log/slog"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/relocation"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// moveState is the owner's state of offers to move fill runs, and of the reservations for them. It is empty unless
// feature.Offers is enabled.
type moveState struct {
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

func newMoveState() moveState {
	return moveState{
		reservations: relocation.NewReservationSet(), reserved: map[string]reservedMove{},
		stoppedAt: map[*job.Task]time.Time{},
	}
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
	// Performance: all offers of the tick share one list. A worker that is reserved for one offer is not used for
	// another, so the list need not be updated in between.
	among := owner.destinations(now)
	for _, received := range owner.moves.offers {
		owner.answerOffer(received, among, now)
	}
	owner.moves.offers = nil
}

// destinations holds the workers that runs may be moved to in a tick.
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

// destinations returns the workers that a run may be moved to. Workers on probation are excluded: their last runs
// have failed, while the run goes on where it is.
func (owner *Owner) destinations(now time.Time) destinations {
	workers := slices.DeleteFunc(owner.candidates(owner.agentViews(), now), func(worker *candidate) bool {
		return worker.onProbation
	})
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

// answerOffer answers one offer. It does not answer one that has lapsed already, nor if the connection has ended
// or the shard is not owned and loaded.
func (owner *Owner) answerOffer(received receivedOffer, among destinations, now time.Time) {
	view, offer := received.source, received.offer
	ref, valid := owner.parseTask(offer.GetTask())
	if !valid {
		return
	}
	s, j := owner.loadedJob(ref.Job)
	if s == nil || view.conn != received.conn || time.Duration(offer.GetLapsesNanos()) <= view.agentUptime {
		return
	}
	verdict := owner.decideOffer(received, j, among, now)
	owner.metrics.moveOffers.Add(owner.ctx, 1, telemetry.WithAttribute("verdict", string(verdict)))
	if verdict != verdictReserved {
		owner.logDeclined(offer, verdict, len(among.workers))
	}
	worker := view.incarnation()
	view.nextMessage.Moves = append(view.nextMessage.Moves, &wire.MoveAnswer{
		Number: offer.GetNumber(), Shard: int32(s.number), Epoch: s.epoch,
		Task: offer.GetTask(), Attempt: offer.GetAttempt(), Worker: worker.WorkerID(), Born: worker.StartedMs(),
		Accepted: verdict == verdictReserved,
	})
}

// logDeclined logs an offer that was declined, with the number of workers that were considered.
func (owner *Owner) logDeclined(offer *wire.MoveOffer, verdict offerVerdict, workers int) {
	owner.log(event.MoveDeclined, slog.String("task", offer.GetTask()), slog.Int("attempt", int(offer.GetAttempt())),
		slog.Int64("offer", offer.GetNumber()), slog.String("reason", string(verdict)),
		slog.Int("percent", int(offer.GetPercent())), slog.Int64("remaining_ms", offer.GetRemainingMs()),
		slog.Int("workers", workers))
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

// decideOffer decides about an offer, and reserves a worker if it is accepted. An offer that is received twice is
// accepted twice for one reservation.
func (owner *Owner) decideOffer(received receivedOffer, j *job.Job, among destinations, now time.Time) offerVerdict {
	offer := received.offer
	run, found := received.source.runs[offer.GetTask()]
	switch {
	case j == nil || j.HasEnded():
		return verdictEnded
	case !found || run.attempt != offer.GetAttempt() || run.task.Attempt() != run.attempt:
		return verdictNotCurrent
	case run.task.Spec().GetGang() || !run.task.Spec().GetFills():
		return verdictFixed
	case !owner.hasRecentJoin(now):
		return verdictUnconfirmed // The next start could not be recorded.
	}
	if _, reserved := owner.moves.reservations.ByTask(run.taskName); reserved {
		return verdictReserved
	}
	return owner.reserveDestination(run, received, among, now)
}

// reserveDestination reserves the best destination for a run that was offered, if there is one where the run saves
// enough time.
func (owner *Owner) reserveDestination(
	run *trackedRun, received receivedOffer, among destinations, now time.Time,
) offerVerdict {
	offer := received.offer
	remaining := time.Duration(offer.GetRemainingMs()) * time.Millisecond
	least := relocation.MinGain(time.Duration(offer.GetMinGainMs())*time.Millisecond, run.task.Interruptions())
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
		_, reserved := owner.moves.reservations.ByDestination(worker.view.address)
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
