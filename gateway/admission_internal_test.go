package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

// TestOutage checks what callers are told while the store is unavailable, and when further attempts to append are
// useless. With the feature off both are as without it.
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
		useless     bool
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
			if got := gateway.isAppendRetryUseless(ctx); got != test.useless {
				t.Errorf("isAppendRetryUseless returned %v", got)
			}
			if got := gateway.storeRetryAfter("0123456789abcdef"); got < test.least || got > test.most {
				t.Errorf("told %v", got)
			}
		})
	}
}

// TestOwnerIsNotAsked checks which jobs are admitted without asking the owner. The gateway has no owner, so
// asking it would panic.
func TestOwnerIsNotAsked(t *testing.T) {
	on, err := feature.Parse([]string{"backlog", "admission"})
	if err != nil {
		t.Fatal(err)
	}
	configuration, err := platform.ParseConfiguration([]byte(`{"routes":[{"service":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		features feature.Set
		forecast FakeForecaster
		inFlight bool
	}{
		"feature off":      {feature.Set{}, FakeForecaster{End: time.Minute, Drained: 1000}, false},
		"append in flight": {on, FakeForecaster{End: time.Minute, Drained: 1000}, true},
		"forecast in time": {on, FakeForecaster{End: time.Second, Drained: 1000}, false},
		"unknown forecast": {on, FakeForecaster{End: time.Minute, Drained: 1000, Unknown: true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			options := Options{Clock: clockwork.NewFakeClock(), Shards: 8, Features: test.features}
			gateway := New(options)
			gateway.SetForecaster(test.forecast)
			submission := &job.Submission{
				Id: "0123456789abcdef", Service: "s", Priority: 1, Extension: 2,
				Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000, EstimateMs: 1000}},
			}
			now := options.Clock.Now()
			if test.inFlight {
				gateway.admission.appends.BeginAppend(submission.GetId(), now)
			}
			if refused := gateway.checkAdmission(t.Context(), configuration, submission, now); refused != nil {
				t.Errorf("refused: %s", refused.reason)
			}
		})
	}
}
