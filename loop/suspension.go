package loop

import "time"

const (
	// minSuspension is the shortest suspension that is reported. Shorter ones may be measurement errors,
	// since the clocks that are compared are read one after the other, which may take a millisecond.
	minSuspension = 5 * time.Millisecond
	// checkInterval is the interval between checks if the clocks show no sign of a suspension.
	checkInterval = 100 * time.Millisecond
	// minWallClockLead is how much more the wall clock must advance than the monotonic clock to count as a
	// sign of a suspension. It is only a sign, because the wall clock may also have been set forward.
	minWallClockLead = 20 * time.Millisecond
)

// suspension detects that the machine was suspended.
type suspension struct {
	readTotal    func() time.Duration // nil if suspensions are not watched for
	onResume     func(duration time.Duration, now time.Time)
	suspendedFor time.Duration // value of readTotal at WatchSuspension, or at the last call of onResume
	checkedAt    time.Time
}

// WatchSuspension makes the loop call onResume after each suspension of the machine, before any other
// function. readTotal returns how long the machine has been suspended since it booted. WatchSuspension must
// be called before Run.
func (loop *Loop) WatchSuspension(readTotal func() time.Duration, onResume func(duration time.Duration, now time.Time)) {
	loop.suspension = suspension{readTotal: readTotal, onResume: onResume, suspendedFor: readTotal(), checkedAt: loop.clock.Now()}
}

// SuspendedFor returns how long the machine had been suspended since it booted when onResume was last called,
// or at WatchSuspension if it wasn't called yet. It may only be called by functions that run on the loop.
func (loop *Loop) SuspendedFor() time.Duration { return loop.suspension.suspendedFor }

// check calls onResume if the machine was suspended since the last check.
//
// Performance: readTotal takes three system calls. It is therefore called only if shouldCheck allows it,
// which compares the monotonic and wall clock readings in now. Taking these needs no system call.
func (suspension *suspension) check(now time.Time) {
	if suspension.readTotal == nil {
		return
	}
	monotonic, wall := now.Sub(suspension.checkedAt), now.Round(0).Sub(suspension.checkedAt.Round(0))
	if !shouldCheck(monotonic, wall) {
		return
	}
	suspension.checkedAt = now
	total := suspension.readTotal()
	duration := total - suspension.suspendedFor
	if duration < minSuspension {
		return
	}
	suspension.suspendedFor = total
	suspension.onResume(duration, now)
}

// shouldCheck reports whether a check for a suspension is due, given how far the monotonic clock and the wall
// clock have advanced since the last one.
func shouldCheck(monotonic, wall time.Duration) bool {
	return monotonic >= checkInterval || wall-monotonic >= minWallClockLead
}
