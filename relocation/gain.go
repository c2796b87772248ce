package relocation

import "time"

const (
	// fullPercent is the pace of a run that is not slowed.
	fullPercent = 100
	// paceHorizon is how long a run is taken to stay at its present pace. The load of serving tasks swings
	// within tens of seconds, so a slowed run goes faster again by itself. Without this limit, runs without
	// checkpoints would repeat more work than a slow stretch costs them.
	paceHorizon = 8 * time.Second
)

// TimeSaved returns how much sooner a run with so much work left, measured as time at full pace, would end at
// full pace than if it stayed at a pace of percent, for paceHorizon at most. The cost of the move is not included.
func TimeSaved(remaining time.Duration, percent int32) time.Duration {
	switch {
	case remaining <= 0 || percent >= fullPercent:
		return 0
	case percent <= 0:
		return paceHorizon
	}
	untilEnd := float64(remaining) * fullPercent / float64(percent)
	slowFor := min(untilEnd, float64(paceHorizon))
	return time.Duration(slowFor * float64(fullPercent-percent) / fullPercent)
}

// LeastGain returns the least time that a move has to save for a task that has been interrupted before. cost is
// the time that a move loses. The first move has to make up for itself. Each further one has to make up for the
// earlier ones too, which shows that the gain is larger than the fluctuations that led to them.
func LeastGain(cost time.Duration, interruptions int) time.Duration {
	return max(cost, 0) * time.Duration(1+max(interruptions, 0))
}
