package job

import (
	"time"
)

// TargetDuration returns the time within which the job, or one round of it, should end: the length of its
// critical path times the extension factor of the submission, plus the submission's target latency.
func (job *Job) TargetDuration() time.Duration {
	criticalPath := time.Duration(job.CriticalPathMs()) * time.Millisecond
	extended := time.Duration(float64(criticalPath) * job.submission.GetExtension())
	return extended + time.Duration(job.submission.GetTargetLatencyMs())*time.Millisecond
}

// CriticalPathMs returns the estimated duration, in milliseconds, of the longest chain of dependent steps.
func (job *Job) CriticalPathMs() int64 {
	return job.longestPathMs(func(int) bool { return true })
}

// CoreMs returns the estimated work of one round, in milliseconds of one core.
func (job *Job) CoreMs() int64 {
	coreMs := int64(0)
	for _, step := range job.submission.GetSteps() {
		coreMs += int64(step.GetCount()) * step.GetMilliCpu() * step.GetEstimateMs() / millisPerCore
	}
	return coreMs
}

// millisPerCore is the number of milli-CPUs of one core.
const millisPerCore = 1000

// remainingPathMs returns the same as CriticalPathMs, but counts only the steps of a round that are not done.
func (job *Job) remainingPathMs(round int) int64 {
	return job.longestPathMs(func(number int) bool { return job.steps[job.stepIndex(int32(round), int32(number))].remaining > 0 })
}

// currentRound returns the first round that is not done, or the last round if all are.
func (job *Job) currentRound() int {
	steps := len(job.submission.GetSteps())
	for index := range job.steps {
		if job.steps[index].remaining > 0 {
			return index / steps
		}
	}
	return job.Rounds() - 1
}

// roundObjective returns the time by which a round should have ended.
func (job *Job) roundObjective(round int) time.Time {
	if !job.IsScheduled() {
		return job.objective
	}
	return job.roundDueAt(int32(round)).Add(job.TargetDuration())
}

// longestPathMs returns the estimated duration, in milliseconds, of the longest chain of dependent steps.
// Steps for which includes returns false take no time.
func (job *Job) longestPathMs(includes func(number int) bool) int64 {
	steps := job.submission.GetSteps()
	ends := make([]int64, len(steps))
	longest := int64(0)
	for number, step := range steps {
		for _, dependency := range step.GetAfter() {
			if int(dependency) < number {
				ends[number] = max(ends[number], ends[dependency])
			}
		}
		if includes(number) {
			ends[number] += step.GetEstimateMs()
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// maxInitialAge limits the age that a job is assumed to have when the owner of its shard first reads it. The
// age is computed from the clocks of two machines. A record is read within one or two seconds after it was
// written, so a greater age means that a clock has jumped.
const maxInitialAge = 2 * time.Second

// RebaseObjective recomputes the objective relative to now, when the job has just been submitted. From then
// on the objective belongs to the clock that now was read from, and jumps of the wall clock don't move it.
func (job *Job) RebaseObjective(now time.Time) {
	age := min(max(now.Sub(job.submittedAt), 0), maxInitialAge)
	job.objective = now.Add(job.TargetDuration() - age)
}

// IdleFor returns how long the job has had no running task, counted from the first call that found none.
func (job *Job) IdleFor(now time.Time) time.Duration {
	if job.HasRunningTasks() {
		job.idleSince = time.Time{}
		return 0
	}
	if job.idleSince.IsZero() {
		job.idleSince = now
	}
	return now.Sub(job.idleSince)
}

// SlackTime returns how much time the job may lose from now on and still meet the objective of its current
// round, according to its estimates. It is negative if the objective can't be met any more.
func (job *Job) SlackTime(now time.Time) time.Duration {
	round := job.currentRound()
	return job.roundObjective(round).Sub(now) - time.Duration(job.remainingPathMs(round))*time.Millisecond
}

// SlackRatio returns the share of its initial slack that the job has left: 1 when it has just been submitted,
// 0 once it would miss its objective even if it ran without delay from now on.
func (job *Job) SlackRatio(now time.Time) float64 {
	if job.IsLongRunning() {
		// A long-running job is useful for as long as it runs. It doesn't finish, so it can't be late.
		return 1
	}
	remaining := job.SlackTime(now)
	initial := job.TargetDuration() - time.Duration(job.CriticalPathMs())*time.Millisecond
	if initial <= 0 || remaining <= 0 {
		return 0
	}
	return min(float64(remaining)/float64(initial), 1)
}
