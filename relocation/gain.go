package relocation

import "time"

const (
	// FullPercent is the pace of a run that is not slowed.
	FullPercent = 100
	// paceHorizon is how long a run is assumed to keep its present pace. The load of serving tasks changes
	// within tens of seconds, so a slowed run gets faster again by itself. Without this limit, runs without
	// checkpoints would repeat more work than they lose by the slow period.
	paceHorizon = 8 * time.Second
	// minStopTime is the stop time from which on offers are worthwhile. An eviction with a shorter stop costs a run
	// less than the wait for an answer, during which it stays slowed.
	minStopTime = 500 * time.Millisecond
)

// IsWorthwhile reports whether runs should be offered before they are stopped, on a worker that may take so long to
// stop one. It is true if the time is 0, that is not known.
func IsWorthwhile(stopTime time.Duration) bool { return stopTime <= 0 || stopTime >= minStopTime }

// TimeSaved returns how much sooner a run would end at the pace there than at the pace here, which it is assumed to
// keep for paceHorizon at most. The remaining work is given as its duration at full pace. Both paces are percentages.
// The cost of the move is not included.
func TimeSaved(remaining time.Duration, here, there int32) time.Duration {
	if remaining <= 0 || here >= there {
		return 0
	}
	slowFor := float64(paceHorizon)
	if here > 0 {
		slowFor = min(slowFor, float64(remaining)*FullPercent/float64(here))
	}
	return time.Duration(slowFor * float64(there-here) / float64(there))
}

// MinGain returns the least time that a move has to save for a task with so many earlier interruptions. The cost is
// the time that a move loses. Each move has to save its own cost and that of the interruptions before, so that a task
// isn't moved repeatedly because of fluctuations.
func MinGain(cost time.Duration, interruptions int) time.Duration {
	return max(cost, 0) * time.Duration(1+max(interruptions, 0))
}
