package agent

import "time"

const (
	// minSlackToYield is the slack from which the runs of a job yield early to serving runs. It exceeds the
	// time that a move to another worker takes, which is about 2 s.
	minSlackToYield = 2500 * time.Millisecond
	// lateSlack is the slack below which a job misses its objective in any case, even though estimates are
	// inaccurate, so that there is nothing to gain from going faster.
	lateSlack = -500 * time.Millisecond
)

// slack returns the delay that the run's job can still absorb without missing its objective: the slack that
// the owner sent with the order, less the time that the run has taken beyond its estimated progress.
func (run *runState) slack(now time.Time) time.Duration {
	estimate := time.Duration(run.demand.GetEstimateMs()) * time.Millisecond
	progress := estimate * time.Duration(run.progressPercent) / fullPercent
	return time.Duration(run.demand.GetSpareMs())*time.Millisecond - now.Sub(run.confirmedAt) + progress
}

// hasSlack reports whether the run may yield early to serving runs, because its job has enough slack or is
// late in any case.
func (run *runState) hasSlack(now time.Time) bool {
	slack := run.slack(now)
	return slack >= minSlackToYield || slack < lateSlack
}
