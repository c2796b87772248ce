package loop_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/loop"
)

// TestAbandonedCallNeverRuns: the case that forced it is a question to the owner of
// a shard whose client's time ended while it was queued. It ran later, when what it
// was about had been let go of, and the process ended of a nil pointer.
func TestAbandonedCallNeverRuns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	decisions := loop.New(clock)
	asked, giveUp := context.WithCancel(context.Background())
	giveUp()
	ran := false
	if decisions.Call(asked, func(time.Time) { ran = true }) {
		t.Error("answered without a loop")
	}
	decisions.RunNext(clock.Now())
	if ran {
		t.Error("it ran after it was given up on")
	}
}

// TestRunningCallIsAwaited: a question that runs already when its time ends is
// answered, so that what it writes to is not read meanwhile.
func TestRunningCallIsAwaited(t *testing.T) {
	clock := clockwork.NewFakeClock()
	decisions := loop.New(clock)
	asked, giveUp := context.WithCancel(context.Background())
	answered := make(chan bool)
	wrote := false
	go func() {
		answered <- decisions.Call(asked, func(time.Time) {
			giveUp()
			wrote = true
		})
	}()
	decisions.RunNext(clock.Now())
	if !<-answered || !wrote {
		t.Error("given up on while it ran")
	}
}
