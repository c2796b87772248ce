package overload

import (
	"time"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/job"
)

// usefulTargets is how many times its target duration a job may take and still be of some use to its caller.
// The operators set this rule.
const usefulTargets = 3

// UsefulDuration returns how long after its submission the end of a job is of some use to its caller.
func UsefulDuration(j *job.Job) time.Duration { return usefulTargets * j.TargetDuration() }

// IsExempt reports whether a job is never refused for load. That holds for long-running and scheduled jobs, jobs of the
// most urgent priority, and jobs without an estimate.
func IsExempt(j *job.Job, mostUrgent int32) bool {
	return j.IsLongRunning() || j.IsScheduled() || j.Submission().GetPriority() <= mostUrgent ||
		j.CriticalPathMs() == 0 || j.CoreMs() == 0
}

// EarliestEnd returns the time until the earliest end of a job that the error of the forecast allows.
func EarliestEnd(forecast backlog.Forecast) time.Duration {
	return forecast.End() - forecast.Deviation()
}

// ShouldAsk reports whether the owner of a job's shard must be asked to admit the job. The owner need not be asked for
// a job that would end within its target duration: there is room for it whatever other jobs wait, and its caller has
// time left even if it comes back late.
func ShouldAsk(end, useful time.Duration) bool { return end > useful/usefulTargets }

// maxWait returns how long the caller of a job waits at most in all, without the spread. After its last return, one
// target duration and reportDelay of the useful time are left, even with the largest spread and after rounding up.
func maxWait(useful time.Duration) time.Duration {
	return time.Duration(float64(useful-useful/usefulTargets-reportDelay-retryAfterUnit) / (1 + retrySpread))
}

// retryAfterUnit is the unit to which the time that callers are told is rounded up.
const retryAfterUnit = time.Second
