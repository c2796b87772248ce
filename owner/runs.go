package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

const (
	// failuresBeforeDoubt is how many runs in a row fail before a worker is
	// given only trials: one failure is often the task's own.
	failuresBeforeDoubt = 2
	// doubtLength is how long only trials are placed on a worker in doubt.
	doubtLength = 1500 * time.Millisecond
	// refusedPause keeps a worker that refused a start from being asked again
	// at once.
	refusedPause = 150 * time.Millisecond
	// suspectsApart keeps suspects on one worker apart, from when they are placed: as long as
	// the agent has them apart, 250 ms from their start, and 50 ms to get there. Meanwhile
	// other tasks are started there.
	suspectsApart = 300 * time.Millisecond
)

// logRun logs what becomes of a run.
func (owner *Owner) logRun(code event.Code, entry *runEntry, attributes ...slog.Attr) {
	about := []slog.Attr{slog.String("task", entry.name), slog.Int("attempt", int(entry.attempt))}
	owner.log(code, append(about, attributes...)...)
}

// start decides that a task runs at an agent's worker. The order goes out once
// the decision is in the store.
func (owner *Owner) start(task *job.Task, view *agentView, now time.Time) {
	made := task.Job()
	held := owner.shards[made.Shard()]
	waited, obstacle := task.UnplacedFor(now)
	made.StartRun(task, job.Place{Incarnation: view.incarnation(), AgentAddress: view.address}, now)
	entry := newEntry(held, task, now)
	entry.ticket, _ = owner.ticketFor(task, entry.place.Incarnation, now)
	view.runs[entry.name] = entry
	if task.IsSuspect() {
		view.suspectUntil = now.Add(suspectsApart)
	}
	owner.logRun(event.RunPlaced, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.Int64("born", entry.place.Incarnation.StartedMs()), slog.Int64("milli_cpu", entry.demand.GetMilliCpu()),
		slog.Bool("fills", entry.demand.GetFills()), slog.String("image", entry.demand.GetImage()), slog.Int64("target_ms", entry.demand.GetTargetMs()), slog.Int64("estimate_ms", task.Spec().GetEstimateMs()),
		slog.Int64("free_milli_cpu", view.status().GetFreeMilliCpu()), slog.Int64("free_memory_mb", view.status().GetFreeMemoryMb()),
		slog.Duration("age", now.Sub(view.heardAt)), slog.Duration("waited", waited), slog.String("obstacle", obstacle))
	owner.changed(held, made)
	held.after = append(held.after, func(now time.Time) { owner.order(view, entry, now) })
}

// order sends the order for a run whose start is in the store.
func (owner *Owner) order(view *agentView, entry *runEntry, now time.Time) {
	if view.runs[entry.name] != entry {
		return
	}
	if view.link == nil || view.incarnation() != entry.place.Incarnation || entry.task.Job().HasEnded() {
		// Never ordered, so it never ran.
		owner.release(view, entry, "its place went away before the order", now)
		return
	}
	if owner.isEvacuated(view) {
		owner.release(view, entry, "its failure domain was evacuated before the order", now)
		return
	}
	made := entry.task.Job()
	view.message.Starts = append(view.message.Starts, &wire.StartOrder{
		Shard: int32(entry.held.number), Epoch: entry.held.epoch, Task: entry.name, Attempt: entry.attempt, Worker: entry.place.Incarnation.WorkerID(), Born: entry.place.Incarnation.StartedMs(),
		Spec: made.Submission().GetSpec(), Checkpoint: made.ResumeCheckpoint(entry.task), Ticket: entry.ticket, Demand: entry.demand, Suspect: entry.task.IsSuspect(),
	})
	entry.sequence = view.sequence + 1
	entry.orderedAt = now
	entry.prior = false
	owner.logRun(event.RunOrdered, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.Int64("message", entry.sequence))
}

// confirm notes that a run has started.
func (owner *Owner) confirm(entry *runEntry, now time.Time) {
	if !entry.confirmed {
		owner.logRun(event.RunStarted, entry, slog.String("worker", entry.place.Incarnation.WorkerID()))
	}
	entry.confirmed = true
	entry.task.ResetRefusals()
	if entry.task.Job().MarkRunning(now) {
		owner.meters.waited.Record(owner.ctx, now.Sub(time.UnixMilli(entry.task.Job().Submission().GetSubmittedMs())).Seconds())
		owner.changed(entry.held, entry.task.Job())
	}
}

// noteResult takes in whether a run has started.
func (owner *Owner) noteResult(view *agentView, result *wire.StartResult, now time.Time) {
	entry, found := view.runs[result.GetTask()]
	if !found || entry.attempt != result.GetAttempt() || !entry.place.Incarnation.MayEqual(result.Incarnation()) {
		return
	}
	if result.GetOutcome() == wire.StartOutcome_START_STARTED {
		owner.confirm(entry, now)
		return
	}
	delete(view.runs, entry.name)
	if entry.task.Attempt() != entry.attempt {
		return
	}
	owner.logRun(event.RunNotStarted, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.String("outcome", result.GetOutcome().String()))
	owner.meters.refused.Add(owner.ctx, 1, telemetry.By("outcome", result.GetOutcome().String()))
	made := entry.task.Job()
	if result.GetOutcome() == wire.StartOutcome_START_NO_ROOM {
		entry.task.AddRefusal()
	}
	if result.GetOutcome() == wire.StartOutcome_START_TICKET {
		owner.dropAdvice(entry.task)
	}
	owner.stopGang(entry.task)
	made.Requeue(entry.task, now)
	owner.freed(entry.held, made, view)
	owner.noteRefusal(view, result.GetOutcome(), now)
}

func (owner *Owner) noteRefusal(view *agentView, outcome wire.StartOutcome, now time.Time) {
	if outcome == wire.StartOutcome_START_SUSPECT {
		// Only other suspects have to keep away.
		view.suspectUntil = now.Add(suspectsApart)
		return
	}
	pause := refusedPause
	if outcome == wire.StartOutcome_START_WORKER_FAILED {
		pause = doubtLength
	}
	if until := now.Add(pause); until.After(view.avoidUntil) {
		view.avoidUntil = until
	}
}

// noteEnd takes in the end of a run, and lets the worker forget it once it is in
// the store.
func (owner *Owner) noteEnd(view *agentView, end *wire.RunEnd, now time.Time) {
	ref, err := job.ParseTaskRef(end.GetTask())
	if err != nil {
		owner.log(event.RecordUnreadable, slog.String("task", end.GetTask()), slog.Any("error", err))
		return
	}
	held, made := owner.jobOf(ref.Job)
	if held == nil {
		return
	}
	if made != nil {
		owner.applyEnd(view, held, made, ref, end, now)
	}
	if end.GetNumber() == 0 {
		return
	}
	held.after = append(held.after, func(time.Time) {
		view.message.Seen = append(view.message.Seen, &wire.EndSeen{Worker: end.GetWorker(), Born: end.GetBorn(), Number: end.GetNumber()})
	})
}

func (owner *Owner) applyEnd(view *agentView, held *shard, made *job.Job, ref job.TaskRef, end *wire.RunEnd, now time.Time) {
	task := made.Task(ref)
	if task == nil {
		return
	}
	entry, found := view.runs[end.GetTask()]
	if found && entry.attempt == end.GetAttempt() {
		delete(view.runs, end.GetTask())
	}
	ended := made.HasEnded()
	recorded := entry.recordedAfter(task)
	if end.GetProven() {
		task.MarkSurvivedStart(end.GetAttempt())
	}
	reason := endReason(end.GetReason())
	if !made.EndRun(task, end.GetAttempt(), reason, end.GetCheckpoint(), now) {
		owner.logEarlier(task, end)
		held.settleLive(made)
		return
	}
	owner.log(event.RunEnded, slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.String("worker", end.GetWorker()), slog.String("how", end.GetReason().String()), slog.Duration("ran", now.Sub(task.StartedAt())),
		slog.Duration("recorded", recorded))
	owner.meters.ended.Add(owner.ctx, 1, telemetry.By("reason", end.GetReason().String()))
	if reason.IsCrash() && task.State() == job.TaskState_TASK_FAILED {
		owner.log(event.TaskGivenUp, slog.String("task", end.GetTask()), slog.Int("crashes", task.Crashes()), slog.Int("doubts", task.AmbiguousCrashes()))
	}
	view.noteOutcome(end.GetReason(), now)
	owner.freed(held, made, view)
	if made.HasEnded() && !ended {
		owner.logEnded(held, made)
	}
	held.settleLive(made)
}

// logEarlier logs the end of a run as done whose task has been started again.
func (owner *Owner) logEarlier(task *job.Task, end *wire.RunEnd) {
	if end.GetReason() != wire.EndReason_END_DONE || end.GetAttempt() >= task.Attempt() {
		return
	}
	owner.meters.earlier.Add(owner.ctx, 1)
	owner.log(event.EndOfEarlierRun, slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.Int("present", int(task.Attempt())), slog.String("state", task.State().String()), slog.String("worker", end.GetWorker()))
}

// onTrial reports whether a run goes that will show whether the worker does. One that lasts shows it by not
// failing for as long as a doubt: it has no end to wait for, and nothing else would be placed beside it.
func (view *agentView) onTrial(now time.Time) bool {
	for _, entry := range view.runs {
		if !entry.confirmed || !entry.task.Spec().GetLasting() || now.Sub(entry.task.StartedAt()) < doubtLength {
			return true
		}
	}
	return false
}

// noteOutcome judges a worker by what becomes of its runs.
func (view *agentView) noteOutcome(reason wire.EndReason, now time.Time) {
	switch reason {
	case wire.EndReason_END_DONE:
		view.failures = 0
	case wire.EndReason_END_FAILED:
		view.failures++
		if view.failures >= failuresBeforeDoubt {
			view.avoidUntil = now.Add(doubtLength)
		}
	}
}

func endReason(reason wire.EndReason) job.EndReason {
	switch reason {
	case wire.EndReason_END_DONE:
		return job.EndDone
	case wire.EndReason_END_FAILED:
		return job.EndFailed
	case wire.EndReason_END_CRASHED:
		return job.EndCrashed
	case wire.EndReason_END_CRASHED_BESIDE:
		return job.EndCrashedBesideSuspect
	}
	return job.EndInterrupted
}

// release lets the task of a run that is over for certain wait again.
func (owner *Owner) release(view *agentView, entry *runEntry, reason string, now time.Time) {
	delete(view.runs, entry.name)
	if entry.task.Attempt() != entry.attempt {
		return
	}
	made := entry.task.Job()
	owner.logRun(event.RunLost, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.Int64("born", entry.place.Incarnation.StartedMs()), slog.String("reason", reason), slog.Duration("after", now.Sub(entry.task.StartedAt())),
		slog.Bool("attached", view.link != nil), slog.Duration("unheard", now.Sub(view.heardAt)), slog.Bool("inherited", entry.inherited))
	owner.meters.lost.Add(owner.ctx, 1, telemetry.By("reason", reason))
	made.Requeue(entry.task, now)
	owner.freed(entry.held, made, view)
	entry.held.settleLive(made)
}
