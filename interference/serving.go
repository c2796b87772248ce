package interference

import (
	"math"
	"time"
)

const (
	// heldShare is the share of the time that a target may be missed for after
	// which everything that may disturb is held back, whatever the sum says.
	heldShare = 0.4
	// stoppedShare is the same for hardly working any more.
	stoppedShare = 0.9
	// sinkTime is what a tail takes to sink by a factor of e once nothing
	// disturbs it: measured, it loses two fifths in 0.4 s.
	sinkTime = 900 * time.Millisecond
	// readingLag is what has passed before a reading shows a miss, and sinkMargin
	// what is left besides: the next look, the order, and the draining of a queue
	// whose tail is hardly over, which takes half a second too.
	readingLag = 600 * time.Millisecond
	sinkMargin = 700 * time.Millisecond
)

// servingState is what is known of one serving task.
type servingState struct {
	image  *imageState
	task   string
	readAt time.Time
	// last is the headroom last read.
	last float64

	overSince time.Time // when its tail went over the target, zero while below
	held      bool      // its disturbers are held back until the tail is below
	stopped   bool      // what may disturb it hardly works until then
	emptied   bool      // nothing that fills works until then
}

// level returns the headroom that the task has by itself, and its change a second.
func (state *servingState) level() (level, slope float64) {
	filter := &state.image.filter
	return filter.value(levelOf(state.task)).mean, filter.value(slopeOf(state.task)).mean
}

// noteTail decides how far the disturbers of a serving task are held back that has
// been over its target for a while, until it is below.
func (state *servingState) noteTail(serving Serving, allowed time.Duration, now time.Time) {
	if serving.Tail < serving.Target {
		state.overSince = time.Time{}
		state.held, state.stopped, state.emptied = false, false, false
		return
	}
	if state.overSince.IsZero() {
		state.overSince = now
	}
	// Whatever is decided now, the miss goes on while the tail sinks, and had begun
	// before a reading showed it.
	sunk := now.Sub(state.overSince) + serving.sinksFor()
	missed := sunk + readingLag + sinkMargin
	state.held = state.held || sunk >= time.Duration(heldShare*float64(allowed))
	state.stopped = state.stopped || missed >= time.Duration(stoppedShare*float64(allowed))
	state.emptied = state.emptied || missed >= allowed
}

// sinksFor returns how long a tail takes to sink to the target once nothing disturbs
// it.
func (serving Serving) sinksFor() time.Duration {
	return time.Duration(math.Log(serving.Tail/serving.Target) * float64(sinkTime))
}
