// Package lease holds the rules by which a piece of work runs in one place at
// a time, without clocks that agree.
//
// A giver offers work to a holder and renews its lease; the holder runs it. All
// points in time are of the holder's own uptime, so a message that was held up
// means the same whenever it comes.
//
//   - An [Offer] names the incarnation of the holder it was made to, a fencing
//     token that grows with every attempt, and the uptime at which it ends. A
//     [Holder] takes it up only as that incarnation, before that uptime, and
//     not when the token has been barred.
//   - A holder tells its uptime in its reports. Once it has told one, it takes
//     up no offer that ends before it: the giver may have acted on the report.
//   - A lease that is no longer renewed has ended, on the slowest clock that is
//     allowed for, when [CountedOut] says so.
//
// # Usage
//
//	holder := lease.NewHolder("incarnation-7")
//	if err := holder.Check(offer, uptime); err != nil { ... }
//	holder.Bar("task-1", 3, uptime)
//	told := holder.Report(uptime)
//
// # Errors
//
// Check returns [ErrIncarnation], [ErrExpired] or [ErrBarred]; each proves that
// the offer is not taken up, now or later.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// LongestOffer bounds how far ahead an offer may end. Barriers are kept
	// that long: after it the offer has ended by itself.
	LongestOffer = 30 * time.Second
	// ClockRateBound is how much faster or slower one clock may run than
	// another one.
	ClockRateBound = 0.02
	// margin covers the pauses between reading a clock and acting on it.
	margin = 2 * time.Second
)

// The reasons for not taking an offer up.
var (
	ErrIncarnation = errors.New("the offer was made to another incarnation")
	ErrExpired     = errors.New("the offer has ended, or ends too far ahead")
	ErrBarred      = errors.New("the attempt was stopped before it came")
)

// Offer is work offered to a holder.
type Offer struct {
	// Subject is what is to be run.
	Subject string
	// Token is the fencing token of the attempt.
	Token uint64
	// Incarnation is the start of the holder that the offer is made to.
	Incarnation string
	// Deadline is the holder's uptime at which the offer ends.
	Deadline time.Duration
}

// Holder keeps what a holder must remember to judge offers. It is not safe for
// concurrent use: the holder takes up work under the same lock.
type Holder struct {
	incarnation string
	reported    time.Duration
	barriers    map[string]barrier
}

// barrier keeps attempts up to a token from starting.
type barrier struct {
	token uint64
	until time.Duration
}

// NewHolder returns a holder of the given incarnation.
func NewHolder(incarnation string) *Holder {
	return &Holder{incarnation: incarnation, barriers: map[string]barrier{}}
}

// Incarnation returns which start of the holder this is.
func (holder *Holder) Incarnation() string { return holder.incarnation }

// Check reports whether the offer may be taken up at the given uptime.
func (holder *Holder) Check(offer Offer, uptime time.Duration) error {
	switch {
	case offer.Incarnation != holder.incarnation:
		return ErrIncarnation
	case max(uptime, holder.reported) >= offer.Deadline, offer.Deadline > uptime+LongestOffer:
		return ErrExpired
	case offer.Token <= holder.barriers[offer.Subject].token:
		return ErrBarred
	}
	return nil
}

// Bar keeps attempts at the subject up to the token from being taken up.
func (holder *Holder) Bar(subject string, token uint64, uptime time.Duration) {
	holder.prune(uptime)
	present := holder.barriers[subject]
	holder.barriers[subject] = barrier{token: max(present.token, token), until: uptime + LongestOffer}
}

func (holder *Holder) prune(uptime time.Duration) {
	for subject, set := range holder.barriers {
		if set.until < uptime {
			delete(holder.barriers, subject)
		}
	}
}

// Report returns the uptime to tell, which never goes back, and from then on
// keeps every offer that ends before it from being taken up.
func (holder *Holder) Report(uptime time.Duration) time.Duration {
	holder.reported = max(holder.reported, uptime)
	return holder.reported
}

// CountedOut returns how long a giver waits, on its own clock, from when it
// knows that nobody renews a lease any more until it must have ended: the last
// offer may still be taken up at its very end, and the lease then runs its
// whole length on a slow clock while the giver's runs fast.
func CountedOut(length, offerTime time.Duration) time.Duration {
	return time.Duration(float64(length+offerTime)*(1+2*ClockRateBound)) + margin
}

// Left returns what a giver may grant of a lease: it counts from the last time
// that the giver was sure that nobody had withdrawn it.
func Left(length time.Duration, sure, now time.Time) time.Duration {
	return max(0, length-now.Sub(sure))
}
