package interference

import (
	"math"
	"time"
)

const (
	// throttleMissShare is the share of Model.maxMiss after which fill tasks that may be the cause of a miss
	// are throttled to missPace, regardless of the expected headroom.
	throttleMissShare = 0.4
	// stopMissShare is the share of Model.maxMiss after which they are reduced to minPace.
	stopMissShare = 0.9
	// tailDecayTime is the time in which a tail latency decreases by a factor of e once no fill task runs.
	// Without fill tasks, the tail latency decreases by two fifths in 0.4 s.
	tailDecayTime = 900 * time.Millisecond
	// readingLag is the time until a miss appears in a reading.
	readingLag = 600 * time.Millisecond
	// recoveryMargin is the time for the next reading, for the order to the worker, and for a queue to drain,
	// which takes half a second even if the tail latency is only slightly above the target.
	recoveryMargin = 700 * time.Millisecond
)

// servingState is the state of the model for one serving task.
type servingState struct {
	image  *imageState
	task   string
	readAt time.Time // time of the latest reading
	// lastHeadroom is the headroom in the latest reading.
	lastHeadroom float64

	missSince         time.Time // when the tail latency reached the target, zero while below
	suspectsThrottled bool      // fill tasks that may be the cause run at missPace until the miss ends
	suspectsStopped   bool      // fill tasks that may be the cause run at minPace until the miss ends
	allStopped        bool      // all fill tasks run at minPace until the miss ends
}

// level returns the estimated headroom of the task without fill tasks, and its change per second.
func (state *servingState) level() (level, slope float64) {
	filter := &state.image.filter
	return filter.estimate(levelOf(state.task)).mean, filter.estimate(slopeOf(state.task)).mean
}

// updateMiss decides how far fill tasks are throttled because the serving task misses its target. The
// decision becomes only stricter until the tail latency is below the target again.
func (state *servingState) updateMiss(serving ServingTask, maxMiss time.Duration, now time.Time) {
	if serving.TailMs < serving.TargetMs {
		state.missSince = time.Time{}
		state.suspectsThrottled, state.suspectsStopped, state.allStopped = false, false, false
		return
	}
	if state.missSince.IsZero() {
		state.missSince = now
	}
	// A decision made now can't end the miss before the tail latency has decreased to the target, and the
	// miss had begun before it appeared in a reading.
	observedMiss := now.Sub(state.missSince) + serving.recoveryTime()
	totalMiss := observedMiss + readingLag + recoveryMargin
	state.suspectsThrottled = state.suspectsThrottled || observedMiss >= time.Duration(throttleMissShare*float64(maxMiss))
	state.suspectsStopped = state.suspectsStopped || totalMiss >= time.Duration(stopMissShare*float64(maxMiss))
	state.allStopped = state.allStopped || totalMiss >= maxMiss
}

// recoveryTime returns how long the tail latency takes to decrease to the target once no fill task runs.
func (serving ServingTask) recoveryTime() time.Duration {
	return time.Duration(math.Log(serving.TailMs/serving.TargetMs) * float64(tailDecayTime))
}
