package agent

import "time"

// work adds what a run has worked since it was last looked at, in time at full speed.
func (run *runState) work(now time.Time) {
	if !run.workedAt.IsZero() {
		run.worked += time.Duration(float64(now.Sub(run.workedAt)) * run.speed())
	}
	run.workedAt = now
}

// speed returns the share of its full speed at which a run goes. One that fills goes at its
// pace, or slower where the others leave less.
func (run *runState) speed() float64 {
	if !run.demand.GetFills() {
		return 1
	}
	percent := run.pace
	if run.figure > 0 {
		percent = min(percent, run.usedPercent())
	}
	return float64(percent) / fullPercent
}

// progressLeast is from which progress, in percent, a run tells how long it takes.
const progressLeast = 5

// left returns the time at full speed that a run still takes: by its progress so far, or
// before that and after a restart by its guess.
func (run *runState) left() time.Duration {
	if run.whole && run.percent >= progressLeast {
		return run.worked * time.Duration(fullPercent-run.percent) / time.Duration(run.percent)
	}
	guess := time.Duration(run.demand.GetEstimateMs()) * time.Millisecond
	return guess * time.Duration(fullPercent-run.percent) / fullPercent
}

// gainsByMove reports whether a run that goes at a pace where it is would end sooner if it
// began again elsewhere. It guards against moves that cost a run more than they gain it.
func (agent *Agent) gainsByMove(run *runState, pace float64) bool {
	if pace <= 0 {
		return true
	}
	left := run.left()
	there := time.Duration(float64(left) / pace)
	return there > left+agent.moveCosts(run)
}

// placeTakes is what a run that was moved waits for its next place: a stop of up to 0.2 s, a
// record of its start, and an order.
const placeTakes = 300 * time.Millisecond

// moveCosts returns the time that a move takes from a run: until it has a place, and to get
// to where it was.
func (agent *Agent) moveCosts(run *runState) time.Duration {
	if !run.demand.GetSaves() {
		return placeTakes + run.worked
	}
	return placeTakes + agent.options.RestoreTakes + agent.options.SaveEvery/2
}
