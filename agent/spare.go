package agent

import "time"

const (
	// minSlackToYield is what a job may still lose so that its runs yield early to serving
	// ones: more than a move takes, which is about 2 s.
	minSlackToYield = 2500 * time.Millisecond
	// lateSlack is by how much a job misses its objective, by estimates that are off,
	// so that hurry brings nothing more.
	lateSlack = -500 * time.Millisecond
)

// slack returns what the run's job may lose from now on and still be in time, as far as
// this run goes: what the owner told with the order, less what the run has taken beyond
// its progress.
func (run *runState) slack(now time.Time) time.Duration {
	estimate := time.Duration(run.demand.GetEstimateMs()) * time.Millisecond
	worked := estimate * time.Duration(run.progressPercent) / fullPercent
	return time.Duration(run.demand.GetSpareMs())*time.Millisecond - now.Sub(run.confirmedAt) + worked
}

// hasSlack reports whether a run may yield early: its job has time to spare, or is late
// whatever is done.
func (run *runState) hasSlack(now time.Time) bool {
	spare := run.slack(now)
	return spare >= minSlackToYield || spare < lateSlack
}
