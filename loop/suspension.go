package loop

import "time"

const (
	// minSuspension is from which length a suspension counts: the clocks that it is reckoned
	// from are read one after the other, which may take a millisecond.
	minSuspension = 5 * time.Millisecond
	// checkInterval is how often suspension is looked for without a sign of it.
	checkInterval = 100 * time.Millisecond
	// minWallClockLead is how much more the time of day moves than the steady clock where that is
	// taken for a sign of it: a step of the time of day is another one.
	minWallClockLead = 20 * time.Millisecond
)

// suspension finds out that the machine was suspended.
type suspension struct {
	readTotal    func() time.Duration // nil: it is not watched for
	onResume     func(slept time.Duration, now time.Time)
	suspendedFor time.Duration
	checkedAt    time.Time
}

// WatchSuspension has woken run whenever the machine was suspended, before anything else. The
// total is the time that it has been since it was booted. It is called before Run.
func (decisions *Loop) WatchSuspension(total func() time.Duration, woken func(slept time.Duration, now time.Time)) {
	decisions.suspension = suspension{readTotal: total, onResume: woken, suspendedFor: total(), checkedAt: decisions.clock.Now()}
}

// SuspendedFor returns for how long the machine had been suspended as far as the loop has taken
// note of it. Only what runs on the loop may ask.
func (decisions *Loop) SuspendedFor() time.Duration { return decisions.suspension.suspendedFor }

// check looks for a suspension.
//
// Performance: reading the clocks takes three system calls. Both clocks that tell whether
// it is worth them are read without.
func (sleep *suspension) check(now time.Time) {
	if sleep.readTotal == nil {
		return
	}
	steady, wall := now.Sub(sleep.checkedAt), now.Round(0).Sub(sleep.checkedAt.Round(0))
	if !shouldCheck(steady, wall) {
		return
	}
	sleep.checkedAt = now
	total := sleep.readTotal()
	slept := total - sleep.suspendedFor
	if slept < minSuspension {
		return
	}
	sleep.suspendedFor = total
	sleep.onResume(slept, now)
}

// shouldCheck reports whether the clocks may show a suspension, by how far either has moved.
func shouldCheck(steady, wall time.Duration) bool {
	return steady >= checkInterval || wall-steady >= minWallClockLead
}
