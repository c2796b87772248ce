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
//     allowed for, when [ExpiryWait] says so.
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
// Check returns [ErrOtherIncarnation], [ErrExpired] or [ErrFenced]; each proves that
// the offer is not taken up, now or later.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxOfferTime bounds how far ahead an offer may end. Barriers are kept
	// that long: after it the offer has ended by itself.
	MaxOfferTime = 30 * time.Second
	// MaxClockDriftRate is how much faster or slower one clock may run than
	// another one.
	MaxClockDriftRate = 0.02
	// expiryMargin covers the pauses between reading a clock and acting on it.
	expiryMargin = 2 * time.Second
)

// The reasons for not taking an offer up.
var (
	ErrOtherIncarnation = errors.New("the offer was made to another incarnation")
	ErrExpired          = errors.New("the offer has ended, or ends too far ahead")
	ErrFenced           = errors.New("the attempt was stopped before it came")
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
	incarnation    string
	reportedUptime time.Duration
	fences         map[string]fence
}

// fence keeps attempts up to a token from starting.
type fence struct {
	token     uint64
	expiresAt time.Duration
}

// NewHolder returns a holder of the given incarnation.
func NewHolder(incarnation string) *Holder {
	return &Holder{incarnation: incarnation, fences: map[string]fence{}}
}

// Incarnation returns which start of the holder this is.
func (holder *Holder) Incarnation() string { return holder.incarnation }

// Check reports whether the offer may be taken up at the given uptime.
func (holder *Holder) Check(offer Offer, uptime time.Duration) error {
	switch {
	case offer.Incarnation != holder.incarnation:
		return ErrOtherIncarnation
	case max(uptime, holder.reportedUptime) >= offer.Deadline, offer.Deadline > uptime+MaxOfferTime:
		return ErrExpired
	case offer.Token <= holder.fences[offer.Subject].token:
		return ErrFenced
	}
	return nil
}

// Fence keeps attempts at the subject up to the token from being taken up.
func (holder *Holder) Fence(subject string, token uint64, uptime time.Duration) {
	holder.pruneFences(uptime)
	present := holder.fences[subject]
	holder.fences[subject] = fence{token: max(present.token, token), expiresAt: uptime + MaxOfferTime}
}

func (holder *Holder) pruneFences(uptime time.Duration) {
	for subject, set := range holder.fences {
		if set.expiresAt < uptime {
			delete(holder.fences, subject)
		}
	}
}

// ReportUptime returns the uptime to tell, which never goes back, and from then on
// keeps every offer that ends before it from being taken up.
func (holder *Holder) ReportUptime(uptime time.Duration) time.Duration {
	holder.reportedUptime = max(holder.reportedUptime, uptime)
	return holder.reportedUptime
}

// ExpiryWait returns how long a giver waits, on its own clock, from when it
// knows that nobody renews a lease any more until it must have ended: the last
// offer may still be taken up at its very end, and the lease then runs its
// whole length on a slow clock while the giver's runs fast.
func ExpiryWait(length, offerTime time.Duration) time.Duration {
	return time.Duration(float64(length+offerTime)*(1+2*MaxClockDriftRate)) + expiryMargin
}

// Remaining returns what a giver may grant of a lease: it counts from the last time
// that the giver was sure that nobody had withdrawn it.
func Remaining(length time.Duration, sure, now time.Time) time.Duration {
	return max(0, length-now.Sub(sure))
}
