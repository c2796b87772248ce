package loop

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestShouldCheck(t *testing.T) {
	tests := map[string]struct {
		monotonic, wall time.Duration
		want            bool
	}{
		"no time":                            {0, 0, false},
		"short time":                         {50 * time.Millisecond, 51 * time.Millisecond, false},
		"wall clock ahead":                   {time.Millisecond, 2 * time.Second, true},
		"wall clock set back":                {time.Millisecond, -2 * time.Second, false},
		"wall clock set back, interval over": {150 * time.Millisecond, -2 * time.Second, true},
		"interval over":                      {100 * time.Millisecond, 100 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := shouldCheck(test.monotonic, test.wall); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestResumeHandlerRunsFirst checks that functions queued when the machine was suspended run after the resume
// handler, which has then added the suspended time to the ages that they use.
func TestResumeHandlerRunsFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loop := New(clock)
	var total atomic.Int64
	age := time.Duration(0)
	loop.WatchSuspension(
		func() time.Duration { return time.Duration(total.Load()) },
		func(duration time.Duration, _ time.Time) { age += duration },
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	total.Store(int64(5 * time.Second))
	clock.Advance(checkInterval)
	ages := make(chan time.Duration, 1)
	go loop.Run(ctx, time.Hour, func(time.Time) {})
	loop.Post(func(time.Time) { ages <- age })
	if got := <-ages; got != 5*time.Second {
		t.Errorf("the function saw an age of %v", got)
	}
	if !loop.Call(ctx, func(time.Time) { ages <- age + loop.SuspendedFor() }) {
		t.Fatal("Call returned false")
	}
	if got := <-ages; got != 10*time.Second {
		t.Errorf("age plus SuspendedFor is %v", got)
	}
}
