package agent

import "time"

// updateWork adds what a run has worked since it was last looked at, in time at full speed.
func (run *runState) updateWork(now time.Time) {
	if !run.workUpdatedAt.IsZero() {
		run.workDone += time.Duration(float64(now.Sub(run.workUpdatedAt)) * run.speed())
	}
	run.workUpdatedAt = now
}

// speed returns the share of its full speed at which a run goes. One that fills goes at its
// pace, or slower where the others leave less.
func (run *runState) speed() float64 {
	if !run.demand.GetFills() {
		return 1
	}
	percent := run.pacePercent
	if run.reading > 0 {
		percent = min(percent, run.usedPercent())
	}
	return float64(percent) / fullPercent
}

// minProgressPercent is from which progress, in percent, a run tells how long it takes.
const minProgressPercent = 5

// remainingWork returns the time at full speed that a run still takes: by its progress so far, or
// before that and after a restart by its guess.
func (run *runState) remainingWork() time.Duration {
	if run.fromScratch && run.progressPercent >= minProgressPercent {
		return run.workDone * time.Duration(fullPercent-run.progressPercent) / time.Duration(run.progressPercent)
	}
	guess := time.Duration(run.demand.GetEstimateMs()) * time.Millisecond
	return guess * time.Duration(fullPercent-run.progressPercent) / fullPercent
}

// benefitsFromMove reports whether a run that goes at a pace where it is would end sooner if it
// began again elsewhere. It guards against moves that cost a run more than they gain it.
func (agent *Agent) benefitsFromMove(run *runState, pace float64) bool {
	if pace <= 0 {
		return true
	}
	left := run.remainingWork()
	there := time.Duration(float64(left) / pace)
	return there > left+agent.moveCost(run)
}

// placementTime is what a run that was moved waits for its next place: a stop of up to 0.2 s, a
// record of its start, and an order.
const placementTime = 300 * time.Millisecond

// moveCost returns the time that a move takes from a run: until it has a place, and to get
// to where it was.
func (agent *Agent) moveCost(run *runState) time.Duration {
	if !run.demand.GetSaves() {
		return placementTime + run.workDone
	}
	return placementTime + agent.options.RestoreTime + agent.options.CheckpointInterval/2
}
