package overload

import (
	"time"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// usefulTargets is how many times its target duration a job may take and still be of some use to its caller.
// It is the operators' rule for late jobs.
const usefulTargets = 3

// UsefulDuration returns how long after its submission the end of a job is of some use to its caller.
func UsefulDuration(j *job.Job) time.Duration { return usefulTargets * j.TargetDuration() }

// IsExempt reports whether a job is never refused for load. These are jobs that don't end by themselves or
// start by a schedule, jobs of the most urgent priority, and jobs without an estimate.
func IsExempt(j *job.Job, mostUrgent int32) bool {
	return j.IsLongRunning() || j.IsScheduled() || j.Submission().GetPriority() <= mostUrgent ||
		j.CriticalPathMs() == 0 || j.CoreMs() == 0
}

// EarliestEnd returns the time until the end of a job if it turns out as early as the error of the forecast
// allows.
func EarliestEnd(forecast backlog.Forecast) time.Duration {
	return forecast.End() - forecast.Deviation()
}

// ShouldAsk reports whether the owner of a job's shard must be asked to admit the job. A job that would end within
// its target duration has room whoever waits, and leaves its caller time also if it comes back late.
func ShouldAsk(end, useful time.Duration) bool { return end > useful/usefulTargets }

// longestWait returns how long the caller of a job waits at most. After its return, the latest by the spread and
// by the rounding of what it is told, one target duration of the useful time is left, and the time for what is admitted
// before forecasts show it.
func longestWait(useful time.Duration) time.Duration {
	return time.Duration(float64(useful-useful/usefulTargets-reportDelay-retryAfterUnit) / (1 + retrySpread))
}

// retryAfterUnit is the unit in which callers are told when to come back. It is rounded up.
const retryAfterUnit = time.Second

// MainNeed returns the need of most of a job's work.
func MainNeed(submission *job.Submission) wire.TaskNeed {
	fillWork, reservedWork := int64(0), int64(0)
	for _, step := range submission.GetSteps() {
		work := int64(step.GetCount()) * step.GetMilliCpu() * step.GetEstimateMs()
		if step.GetFills() {
			fillWork += work
		} else {
			reservedWork += work
		}
	}
	if fillWork > reservedWork {
		return wire.TaskNeed_NEED_FILL
	}
	return wire.TaskNeed_NEED_RESERVED
}
