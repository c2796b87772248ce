package job

import (
	"time"
)

// allowed returns the time that the job should take at most.
func (made *Job) allowed() time.Duration {
	chain := time.Duration(made.Chain()) * time.Millisecond
	stretched := time.Duration(float64(chain) * made.submission.GetExtension())
	return stretched + time.Duration(made.submission.GetTargetLatencyMs())*time.Millisecond
}

// Chain returns the estimated milliseconds of the longest chain of steps.
func (made *Job) Chain() int64 {
	return made.longestChain(func(int) bool { return true })
}

// chainLeft returns the same of the steps that are not done.
func (made *Job) chainLeft() int64 {
	return made.longestChain(func(number int) bool { return made.left[number] > 0 })
}

// longestChain returns the estimated milliseconds of the longest chain of the
// steps that count.
func (made *Job) longestChain(counts func(number int) bool) int64 {
	steps := made.submission.GetSteps()
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

// IdleFor returns for how long nothing of the job has been running, as far as it
// was asked.
func (made *Job) IdleFor(now time.Time) time.Duration {
	if len(made.Running()) > 0 {
		made.idleSince = time.Time{}
		return 0
	}
	if made.idleSince.IsZero() {
		made.idleSince = now
	}
	return now.Sub(made.idleSince)
}

// Slack returns the share of its spare time that the job has left: 1 when it has
// just been handed in, 0 once even undisturbed work would end after its objective.
func (made *Job) Slack(now time.Time) float64 {
	if made.Lasting() {
		// It is worth something as long as it runs.
		return 1
	}
	left := made.objective.Sub(now) - time.Duration(made.chainLeft())*time.Millisecond
	spare := made.allowed() - time.Duration(made.Chain())*time.Millisecond
	if spare <= 0 || left <= 0 {
		return 0
	}
	return min(float64(left)/float64(spare), 1)
}
