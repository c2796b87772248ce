package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestCircuitBreaker: the store is known to be away once nothing was taken for a while, and one
// caller in a while finds out whether it is back.
func TestCircuitBreaker(t *testing.T) {
	begin := time.UnixMilli(1_800_000_000_000)
	ms := func(count int) time.Time { return begin.Add(time.Duration(count) * time.Millisecond) }
	asked := func(seen *circuitBreaker) {
		seen.recordFailure(ms(0))
		seen.recordFailure(ms(1000))
		seen.shouldReject(ms(1100))
	}
	tests := map[string]struct {
		before func(seen *circuitBreaker)
		asked  time.Duration
		known  bool
	}{
		"nothing has failed":      {func(*circuitBreaker) {}, 5 * time.Second, false},
		"has failed a moment ago": {func(seen *circuitBreaker) { seen.recordFailure(ms(0)) }, 100 * time.Millisecond, false},
		"is asked after a second": {func(seen *circuitBreaker) { seen.recordFailure(ms(0)) }, 1100 * time.Millisecond, false},
		"has just been asked":     {asked, 1200 * time.Millisecond, true},
		"was asked a while ago":   {asked, 1300 * time.Millisecond, false},
		"failed long ago":         {asked, 3100 * time.Millisecond, false},
		"is back": {func(seen *circuitBreaker) {
			asked(seen)
			seen.recordSuccess()
		}, 1200 * time.Millisecond, false},
		"fails again after it was back": {func(seen *circuitBreaker) {
			asked(seen)
			seen.recordSuccess()
			seen.recordFailure(ms(1150))
		}, 1500 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seen := &circuitBreaker{}
			test.before(seen)
			if got := seen.shouldReject(begin.Add(test.asked)); got != test.known {
				t.Errorf("known: %v", got)
			}
		})
	}
}

// TestOpenBreakerSendsNothing: while the store is known to be away a record is refused
// without being sent, so it is not there; with no store set up, sending would panic.
func TestOpenBreakerSendsNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	front := &Gateway{options: Options{Clock: clock, Shards: 8}}
	front.breaker.recordFailure(clock.Now())
	clock.Advance(breakerOpenDelay)
	front.breaker.recordFailure(clock.Now())
	front.breaker.shouldReject(clock.Now()) // This one finds out.
	if got := front.appendRecord(t.Context(), "0123456789abcdef", "key", nil); got.status != appendRefused {
		t.Errorf("got %v: %s", got.status, got.reason)
	}
}
