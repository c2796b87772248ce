package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

const (
	// failuresBeforeProbation is how many runs in a row must fail before a worker is on probation and is
	// given only one run at a time. A single failure is often caused by the task.
	failuresBeforeProbation = 2
	// probationDuration is how long a worker is given no runs after a failure that puts it or keeps it on
	// probation, or after it failed to start a run. It is also how long a long-running task must run to show
	// that the worker functions.
	probationDuration = 1500 * time.Millisecond
	// refusalBackoff is how long a worker that refused a start is given no further ones.
	refusalBackoff = 150 * time.Millisecond
	// suspectSpacing is the time between placing two tasks on a worker that are suspected of crashing
	// workers. Agents keep the starts of such tasks 250 ms apart, and an order takes up to 50 ms to arrive.
	// Other tasks are placed on the worker in between.
	suspectSpacing = 300 * time.Millisecond
)

// logRun logs an event of a run, with its task and attempt.
func (owner *Owner) logRun(code event.Code, run *trackedRun, attributes ...slog.Attr) {
	about := []slog.Attr{slog.String("task", run.taskName), slog.Int("attempt", int(run.attempt))}
	owner.log(code, append(about, attributes...)...)
}

// startTask places a task on an agent's worker. The start order is sent once the placement is in the store.
func (owner *Owner) startTask(task *job.Task, view *agentView, now time.Time) {
	j := task.Job()
	s := owner.shards[j.Shard()]
	waited, obstacle := task.UnplacedFor(now)
	j.StartRun(task, job.Place{Incarnation: view.incarnation(), AgentAddress: view.address}, now)
	run := newTrackedRun(s, task, now)
	run.ticket, _ = owner.ticketFor(task, run.place.Incarnation, now)
	run.isSuspect = task.IsSuspect() && !view.startsSuspectBeside(task)
	view.runs[run.taskName] = run
	owner.countStart(task, view, now)
	if task.IsSuspect() {
		view.noSuspectsUntil = now.Add(suspectSpacing)
	}
	owner.logRun(event.RunPlaced, run, slog.String("worker", run.place.Incarnation.WorkerID()), slog.Int64("born", run.place.Incarnation.StartedMs()), slog.Int64("milli_cpu", run.demand.GetMilliCpu()),
		slog.Bool("fills", run.demand.GetFills()), slog.String("image", run.demand.GetImage()), slog.Int64("target_ms", run.demand.GetTargetMs()), slog.Int64("estimate_ms", task.Spec().GetEstimateMs()),
		slog.Int64("free_milli_cpu", view.status().GetFreeMilliCpu()), slog.Int64("free_memory_mb", view.status().GetFreeMemoryMb()),
		slog.Duration("age", now.Sub(view.lastMessageAt)), slog.Duration("waited", waited), slog.String("obstacle", obstacle))
	owner.markDirty(s, j)
	s.afterFlush = append(s.afterFlush, func(now time.Time) { owner.addStartOrder(view, run, now) })
}

// addStartOrder has a run ordered whose start is in the store, unless it can't be ordered any more.
func (owner *Owner) addStartOrder(view *agentView, run *trackedRun, now time.Time) {
	if owner.mayOrder(view, run, now) {
		run.orderedAt = now
		view.startsDue = append(view.startsDue, run)
	}
}

// mayOrder reports whether a run may still be ordered. It releases a run that can't be: it was never ordered, so it can't
// have started.
func (owner *Owner) mayOrder(view *agentView, run *trackedRun, now time.Time) bool {
	if view.runs[run.taskName] != run {
		return false
	}
	if view.conn == nil || view.incarnation() != run.place.Incarnation || run.task.Job().HasEnded() {
		owner.releaseRun(view, run, "its place went away before the order", now)
		return false
	}
	if owner.isEvacuated(view) {
		owner.releaseRun(view, run, "its failure domain was evacuated before the order", now)
		return false
	}
	return true
}

// confirmRun marks a run as started.
func (owner *Owner) confirmRun(run *trackedRun, now time.Time) {
	if !run.confirmed {
		owner.recordMoveGap(run.task, now)
		owner.logRun(event.RunStarted, run, slog.String("worker", run.place.Incarnation.WorkerID()))
	}
	run.confirmed = true
	run.task.ResetRefusals()
	if run.task.Job().MarkRunning(now) {
		owner.backlogs.outcomes.RecordStart(run.task.Job().ID(), now)
		owner.metrics.jobWait.Record(owner.ctx, now.Sub(time.UnixMilli(run.task.Job().Submission().GetSubmittedMs())).Seconds())
		owner.markDirty(run.shard, run.task.Job())
	}
}

// handleStartResult applies an agent's answer to a start order.
func (owner *Owner) handleStartResult(view *agentView, result *wire.StartResult, now time.Time) {
	run, found := view.runs[result.GetTask()]
	if !found || run.attempt != result.GetAttempt() || !run.place.Incarnation.MayEqual(result.Incarnation()) {
		return
	}
	if result.GetOutcome() == wire.StartOutcome_START_STARTED {
		owner.confirmRun(run, now)
		return
	}
	delete(view.runs, run.taskName)
	if run.task.Attempt() != run.attempt {
		return
	}
	owner.logRun(event.RunNotStarted, run, slog.String("worker", run.place.Incarnation.WorkerID()), slog.String("outcome", result.GetOutcome().String()))
	owner.metrics.startsRefused.Add(owner.ctx, 1, telemetry.WithAttribute("outcome", result.GetOutcome().String()))
	j := run.task.Job()
	if result.GetOutcome() == wire.StartOutcome_START_NO_ROOM {
		run.task.AddRefusal()
	}
	if result.GetOutcome() == wire.StartOutcome_START_TICKET {
		owner.dropAdvice(run.task)
	}
	owner.stopGang(run.task)
	j.Requeue(run.task, now)
	owner.markRunOver(run.shard, j, view)
	owner.handleRefusal(view, result.GetOutcome(), now)
}

// handleRefusal delays further starts on a worker that has refused one.
func (owner *Owner) handleRefusal(view *agentView, outcome wire.StartOutcome, now time.Time) {
	if outcome == wire.StartOutcome_START_SUSPECT {
		// Only tasks that are suspected of crashing workers have to wait.
		view.noSuspectsUntil = now.Add(suspectSpacing)
		return
	}
	backoff := refusalBackoff
	if outcome == wire.StartOutcome_START_WORKER_FAILED {
		backoff = probationDuration
	}
	if until := now.Add(backoff); until.After(view.avoidUntil) {
		view.avoidUntil = until
	}
}

// handleRunEnd applies the end of a run, and acknowledges it to the agent once it is in the store, so that
// the worker can forget it.
func (owner *Owner) handleRunEnd(view *agentView, end *wire.RunEnd, now time.Time) {
	ref, valid := owner.parseTask(end.GetTask())
	if !valid {
		return
	}
	s := owner.applyRunEnd(view, ref, end, now)
	if s == nil || end.GetNumber() == 0 {
		return
	}
	s.afterFlush = append(s.afterFlush, func(time.Time) {
		view.nextMessage.Seen = append(view.nextMessage.Seen, &wire.EndSeen{Worker: end.GetWorker(), Born: end.GetBorn(), Number: end.GetNumber()})
	})
}

// applyRunEnd applies the end of a run to its job, if that is known. It returns the shard, or nil unless it is owned and
// loaded.
func (owner *Owner) applyRunEnd(view *agentView, ref job.TaskRef, end *wire.RunEnd, now time.Time) *shard {
	s, j := owner.loadedJob(ref.Job)
	if j != nil {
		owner.endRun(view, s, j, ref, end, now)
	}
	return s
}

// endRun ends a run of a job.
func (owner *Owner) endRun(view *agentView, s *shard, j *job.Job, ref job.TaskRef, end *wire.RunEnd, now time.Time) {
	task := j.Task(ref)
	if task == nil {
		return
	}
	run, found := view.runs[end.GetTask()]
	if found && run.attempt == end.GetAttempt() {
		delete(view.runs, end.GetTask())
	} else {
		run = nil
	}
	hadEnded := j.HasEnded()
	storeLatency := run.storeLatency(task)
	if end.GetProven() {
		task.MarkSurvivedStart(end.GetAttempt())
	}
	reason := endReason(end.GetReason())
	if !view.endRunOf(j, task, run, end, now) {
		owner.logSupersededEnd(task, end)
		s.removeIfSettled(j)
		return
	}
	owner.log(event.RunEnded, slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.String("worker", end.GetWorker()), slog.String("how", end.GetReason().String()), slog.Duration("ran", now.Sub(task.StartedAt())),
		slog.Duration("recorded", storeLatency))
	owner.metrics.runsEnded.Add(owner.ctx, 1, telemetry.WithAttribute("reason", end.GetReason().String()))
	if reason == job.EndDone && owner.options.Features.Has(feature.Backlog) {
		s.ended.AddTask(task, now)
	}
	if reason.IsCrash() && task.State() == job.TaskState_TASK_FAILED {
		owner.log(event.TaskGivenUp, slog.String("task", end.GetTask()), slog.Int("crashes", task.Crashes()), slog.Int("doubts", task.AmbiguousCrashes()))
	}
	view.recordOutcome(end.GetReason(), now)
	owner.markRunOver(s, j, view)
	if j.HasEnded() && !hadEnded {
		owner.reportEndOnceStored(s, j)
	}
	s.removeIfSettled(j)
}

// endRunOf records the end of a run in its job, and reports whether anything changed. The run is nil if it is not tracked.
func (view *agentView) endRunOf(j *job.Job, task *job.Task, run *trackedRun, end *wire.RunEnd, now time.Time) bool {
	reason := endReason(end.GetReason())
	if !view.provesEndedRunBegun(run, end) {
		return j.EndUnansweredRun(task, end.GetAttempt(), reason, now)
	}
	return j.EndRun(task, end.GetAttempt(), reason, end.GetCheckpoint(), now)
}

// logSupersededEnd logs and counts the end of a successful run whose task has been started again since.
func (owner *Owner) logSupersededEnd(task *job.Task, end *wire.RunEnd) {
	if end.GetReason() != wire.EndReason_END_DONE || end.GetAttempt() >= task.Attempt() {
		return
	}
	owner.metrics.supersededEnds.Add(owner.ctx, 1)
	owner.log(event.EndOfEarlierRun, slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.Int("present", int(task.Attempt())), slog.String("state", task.State().String()), slog.String("worker", end.GetWorker()))
}

// hasProbationRun reports whether the worker has a run whose outcome will show whether the worker
// functions. A long-running task shows that by not failing for probationDuration. It has no end to wait
// for, so otherwise nothing else would ever be placed beside it.
func (view *agentView) hasProbationRun(now time.Time) bool {
	for _, run := range view.runs {
		if !run.confirmed || !run.task.Spec().GetLasting() || now.Sub(run.task.StartedAt()) < probationDuration {
			return true
		}
	}
	return false
}

// recordOutcome counts the consecutive failures of a worker's runs, and delays further starts after too many.
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

// endReason converts the reason of a run's end to that of package job. Any other reason is an interruption.
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

// releaseRun drops a run that is known to be over although its end was not reported, and requeues its task.
func (owner *Owner) releaseRun(view *agentView, run *trackedRun, reason string, now time.Time) {
	delete(view.runs, run.taskName)
	if run.task.Attempt() != run.attempt {
		return
	}
	j := run.task.Job()
	owner.logRun(event.RunLost, run, slog.String("worker", run.place.Incarnation.WorkerID()), slog.Int64("born", run.place.Incarnation.StartedMs()), slog.String("reason", reason), slog.Duration("after", now.Sub(run.task.StartedAt())),
		slog.Bool("attached", view.conn != nil), slog.Duration("unheard", now.Sub(view.lastMessageAt)), slog.Bool("inherited", run.inherited))
	owner.metrics.runsLost.Add(owner.ctx, 1, telemetry.WithAttribute("reason", reason))
	j.Requeue(run.task, now)
	owner.markRunOver(run.shard, j, view)
	run.shard.removeIfSettled(j)
}
