package relocation

import "time"

const (
	// offerTime is how long an offer is open. An answer takes two messages and a tick of the owner, about
	// 50 ms; a busy owner answers within half a second. The answer relies on tolerances as old as the offer.
	offerTime = 600 * time.Millisecond
	// offerInterval is the minimum time between two offers of a worker, so that the next measurement of the tail
	// latencies includes the effect of a move.
	offerInterval = 300 * time.Millisecond
	// firstBackoff is how long a run is passed over after its offer was declined for the first time. It
	// doubles with each further time, up to maxBackoff: the load of serving tasks changes within seconds.
	firstBackoff = 600 * time.Millisecond
	maxBackoff   = 2400 * time.Millisecond
)

// Offer is an offer that an agent has made for a run.
type Offer struct {
	number   int64
	task     string
	attempt  int32
	openedAt time.Time
}

// Number returns the offer's number, which counts the offers of a tracker from 1.
func (offer Offer) Number() int64 { return offer.number }

// Task returns the task of the run that was offered.
func (offer Offer) Task() string { return offer.task }

// Attempt returns the attempt of the run that was offered.
func (offer Offer) Attempt() int32 { return offer.attempt }

// Age returns how long ago the offer was made.
func (offer Offer) Age(now time.Time) time.Duration { return now.Sub(offer.openedAt) }

// LapsesAt returns the time from which on an answer has no effect.
func (offer Offer) LapsesAt() time.Time { return offer.openedAt.Add(offerTime) }

// Outcome is how an offer ended.
type Outcome string

// The outcomes.
const (
	// Accepted means that a destination is reserved, and the run may be stopped for it.
	Accepted Outcome = "accepted"
	// Declined means that the owner has found no destination.
	Declined Outcome = "declined"
	// Unanswered means that the offer has lapsed.
	Unanswered Outcome = "unanswered"
	// Unknown means that an answer matches no open offer: it came too late or twice, or is for another run.
	Unknown Outcome = "unknown"
)

// OfferTracker holds the offers of one worker, of which at most one is open at a time. The zero value has none.
type OfferTracker struct {
	open         Offer // its number is 0 if there is none
	count        int64
	lastOpenedAt time.Time
}

// MayOffer reports whether another offer may be made now.
func (tracker *OfferTracker) MayOffer(now time.Time) bool {
	return tracker.open.number == 0 && (tracker.count == 0 || now.Sub(tracker.lastOpenedAt) >= offerInterval)
}

// Open makes an offer for a run. It must only be called if MayOffer allows it.
func (tracker *OfferTracker) Open(task string, attempt int32, now time.Time) Offer {
	tracker.count++
	tracker.lastOpenedAt = now
	tracker.open = Offer{number: tracker.count, task: task, attempt: attempt, openedAt: now}
	return tracker.open
}

// Current returns the open offer, and whether there is one.
func (tracker *OfferTracker) Current() (Offer, bool) { return tracker.open, tracker.open.number != 0 }

// Withdraw closes the open offer, because its run has ended. A later answer to it is Unknown.
func (tracker *OfferTracker) Withdraw() { tracker.open = Offer{} }

// Answer applies an owner's answer. It returns the offer that it closes and its outcome, or Unknown if the
// answer has no effect. An answer to an offer that has lapsed leaves it to Lapse.
func (tracker *OfferTracker) Answer(
	number int64, task string, attempt int32, accepted bool, now time.Time,
) (Offer, Outcome) {
	offer := tracker.open
	isForOffer := number != 0 && offer.number == number && offer.task == task && offer.attempt == attempt
	if !isForOffer || !now.Before(offer.LapsesAt()) {
		return Offer{}, Unknown
	}
	tracker.open = Offer{}
	if accepted {
		return offer, Accepted
	}
	return offer, Declined
}

// Lapse closes the open offer if its time is over. It returns the offer, and whether it has lapsed.
func (tracker *OfferTracker) Lapse(now time.Time) (Offer, bool) {
	offer := tracker.open
	if offer.number == 0 || now.Before(offer.LapsesAt()) {
		return Offer{}, false
	}
	tracker.open = Offer{}
	return offer, true
}

// Backoff says from when on a run may be offered again. The zero value permits it at once.
type Backoff struct {
	delay time.Duration
	until time.Time
}

// Extend delays the next offer of a run, because no destination was found for it.
func (backoff *Backoff) Extend(now time.Time) {
	backoff.delay = min(max(2*backoff.delay, firstBackoff), maxBackoff)
	backoff.until = now.Add(backoff.delay)
}

// IsOver reports whether the run may be offered.
func (backoff *Backoff) IsOver(now time.Time) bool { return !now.Before(backoff.until) }
