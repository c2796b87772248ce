package relocation

import "time"

const (
	// FullPercent is the pace of a run that is not slowed.
	FullPercent = 100
	// paceHorizon is how long a run is taken to stay at its present pace. The load of serving tasks swings
	// within tens of seconds, so a slowed run goes faster again by itself. Without this limit, runs without
	// checkpoints would repeat more work than a slow stretch costs them.
	paceHorizon = 8 * time.Second
)

// TimeSaved returns how much sooner a run with so much work left, measured as time at full pace, would end at the
// pace there than if it stayed at the pace here, for paceHorizon at most. Both paces are percentages. The cost of
// the move is not included.
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

// LeastGain returns the least time that a move has to save for a task that has been interrupted before. cost is
// the time that a move loses. The first move has to make up for itself. Each further one has to make up for the
// earlier ones too, which shows that the gain is larger than the fluctuations that led to them.
func LeastGain(cost time.Duration, interruptions int) time.Duration {
	return max(cost, 0) * time.Duration(1+max(interruptions, 0))
}
