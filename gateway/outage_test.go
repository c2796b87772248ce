package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/feature"
)

// TestOutage checks what callers are told while the store is away, and when further attempts are given up. With
// the feature off both are as without it.
func TestOutage(t *testing.T) {
	on, err := feature.Parse([]string{"backlog", "admission"})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		features    feature.Set
		outage      time.Duration
		left        time.Duration
		least, most time.Duration
		hopeless    bool
	}{
		"no outage":          {on, 0, 100 * time.Millisecond, time.Second, time.Second, false},
		"breaker not open":   {on, 900 * time.Millisecond, 100 * time.Millisecond, time.Second, time.Second, false},
		"short":              {on, 1500 * time.Millisecond, 800 * time.Millisecond, time.Second, time.Second, true},
		"time for an append": {on, 1500 * time.Millisecond, time.Second, time.Second, time.Second, false},
		"long":               {on, 20 * time.Second, 800 * time.Millisecond, 3 * time.Second, 4 * time.Second, true},
		"feature off":        {feature.Set{}, 20 * time.Second, 800 * time.Millisecond, time.Second, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			gateway := &Gateway{options: Options{Clock: clock, Features: test.features}}
			const failureInterval = 100 * time.Millisecond
			for range int(test.outage / failureInterval) {
				gateway.breaker.recordFailure(clock.Now())
				clock.Advance(failureInterval)
			}
			ctx, cancel := context.WithDeadline(t.Context(), clock.Now().Add(test.left))
			defer cancel()
			if got := gateway.isAppendHopeless(ctx); got != test.hopeless {
				t.Errorf("isAppendHopeless returned %v", got)
			}
			if got := gateway.storeRetryAfter("0123456789abcdef"); got < test.least || got > test.most {
				t.Errorf("told %v", got)
			}
		})
	}
}
