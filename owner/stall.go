package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

const (
	// minStallTimeout is how long a run may show no progress at least. Agents tell
	// progress once a second, in whole percent.
	minStallTimeout = 2500 * time.Millisecond
	// stallEstimateRatio adds this share of the estimate: a long task that is slowed
	// takes long for one percent.
	stallEstimateRatio = 0.25
	// fullProgressPercent is the progress of a run at full work.
	fullProgressPercent = 100
)

// checkProgress stops a run that stands still, so that its task goes on at
// another worker.
func (owner *Owner) checkProgress(view *agentView, entry *trackedRun, run *wire.RunStatus, now time.Time) {
	if run.GetPercent() != entry.progressPercent || entry.progressedAt.IsZero() {
		entry.progressPercent = run.GetPercent()
		entry.progressedAt = now
		return
	}
	spec := entry.task.Spec()
	if spec.GetLasting() && run.GetPercent() >= fullProgressPercent || spec.GetGang() {
		return
	}
	limit := minStallTimeout + time.Duration(stallEstimateRatio*float64(spec.GetEstimateMs()))*time.Millisecond
	if now.Sub(entry.progressedAt) < limit || now.Sub(entry.stopOrderedAt) < stopRetryInterval {
		return
	}
	entry.stopOrderedAt = now
	view.avoidUntil = now.Add(probationDuration)
	view.consecutiveFailures = max(view.consecutiveFailures, failuresBeforeProbation)
	owner.logRun(event.RunStopOrdered, entry, slog.String("worker", entry.place.Incarnation.WorkerID()), slog.String("reason", "it stands still"), slog.Duration("since", now.Sub(entry.progressedAt)))
	view.addStopOrder(entry.shard, entry.taskName, entry.attempt, entry.place.Incarnation)
}
