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
	// failuresBeforeProbation is how many runs in a row fail before a worker is
	// given only trials: one failure is often the task's own.
	failuresBeforeProbation = 2
	// probationDuration is how long only trials are placed on a worker in doubt.
	probationDuration = 1500 * time.Millisecond
	// refusalBackoff keeps a worker that refused a start from being asked again
	// at once.
	refusalBackoff = 150 * time.Millisecond
	// suspectSpacing keeps suspects on one worker apart, from when they are placed: as long as
	// the agent has them apart, 250 ms from their start, and 50 ms to get there. Meanwhile
	// other tasks are started there.
	suspectSpacing = 300 * time.Millisecond
)

// logRun logs what becomes of a run.
func (owner *Owner) logRun(code event.Code, entry *trackedRun, attributes ...slog.Attr) {
	about := []slog.Attr{slog.String("task", entry.taskName), slog.Int("attempt", int(entry.attempt))}
	owner.log(code, append(about, attributes...)...)
}

// startTask decides that a task runs at an agent's worker. The order goes out once
// the decision is in the store.
func (owner *Owner) startTask(task *job.Task, view *agentView, now time.Time) {
	made := task.Job()
	held := owner.shards[made.Shard()]
	waited, obstacle := task.UnplacedFor(now)
	made.StartRun(task, job.Place{Incarnation: view.incarnation(), AgentAddress: view.address}, now)
	entry := newTrackedRun(held, task, now)
	entry.ticket, _ = owner.ticketFor(task, entry.place.Incarnation, now)
	view.runs[entry.taskName] = entry
	if task.IsSuspect() {
		view.noSuspectsUntil = now.Add(suspectSpacing)
	}
	owner.logRun(event.RunPlaced, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.Int64("born", entry.place.Incarnation.StartedMs()), slog.Int64("milli_cpu", entry.demand.GetMilliCpu()),
		slog.Bool("fills", entry.demand.GetFills()), slog.String("image", entry.demand.GetImage()), slog.Int64("target_ms", entry.demand.GetTargetMs()), slog.Int64("estimate_ms", task.Spec().GetEstimateMs()),
		slog.Int64("free_milli_cpu", view.status().GetFreeMilliCpu()), slog.Int64("free_memory_mb", view.status().GetFreeMemoryMb()),
		slog.Duration("age", now.Sub(view.lastMessageAt)), slog.Duration("waited", waited), slog.String("obstacle", obstacle))
	owner.markDirty(held, made)
	held.afterFlush = append(held.afterFlush, func(now time.Time) { owner.addStartOrder(view, entry, now) })
}

// addStartOrder sends the order for a run whose start is in the store.
func (owner *Owner) addStartOrder(view *agentView, entry *trackedRun, now time.Time) {
	if view.runs[entry.taskName] != entry {
		return
	}
	if view.conn == nil || view.incarnation() != entry.place.Incarnation || entry.task.Job().HasEnded() {
		// Never ordered, so it never ran.
		owner.releaseRun(view, entry, "its place went away before the order", now)
		return
	}
	if owner.isEvacuated(view) {
		owner.releaseRun(view, entry, "its failure domain was evacuated before the order", now)
		return
	}
	made := entry.task.Job()
	view.nextMessage.Starts = append(view.nextMessage.Starts, &wire.StartOrder{
		Shard: int32(entry.shard.number), Epoch: entry.shard.epoch, Task: entry.taskName, Attempt: entry.attempt, Worker: entry.place.Incarnation.WorkerID(), Born: entry.place.Incarnation.StartedMs(),
		Spec: made.Submission().GetSpec(), Checkpoint: made.ResumeCheckpoint(entry.task), Ticket: entry.ticket, Demand: entry.demand, Suspect: entry.task.IsSuspect(),
	})
	entry.orderSequence = view.sentSequence + 1
	entry.orderedAt = now
	entry.orderedEarlier = false
	owner.logRun(event.RunOrdered, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.Int64("message", entry.orderSequence))
}

// confirmRun notes that a run has started.
func (owner *Owner) confirmRun(entry *trackedRun, now time.Time) {
	if !entry.confirmed {
		owner.logRun(event.RunStarted, entry, slog.String("worker", entry.place.Incarnation.WorkerID()))
	}
	entry.confirmed = true
	entry.task.ResetRefusals()
	if entry.task.Job().MarkRunning(now) {
		owner.metrics.jobWait.Record(owner.ctx, now.Sub(time.UnixMilli(entry.task.Job().Submission().GetSubmittedMs())).Seconds())
		owner.markDirty(entry.shard, entry.task.Job())
	}
}

// handleStartResult takes in whether a run has started.
func (owner *Owner) handleStartResult(view *agentView, result *wire.StartResult, now time.Time) {
	entry, found := view.runs[result.GetTask()]
	if !found || entry.attempt != result.GetAttempt() || !entry.place.Incarnation.MayEqual(result.Incarnation()) {
		return
	}
	if result.GetOutcome() == wire.StartOutcome_START_STARTED {
		owner.confirmRun(entry, now)
		return
	}
	delete(view.runs, entry.taskName)
	if entry.task.Attempt() != entry.attempt {
		return
	}
	owner.logRun(event.RunNotStarted, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.String("outcome", result.GetOutcome().String()))
	owner.metrics.startsRefused.Add(owner.ctx, 1, telemetry.WithAttribute("outcome", result.GetOutcome().String()))
	made := entry.task.Job()
	if result.GetOutcome() == wire.StartOutcome_START_NO_ROOM {
		entry.task.AddRefusal()
	}
	if result.GetOutcome() == wire.StartOutcome_START_TICKET {
		owner.dropAdvice(entry.task)
	}
	owner.stopGang(entry.task)
	made.Requeue(entry.task, now)
	owner.markRunOver(entry.shard, made, view)
	owner.handleRefusal(view, result.GetOutcome(), now)
}

func (owner *Owner) handleRefusal(view *agentView, outcome wire.StartOutcome, now time.Time) {
	if outcome == wire.StartOutcome_START_SUSPECT {
		// Only other suspects have to keep away.
		view.noSuspectsUntil = now.Add(suspectSpacing)
		return
	}
	pause := refusalBackoff
	if outcome == wire.StartOutcome_START_WORKER_FAILED {
		pause = probationDuration
	}
	if until := now.Add(pause); until.After(view.avoidUntil) {
		view.avoidUntil = until
	}
}

// handleRunEnd takes in the end of a run, and lets the worker forget it once it is in
// the store.
func (owner *Owner) handleRunEnd(view *agentView, end *wire.RunEnd, now time.Time) {
	ref, err := job.ParseTaskRef(end.GetTask())
	if err != nil {
		owner.log(event.RecordUnreadable, slog.String("task", end.GetTask()), slog.Any("error", err))
		return
	}
	held, made := owner.loadedJob(ref.Job)
	if held == nil {
		return
	}
	if made != nil {
		owner.applyRunEnd(view, held, made, ref, end, now)
	}
	if end.GetNumber() == 0 {
		return
	}
	held.afterFlush = append(held.afterFlush, func(time.Time) {
		view.nextMessage.Seen = append(view.nextMessage.Seen, &wire.EndSeen{Worker: end.GetWorker(), Born: end.GetBorn(), Number: end.GetNumber()})
	})
}

func (owner *Owner) applyRunEnd(view *agentView, held *shard, made *job.Job, ref job.TaskRef, end *wire.RunEnd, now time.Time) {
	task := made.Task(ref)
	if task == nil {
		return
	}
	entry, found := view.runs[end.GetTask()]
	if found && entry.attempt == end.GetAttempt() {
		delete(view.runs, end.GetTask())
	}
	ended := made.HasEnded()
	recorded := entry.storeLatency(task)
	if end.GetProven() {
		task.MarkSurvivedStart(end.GetAttempt())
	}
	reason := endReason(end.GetReason())
	if !made.EndRun(task, end.GetAttempt(), reason, end.GetCheckpoint(), now) {
		owner.logSupersededEnd(task, end)
		held.removeIfSettled(made)
		return
	}
	owner.log(event.RunEnded, slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.String("worker", end.GetWorker()), slog.String("how", end.GetReason().String()), slog.Duration("ran", now.Sub(task.StartedAt())),
		slog.Duration("recorded", recorded))
	owner.metrics.runsEnded.Add(owner.ctx, 1, telemetry.WithAttribute("reason", end.GetReason().String()))
	if reason.IsCrash() && task.State() == job.TaskState_TASK_FAILED {
		owner.log(event.TaskGivenUp, slog.String("task", end.GetTask()), slog.Int("crashes", task.Crashes()), slog.Int("doubts", task.AmbiguousCrashes()))
	}
	view.recordOutcome(end.GetReason(), now)
	owner.markRunOver(held, made, view)
	if made.HasEnded() && !ended {
		owner.reportEndOnceStored(held, made)
	}
	held.removeIfSettled(made)
}

// logSupersededEnd logs the end of a run as done whose task has been started again.
func (owner *Owner) logSupersededEnd(task *job.Task, end *wire.RunEnd) {
	if end.GetReason() != wire.EndReason_END_DONE || end.GetAttempt() >= task.Attempt() {
		return
	}
	owner.metrics.supersededEnds.Add(owner.ctx, 1)
	owner.log(event.EndOfEarlierRun, slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.Int("present", int(task.Attempt())), slog.String("state", task.State().String()), slog.String("worker", end.GetWorker()))
}

// hasProbationRun reports whether a run goes that will show whether the worker does. One that lasts shows it by not
// failing for as long as a doubt: it has no end to wait for, and nothing else would be placed beside it.
func (view *agentView) hasProbationRun(now time.Time) bool {
	for _, entry := range view.runs {
		if !entry.confirmed || !entry.task.Spec().GetLasting() || now.Sub(entry.task.StartedAt()) < probationDuration {
			return true
		}
	}
	return false
}

// recordOutcome judges a worker by what becomes of its runs.
func (view *agentView) recordOutcome(reason wire.EndReason, now time.Time) {
	switch reason {
	case wire.EndReason_END_DONE:
		view.consecutiveFailures = 0
	case wire.EndReason_END_FAILED:
		view.consecutiveFailures++
		if view.consecutiveFailures >= failuresBeforeProbation {
			view.avoidUntil = now.Add(probationDuration)
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

// releaseRun lets the task of a run that is over for certain wait again.
func (owner *Owner) releaseRun(view *agentView, entry *trackedRun, reason string, now time.Time) {
	delete(view.runs, entry.taskName)
	if entry.task.Attempt() != entry.attempt {
		return
	}
	made := entry.task.Job()
	owner.logRun(event.RunLost, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.Int64("born", entry.place.Incarnation.StartedMs()), slog.String("reason", reason), slog.Duration("after", now.Sub(entry.task.StartedAt())),
		slog.Bool("attached", view.conn != nil), slog.Duration("unheard", now.Sub(view.lastMessageAt)), slog.Bool("inherited", entry.inherited))
	owner.metrics.runsLost.Add(owner.ctx, 1, telemetry.WithAttribute("reason", reason))
	made.Requeue(entry.task, now)
	owner.markRunOver(entry.shard, made, view)
	entry.shard.removeIfSettled(made)
}
