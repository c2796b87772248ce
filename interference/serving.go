package interference

import (
	"math"
	"time"
)

const (
	// throttleMissShare is the share of the time that a target may be missed for after
	// which everything that may disturb is held back, whatever the sum says.
	throttleMissShare = 0.4
	// stopMissShare is the same for hardly working any more.
	stopMissShare = 0.9
	// tailDecayTime is what a tail takes to sink by a factor of e once nothing
	// disturbs it: measured, it loses two fifths in 0.4 s.
	tailDecayTime = 900 * time.Millisecond
	// readingLag is what has passed before a reading shows a miss, and recoveryMargin
	// what is left besides: the next look, the order, and the draining of a queue
	// whose tail is hardly over, which takes half a second too.
	readingLag     = 600 * time.Millisecond
	recoveryMargin = 700 * time.Millisecond
)

// servingState is what is known of one serving task.
type servingState struct {
	image  *imageState
	task   string
	readAt time.Time
	// lastHeadroom is the headroom last read.
	lastHeadroom float64

	missSince         time.Time // when its tail went over the target, zero while below
	suspectsThrottled bool      // its disturbers are held back until the tail is below
	suspectsStopped   bool      // what may disturb it hardly works until then
	allStopped        bool      // nothing that fills works until then
}

// level returns the headroom that the task has by itself, and its change a second.
func (state *servingState) level() (level, slope float64) {
	filter := &state.image.filter
	return filter.estimate(levelOf(state.task)).mean, filter.estimate(slopeOf(state.task)).mean
}

// updateMiss decides how far the disturbers of a serving task are held back that has
// been over its target for a while, until it is below.
func (state *servingState) updateMiss(serving ServingTask, allowed time.Duration, now time.Time) {
	if serving.TailMs < serving.TargetMs {
		state.missSince = time.Time{}
		state.suspectsThrottled, state.suspectsStopped, state.allStopped = false, false, false
		return
	}
	if state.missSince.IsZero() {
		state.missSince = now
	}
	// Whatever is decided now, the miss goes on while the tail sinks, and had begun
	// before a reading showed it.
	sunk := now.Sub(state.missSince) + serving.recoveryTime()
	missed := sunk + readingLag + recoveryMargin
	state.suspectsThrottled = state.suspectsThrottled || sunk >= time.Duration(throttleMissShare*float64(allowed))
	state.suspectsStopped = state.suspectsStopped || missed >= time.Duration(stopMissShare*float64(allowed))
	state.allStopped = state.allStopped || missed >= allowed
}

// recoveryTime returns how long a tail takes to sink to the target once nothing disturbs
// it.
func (serving ServingTask) recoveryTime() time.Duration {
	return time.Duration(math.Log(serving.TailMs/serving.TargetMs) * float64(tailDecayTime))
}
