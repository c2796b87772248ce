package agent

import "time"

// updateWork adds the work that the run has done since the last update, measured as time at full speed.
func (run *runState) updateWork(now time.Time) {
	if !run.workUpdatedAt.IsZero() {
		run.workDone += time.Duration(float64(now.Sub(run.workUpdatedAt)) * run.speed())
	}
	run.workUpdatedAt = now
}

// speed returns the speed of the run as a fraction of its full speed. A fill run goes at its pace, or slower
// if other runs leave it less CPU.
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

// minProgressPercent is the progress from which a run's duration is extrapolated.
const minProgressPercent = 5

// remainingWork returns the time at full speed that the run still takes. It is extrapolated from the progress
// so far, or derived from the estimate of its job if there is too little progress or the run resumed from a
// checkpoint.
func (run *runState) remainingWork() time.Duration {
	if run.fromScratch && run.progressPercent >= minProgressPercent {
		return run.workDone * time.Duration(fullPercent-run.progressPercent) / time.Duration(run.progressPercent)
	}
	estimate := time.Duration(run.demand.GetEstimateMs()) * time.Millisecond
	return estimate * time.Duration(fullPercent-run.progressPercent) / fullPercent
}

// benefitsFromMove reports whether the run, which goes at a pace from 0 to 1 on this worker, would end sooner
// on another one at full pace. It prevents moves that cost a run more time than they save.
func (agent *Agent) benefitsFromMove(run *runState, pace float64) bool {
	if pace <= 0 {
		return true
	}
	remaining := run.remainingWork()
	here := time.Duration(float64(remaining) / pace)
	return here > remaining+agent.moveCost(run)
}

// placementTime is how long a run that is moved waits for its next worker: a stop of up to 0.2 s, the record
// of its start, and the order.
const placementTime = 300 * time.Millisecond

// moveCost returns the time that a run loses by a move: until it is placed, and until it has restored or
// repeated its progress. A run with checkpoints repeats half a checkpoint interval on average.
func (agent *Agent) moveCost(run *runState) time.Duration {
	if !run.demand.GetSaves() {
		return placementTime + run.workDone
	}
	return placementTime + agent.options.RestoreTime + agent.options.CheckpointInterval/2
}
