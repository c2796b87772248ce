package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

const (
	// minStallTimeout is how long any run may be without progress before it counts as stalled.
	// Agents report progress once a second, in whole percent.
	minStallTimeout = 2500 * time.Millisecond
	// stallEstimateRatio is the share of a task's estimated run time that is added to
	// minStallTimeout, because a long task at a reduced pace takes long for one percent.
	stallEstimateRatio = 0.25
	// fullProgressPercent is the progress of a long-running task once it is working normally.
	fullProgressPercent = 100
)

// checkProgress records the progress of a run and orders a stop if it has stalled, so that its task
// continues on another worker. It also puts the worker on probation. Exempt are members of gangs and
// long-running tasks that work normally.
func (owner *Owner) checkProgress(view *agentView, run *trackedRun, status *wire.RunStatus, now time.Time) {
	if status.GetPercent() != run.progressPercent || run.progressedAt.IsZero() {
		run.progressPercent = status.GetPercent()
		run.progressedAt = now
		return
	}
	spec := run.task.Spec()
	if spec.GetLasting() && status.GetPercent() >= fullProgressPercent || spec.GetGang() {
		return
	}
	timeout := minStallTimeout + time.Duration(stallEstimateRatio*float64(spec.GetEstimateMs()))*time.Millisecond
	if now.Sub(run.progressedAt) < timeout || now.Sub(run.stopOrderedAt) < stopRetryInterval {
		return
	}
	run.stopOrderedAt = now
	view.avoidUntil = now.Add(probationDuration)
	view.consecutiveFailures = max(view.consecutiveFailures, failuresBeforeProbation)
	owner.logRun(event.RunStopOrdered, run, slog.String("worker", run.place.Incarnation.WorkerID()), slog.String("reason", "no progress"), slog.Duration("since", now.Sub(run.progressedAt)))
	owner.stopOnceOwned(view, run)
}
