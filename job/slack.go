package job

import (
	"time"
)

// Allowed returns the time that the job, or a round of it, should take at most.
func (job *Job) Allowed() time.Duration {
	chain := time.Duration(job.Chain()) * time.Millisecond
	stretched := time.Duration(float64(chain) * job.submission.GetExtension())
	return stretched + time.Duration(job.submission.GetTargetLatencyMs())*time.Millisecond
}

// Chain returns the estimated milliseconds of the longest chain of steps.
func (job *Job) Chain() int64 {
	return job.longestChain(func(int) bool { return true })
}

// CoreMillis returns the work of one round by its estimates, in milliseconds of a core.
func (job *Job) CoreMillis() int64 {
	work := int64(0)
	for _, step := range job.submission.GetSteps() {
		work += int64(step.GetCount()) * step.GetMilliCpu() * step.GetEstimateMs() / milli
	}
	return work
}

// milli is the number of thousandths in a core.
const milli = 1000

// chainLeft returns the same of the steps of a round that are not done.
func (job *Job) chainLeft(round int) int64 {
	first := round * len(job.submission.GetSteps())
	return job.longestChain(func(number int) bool { return job.left[first+number] > 0 })
}

// openRound returns the first round that is not done, or the last one.
func (job *Job) openRound() int {
	steps := len(job.submission.GetSteps())
	for index, count := range job.left {
		if count > 0 {
			return index / steps
		}
	}
	return job.Rounds() - 1
}

// objectiveOf returns when a round should have ended.
func (job *Job) objectiveOf(round int) time.Time {
	if !job.Scheduled() {
		return job.objective
	}
	return job.due(int32(round)).Add(job.Allowed())
}

// longestChain returns the estimated milliseconds of the longest chain of the
// steps that count.
func (job *Job) longestChain(counts func(number int) bool) int64 {
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

// oldestReceived bounds the age that a job is taken to have when its shard's owner
// first hears of it: a record is read within a second or two of its writing, and
// clocks that jump disagree by more.
const oldestReceived = 2 * time.Second

// Received notes that the job has just been handed in, so that its objective is
// counted on the clock that now comes from and no jump of the time of day moves it.
func (job *Job) Received(now time.Time) {
	age := min(max(now.Sub(job.submitted), 0), oldestReceived)
	job.objective = now.Add(job.Allowed() - age)
}

// IdleFor returns for how long nothing of the job has been running, as far as it
// was asked.
func (job *Job) IdleFor(now time.Time) time.Duration {
	if len(job.Running()) > 0 {
		job.idleSince = time.Time{}
		return 0
	}
	if job.idleSince.IsZero() {
		job.idleSince = now
	}
	return now.Sub(job.idleSince)
}

// Spare returns how much time the job may lose from now on and still be in time by its
// estimates; below zero it can't be.
func (job *Job) Spare(now time.Time) time.Duration {
	round := job.openRound()
	return job.objectiveOf(round).Sub(now) - time.Duration(job.chainLeft(round))*time.Millisecond
}

// Slack returns the share of its spare time that the job has left: 1 when it has
// just been handed in, 0 once even undisturbed work would end after its objective.
func (job *Job) Slack(now time.Time) float64 {
	if job.Lasting() {
		// It is worth something as long as it runs.
		return 1
	}
	left := job.Spare(now)
	spare := job.Allowed() - time.Duration(job.Chain())*time.Millisecond
	if spare <= 0 || left <= 0 {
		return 0
	}
	return min(float64(left)/float64(spare), 1)
}
