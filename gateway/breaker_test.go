package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestCircuitBreaker checks that the breaker opens once all appends have failed for a while, and that it then
// lets one append per interval through to probe the store.
func TestCircuitBreaker(t *testing.T) {
	startTime := time.UnixMilli(1_800_000_000_000)
	ms := func(count int) time.Time { return startTime.Add(time.Duration(count) * time.Millisecond) }
	openAndProbe := func(breaker *circuitBreaker) {
		breaker.recordFailure(ms(0))
		breaker.recordFailure(ms(1000))
		breaker.shouldReject(ms(1100))
	}
	tests := map[string]struct {
		before  func(breaker *circuitBreaker)
		elapsed time.Duration
		want    bool
	}{
		"no failure":     {func(*circuitBreaker) {}, 5 * time.Second, false},
		"recent failure": {func(breaker *circuitBreaker) { breaker.recordFailure(ms(0)) }, 100 * time.Millisecond, false},
		"first probe":    {func(breaker *circuitBreaker) { breaker.recordFailure(ms(0)) }, 1100 * time.Millisecond, false},
		"just probed":    {openAndProbe, 1200 * time.Millisecond, true},
		"next probe":     {openAndProbe, 1300 * time.Millisecond, false},
		"old failure":    {openAndProbe, 3100 * time.Millisecond, false},
		"success": {func(breaker *circuitBreaker) {
			openAndProbe(breaker)
			breaker.recordSuccess()
		}, 1200 * time.Millisecond, false},
		"new failure after success": {func(breaker *circuitBreaker) {
			openAndProbe(breaker)
			breaker.recordSuccess()
			breaker.recordFailure(ms(1150))
		}, 1500 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			breaker := &circuitBreaker{}
			test.before(breaker)
			if got := breaker.shouldReject(startTime.Add(test.elapsed)); got != test.want {
				t.Errorf("shouldReject returned %v", got)
			}
		})
	}
}

// TestOpenBreakerSendsNothing checks that an open breaker refuses a record without sending it. The gateway
// has no store, so sending the record would panic.
func TestOpenBreakerSendsNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	gateway := &Gateway{options: Options{Clock: clock, Shards: 8}}
	gateway.breaker.recordFailure(clock.Now())
	clock.Advance(breakerOpenDelay)
	gateway.breaker.recordFailure(clock.Now())
	gateway.breaker.shouldReject(clock.Now()) // The first call is let through as a probe.
	if got := gateway.appendRecord(t.Context(), "0123456789abcdef", "key", nil); got.status != appendRefused {
		t.Errorf("got %v: %s", got.status, got.reason)
	}
}
