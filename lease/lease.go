// Package lease implements the rules which ensure that a piece of work runs in one
// place at a time, without synchronized clocks.
//
// A grantor offers work to a holder and renews its lease; the holder runs the work.
// All points in time are uptimes of the holder, so that a delayed message means
// the same whenever it arrives.
//
//   - An [Offer] names the incarnation of the holder that it was made to, a fencing
//     token that increases with every attempt, and the uptime at which it expires.
//     A [Holder] accepts an offer only if it is that incarnation, before that
//     uptime, and if the token has not been fenced.
//   - A holder sends its uptime in its reports. After that it accepts no offer that
//     expires at or before this uptime, because the grantor may have concluded from
//     the report that the offer was not accepted.
//   - A lease that is no longer renewed has expired, even on the slowest clock
//     within the allowed drift, once the grantor has waited for [ExpiryWait].
//
// # Usage
//
//	holder := lease.NewHolder("incarnation-7")
//	if err := holder.Check(offer, uptime); err != nil { ... }
//	holder.Fence("task-1", 3, uptime)
//	reported := holder.ReportUptime(uptime)
//
// # Errors
//
// Check returns [ErrOtherIncarnation], [ErrExpired] or [ErrFenced]. Each proves that
// the offer was not accepted. It will not be accepted later either, unless it was
// refused for a deadline too far in the future and is delivered again.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxOfferTime bounds how far in the future an offer may expire. Fences are
	// kept for that long, because all offers that they apply to have expired
	// afterwards.
	MaxOfferTime = 30 * time.Second
	// MaxClockDriftRate is the maximum difference between the rates of two clocks,
	// as a fraction: 0.02 allows one to run 2% faster than another.
	MaxClockDriftRate = 0.02
	// expiryMargin allows for the delay between reading a clock and acting on it.
	expiryMargin = 2 * time.Second
)

// The reasons for not accepting an offer.
var (
	// ErrOtherIncarnation refuses an offer made to another incarnation of the holder.
	ErrOtherIncarnation = errors.New("the offer was made to another incarnation")
	// ErrExpired refuses an offer that has expired, or that expires more than
	// MaxOfferTime in the future.
	ErrExpired = errors.New("the offer has ended, or ends too far ahead")
	// ErrFenced refuses an offer whose token has been fenced.
	ErrFenced = errors.New("the attempt was stopped before it came")
)

// Offer is an offer of one attempt at a piece of work to a holder.
type Offer struct {
	// Subject identifies the work.
	Subject string
	// Token is the fencing token of the attempt. It increases with every attempt.
	Token uint64
	// Incarnation is the incarnation of the holder that the offer is made to.
	Incarnation string
	// Deadline is the holder's uptime at which the offer expires.
	Deadline time.Duration
}

// Holder holds the state by which a holder checks offers. It is not safe for
// concurrent use: callers start work under the same lock that guards the Holder.
type Holder struct {
	incarnation    string
	reportedUptime time.Duration
	fences         map[string]fence
}

// fence prevents attempts with a token up to the given one from starting.
type fence struct {
	token     uint64
	expiresAt time.Duration
}

// NewHolder returns the state of a holder with the given incarnation.
func NewHolder(incarnation string) *Holder {
	return &Holder{incarnation: incarnation, fences: map[string]fence{}}
}

// Incarnation returns the incarnation of the holder.
func (h *Holder) Incarnation() string { return h.incarnation }

// Check returns nil if the offer may be accepted at the given uptime. Otherwise it
// returns ErrOtherIncarnation, ErrExpired or ErrFenced.
func (h *Holder) Check(offer Offer, uptime time.Duration) error {
	switch {
	case offer.Incarnation != h.incarnation:
		return ErrOtherIncarnation
	case max(uptime, h.reportedUptime) >= offer.Deadline, offer.Deadline > uptime+MaxOfferTime:
		return ErrExpired
	case offer.Token <= h.fences[offer.Subject].token:
		return ErrFenced
	}
	return nil
}

// Fence prevents offers for the subject with a token up to the given one from being
// accepted.
func (h *Holder) Fence(subject string, token uint64, uptime time.Duration) {
	h.pruneFences(uptime)
	existing := h.fences[subject]
	h.fences[subject] = fence{token: max(existing.token, token), expiresAt: uptime + MaxOfferTime}
}

// pruneFences removes the fences whose offers have all expired.
func (h *Holder) pruneFences(uptime time.Duration) {
	for subject, f := range h.fences {
		if f.expiresAt < uptime {
			delete(h.fences, subject)
		}
	}
}

// ReportUptime returns the uptime to report, which never decreases. From then on,
// offers that expire at or before this uptime are not accepted.
func (h *Holder) ReportUptime(uptime time.Duration) time.Duration {
	h.reportedUptime = max(h.reportedUptime, uptime)
	return h.reportedUptime
}

// ExpiryWait returns how long a grantor must wait, by its own clock, until a lease
// has certainly expired after nobody renews it any more. The last offer may be
// accepted just before it expires, and the lease then lasts its full duration on
// a slow clock while the grantor's clock runs fast.
func ExpiryWait(duration, offerTime time.Duration) time.Duration {
	return time.Duration(float64(duration+offerTime)*(1+2*MaxClockDriftRate)) + expiryMargin
}

// Remaining returns for how long a grantor may renew a lease. The lease counts from
// the last time at which the grantor was certain that nobody had withdrawn it.
func Remaining(duration time.Duration, confirmedAt, now time.Time) time.Duration {
	return max(0, duration-now.Sub(confirmedAt))
}
