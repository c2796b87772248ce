package relocation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/relocation"
)

// epoch is when the tests begin.
var epoch = time.UnixMilli(1_800_000_000_000)

// TestGain checks when a move saves enough, and that a further move has to save more.
func TestGain(t *testing.T) {
	tests := map[string]struct {
		remaining     time.Duration
		here, there   int32 // paces in percent
		interruptions int
		moves         bool
	}{
		"not slowed":            {10 * time.Second, 100, 100, 0, false},
		"slowed a little":       {10 * time.Second, 90, 100, 0, false},
		"at half its pace":      {10 * time.Second, 50, 100, 0, true},
		"at half, moved once":   {10 * time.Second, 50, 100, 1, true},
		"at half, moved twice":  {10 * time.Second, 50, 100, 2, false},
		"almost stopped, moved": {10 * time.Second, 5, 100, 2, true},
		"moved too often":       {time.Minute, 5, 100, 3, false},
		"nearly done":           {500 * time.Millisecond, 50, 100, 0, false},
		"no pace at all":        {time.Second, 0, 100, 3, true},
		"nothing left":          {0, 5, 100, 0, false},
		"no faster there":       {10 * time.Second, 30, 30, 0, false},
		"a little faster there": {10 * time.Second, 30, 35, 0, false},
		"half as fast there":    {10 * time.Second, 5, 50, 0, true},
		"nonsense":              {-time.Second, -5, 100, -1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			saved := relocation.TimeSaved(test.remaining, test.here, test.there)
			if got := saved >= relocation.MinGain(2*time.Second, test.interruptions); got != test.moves {
				t.Errorf("moved: %v, saves %v", got, saved)
			}
		})
	}
}

// TestOffersWithLongStops checks from which stop time on runs are offered.
func TestOffersWithLongStops(t *testing.T) {
	tests := map[string]struct {
		stopTime   time.Duration
		worthwhile bool
	}{
		"not known": {0, true},
		"short":     {400 * time.Millisecond, false},
		"long":      {900 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := relocation.IsWorthwhile(test.stopTime); got != test.worthwhile {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestAnswer checks that an answer has an effect once, for the run that was offered, before the offer lapses.
func TestAnswer(t *testing.T) {
	const inTime = 100 * time.Millisecond
	tests := map[string]struct {
		number   int64
		task     string
		attempt  int32
		accepted bool
		after    time.Duration
		want     relocation.Outcome
	}{
		"accepted":           {1, "a", 2, true, inTime, relocation.Accepted},
		"declined":           {1, "a", 2, false, inTime, relocation.Declined},
		"just in time":       {1, "a", 2, true, 599 * time.Millisecond, relocation.Accepted},
		"when it has lapsed": {1, "a", 2, true, 600 * time.Millisecond, relocation.Unknown},
		"for another offer":  {2, "a", 2, true, inTime, relocation.Unknown},
		"without a number":   {0, "", 0, true, inTime, relocation.Unknown},
		"for another task":   {1, "b", 2, true, inTime, relocation.Unknown},
		"for another run":    {1, "a", 1, true, inTime, relocation.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker relocation.OfferTracker
			tracker.Open("a", 2, epoch)
			at := epoch.Add(test.after)
			if _, got := tracker.Answer(test.number, test.task, test.attempt, test.accepted, at); got != test.want {
				t.Errorf("outcome %v, want %v", got, test.want)
			}
			if test.want == relocation.Unknown {
				return
			}
			if _, got := tracker.Answer(test.number, test.task, test.attempt, true, at); got != relocation.Unknown {
				t.Errorf("outcome when sent again %v", got)
			}
		})
	}
}

// TestOneOfferAtATime checks the time between offers, with and without answers, and after a withdrawal.
func TestOneOfferAtATime(t *testing.T) {
	var tracker relocation.OfferTracker
	offer := tracker.Open("a", 1, epoch)
	if tracker.MayOffer(epoch.Add(500 * time.Millisecond)) {
		t.Error("a second offer while one is open")
	}
	if _, lapsed := tracker.Lapse(offer.LapsesAt().Add(-1)); lapsed {
		t.Error("lapsed early")
	}
	if _, lapsed := tracker.Lapse(offer.LapsesAt()); !lapsed || !tracker.MayOffer(offer.LapsesAt()) {
		t.Error("has not lapsed in time")
	}
	tracker.Open("b", 1, offer.LapsesAt())
	tracker.Withdraw()
	if tracker.MayOffer(offer.LapsesAt().Add(299*time.Millisecond)) ||
		!tracker.MayOffer(offer.LapsesAt().Add(300*time.Millisecond)) {
		t.Error("offers are not 300 ms apart")
	}
	var backoff relocation.Backoff
	now := epoch
	for _, want := range []time.Duration{600, 1200, 2400, 2400} {
		backoff.Extend(now)
		if backoff.IsOver(now.Add(want*time.Millisecond-1)) || !backoff.IsOver(now.Add(want*time.Millisecond)) {
			t.Errorf("the backoff is not %d ms", want)
		}
	}
}

// TestReservedOnce checks with random steps that neither a task nor a destination is ever reserved twice.
func TestReservedOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 8))
	reservations := relocation.NewReservationSet()
	for step := range 5000 {
		task, destination := fmt.Sprint("t", random.IntN(12)), fmt.Sprint("w", random.IntN(8))
		if random.IntN(3) == 0 {
			reservations.Release(task)
		}
		_, hasTask := reservations.ByTask(task)
		_, hasDestination := reservations.ByDestination(destination)
		if reservations.Reserve(relocation.NewReservation(task, 1, 1, destination, epoch)) == (hasTask || hasDestination) {
			t.Fatalf("step %d: reserved although there was a reservation, or refused without one", step)
		}
		taken := map[string]bool{}
		for _, reservation := range reservations.All() {
			at, found := reservations.ByDestination(reservation.Destination())
			if taken[reservation.Destination()] || !found || at.Task() != reservation.Task() {
				t.Fatalf("step %d: %v", step, reservations.All())
			}
			taken[reservation.Destination()] = true
		}
	}
}
