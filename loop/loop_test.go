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

// TestTurnsAreMeasured checks that a turn is reported with the time of its functions and of its tick, and that Wake
// begins one. Without that, nobody is told of a turn that keeps joins, answers and ends waiting.
func TestTurnsAreMeasured(t *testing.T) {
	clock := clockwork.NewFakeClock()
	eventLoop := loop.New(clock)
	turns := make(chan loop.Turn, 1)
	eventLoop.WatchTurns(func(turn loop.Turn) { turns <- turn })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	eventLoop.Post(func(time.Time) { clock.Advance(30 * time.Millisecond) })
	go eventLoop.Run(ctx, time.Hour, func(time.Time) { clock.Advance(50 * time.Millisecond) })
	if turn := <-turns; turn.Functions != 1 || turn.FunctionsTook != 30*time.Millisecond || turn.TickTook != 50*time.Millisecond {
		t.Errorf("turn with a function: %+v", turn)
	}
	eventLoop.Wake()
	if turn := <-turns; turn.Functions != 0 || turn.Took() != 50*time.Millisecond {
		t.Errorf("turn after Wake: %+v", turn)
	}
}
