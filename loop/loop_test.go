package loop_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/loop"
)

// TestAbandonedCallNeverRuns checks that a function doesn't run after its Call was abandoned. A request to
// the owner of a shard whose client's deadline passed while the function was queued once ran it later, when
// the shard had been released, and the process crashed with a nil pointer dereference.
func TestAbandonedCallNeverRuns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	eventLoop := loop.New(clock)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ran := false
	if eventLoop.Call(ctx, func(time.Time) { ran = true }) {
		t.Error("Call returned true though the loop does not run")
	}
	eventLoop.RunNext(clock.Now())
	if ran {
		t.Error("the function ran after its Call was abandoned")
	}
}

// TestRunningCallIsAwaited checks that Call waits for a function that is already running when its context
// ends, so that the caller doesn't read what the function still writes to.
func TestRunningCallIsAwaited(t *testing.T) {
	clock := clockwork.NewFakeClock()
	eventLoop := loop.New(clock)
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan bool)
	written := false
	go func() {
		returned <- eventLoop.Call(ctx, func(time.Time) {
			cancel()
			written = true
		})
	}()
	eventLoop.RunNext(clock.Now())
	if !<-returned || !written {
		t.Error("Call was abandoned while the function ran")
	}
}
