package job

import (
	"time"
)

// TargetDuration returns the time that the job, or a round of it, should take at most.
func (job *Job) TargetDuration() time.Duration {
	chain := time.Duration(job.CriticalPathMs()) * time.Millisecond
	stretched := time.Duration(float64(chain) * job.submission.GetExtension())
	return stretched + time.Duration(job.submission.GetTargetLatencyMs())*time.Millisecond
}

// CriticalPathMs returns the estimated milliseconds of the longest chain of steps.
func (job *Job) CriticalPathMs() int64 {
	return job.longestPathMs(func(int) bool { return true })
}

// CoreMs returns the work of one round by its estimates, in milliseconds of a core.
func (job *Job) CoreMs() int64 {
	work := int64(0)
	for _, step := range job.submission.GetSteps() {
		work += int64(step.GetCount()) * step.GetMilliCpu() * step.GetEstimateMs() / millisPerCore
	}
	return work
}

// millisPerCore is the number of thousandths in a core.
const millisPerCore = 1000

// remainingPathMs returns the same of the steps of a round that are not done.
func (job *Job) remainingPathMs(round int) int64 {
	first := round * len(job.submission.GetSteps())
	return job.longestPathMs(func(number int) bool { return job.remaining[first+number] > 0 })
}

// currentRound returns the first round that is not done, or the last one.
func (job *Job) currentRound() int {
	steps := len(job.submission.GetSteps())
	for index, count := range job.remaining {
		if count > 0 {
			return index / steps
		}
	}
	return job.Rounds() - 1
}

// roundObjective returns when a round should have ended.
func (job *Job) roundObjective(round int) time.Time {
	if !job.IsScheduled() {
		return job.objective
	}
	return job.roundDueAt(int32(round)).Add(job.TargetDuration())
}

// longestPathMs returns the estimated milliseconds of the longest chain of the
// steps that count.
func (job *Job) longestPathMs(counts func(number int) bool) int64 {
	steps := job.submission.GetSteps()
	ends := make([]int64, len(steps))
	longest := int64(0)
	for number, step := range steps {
		for _, before := range step.GetAfter() {
			if int(before) < number {
				ends[number] = max(ends[number], ends[before])
			}
		}
		if counts(number) {
			ends[number] += step.GetEstimateMs()
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// maxInitialAge bounds the age that a job is taken to have when its shard's owner
// first hears of it: a record is read within a second or two of its writing, and
// clocks that jump disagree by more.
const maxInitialAge = 2 * time.Second

// RebaseObjective notes that the job has just been handed in, so that its objective is
// counted on the clock that now comes from and no jump of the time of day moves it.
func (job *Job) RebaseObjective(now time.Time) {
	age := min(max(now.Sub(job.submittedAt), 0), maxInitialAge)
	job.objective = now.Add(job.TargetDuration() - age)
}

// IdleFor returns for how long nothing of the job has been running, as far as it
// was asked.
func (job *Job) IdleFor(now time.Time) time.Duration {
	if len(job.RunningTasks()) > 0 {
		job.idleSince = time.Time{}
		return 0
	}
	if job.idleSince.IsZero() {
		job.idleSince = now
	}
	return now.Sub(job.idleSince)
}

// SlackTime returns how much time the job may lose from now on and still be in time by its
// estimates; below zero it can't be.
func (job *Job) SlackTime(now time.Time) time.Duration {
	round := job.currentRound()
	return job.roundObjective(round).Sub(now) - time.Duration(job.remainingPathMs(round))*time.Millisecond
}

// SlackRatio returns the share of its spare time that the job has left: 1 when it has
// just been handed in, 0 once even undisturbed work would end after its objective.
func (job *Job) SlackRatio(now time.Time) float64 {
	if job.IsLasting() {
		// It is worth something as long as it runs.
		return 1
	}
	left := job.SlackTime(now)
	spare := job.TargetDuration() - time.Duration(job.CriticalPathMs())*time.Millisecond
	if spare <= 0 || left <= 0 {
		return 0
	}
	return min(float64(left)/float64(spare), 1)
}
