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
		steady, wall time.Duration
		want         bool
	}{
		"nothing has passed":                {0, 0, false},
		"a short time":                      {50 * time.Millisecond, 51 * time.Millisecond, false},
		"the time of day is ahead":          {time.Millisecond, 2 * time.Second, true},
		"the time of day has been set back": {time.Millisecond, -2 * time.Second, false},
		"set back, after the usual time":    {150 * time.Millisecond, -2 * time.Second, true},
		"the usual time":                    {100 * time.Millisecond, 100 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := shouldCheck(test.steady, test.wall); got != test.want {
				t.Errorf("%v", got)
			}
		})
	}
}

// TestResumeHandlerRunsFirst: what was on its way when the machine was suspended runs only after what it
// decides by has been made older.
func TestResumeHandlerRunsFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	decisions := New(clock)
	var total atomic.Int64
	older := time.Duration(0)
	decisions.WatchSuspension(
		func() time.Duration { return time.Duration(total.Load()) },
		func(slept time.Duration, _ time.Time) { older += slept },
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	total.Store(int64(5 * time.Second))
	clock.Advance(checkInterval)
	seen := make(chan time.Duration, 1)
	go decisions.Run(ctx, time.Hour, func(time.Time) {})
	decisions.Post(func(time.Time) { seen <- older })
	if got := <-seen; got != 5*time.Second {
		t.Errorf("ran with what was known %v older", got)
	}
	if !decisions.Call(ctx, func(time.Time) { seen <- older + decisions.SuspendedFor() }) {
		t.Fatal("not asked")
	}
	if got := <-seen; got != 10*time.Second {
		t.Errorf("in all %v", got)
	}
}
