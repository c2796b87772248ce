package loop

import "time"

const (
	// sleptLeast is from which length a suspension counts: the clocks that it is reckoned
	// from are read one after the other, which may take a millisecond.
	sleptLeast = 5 * time.Millisecond
	// lookEvery is how often suspension is looked for without a sign of it.
	lookEvery = 100 * time.Millisecond
	// wallAhead is how much more the time of day moves than the steady clock where that is
	// taken for a sign of it: a step of the time of day is another one.
	wallAhead = 20 * time.Millisecond
)

// suspension finds out that the machine was suspended.
type suspension struct {
	total    func() time.Duration // nil: it is not watched for
	woken    func(slept time.Duration, now time.Time)
	known    time.Duration
	lookedAt time.Time
}

// WatchSuspension has woken run whenever the machine was suspended, before anything else. The
// total is the time that it has been since it was booted. It is called before Run.
func (decisions *Loop) WatchSuspension(total func() time.Duration, woken func(slept time.Duration, now time.Time)) {
	decisions.sleep = suspension{total: total, woken: woken, known: total(), lookedAt: decisions.clock.Now()}
}

// Suspended returns for how long the machine had been suspended as far as the loop has taken
// note of it. Only what runs on the loop may ask.
func (decisions *Loop) Suspended() time.Duration { return decisions.sleep.known }

// note looks for a suspension.
//
// Performance: reading the clocks takes three system calls. Both clocks that tell whether
// it is worth them are read without.
func (sleep *suspension) note(now time.Time) {
	if sleep.total == nil {
		return
	}
	steady, wall := now.Sub(sleep.lookedAt), now.Round(0).Sub(sleep.lookedAt.Round(0))
	if !worthALook(steady, wall) {
		return
	}
	sleep.lookedAt = now
	total := sleep.total()
	slept := total - sleep.known
	if slept < sleptLeast {
		return
	}
	sleep.known = total
	sleep.woken(slept, now)
}

// worthALook reports whether the clocks may show a suspension, by how far either has moved.
func worthALook(steady, wall time.Duration) bool {
	return steady >= lookEvery || wall-steady >= wallAhead
}
