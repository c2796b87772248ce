// Package loop implements an event loop: it runs functions one after another on a single goroutine, so that
// the state they share needs no locks.
//
// # Usage
//
//	eventLoop := loop.New(clockwork.NewRealClock())
//	go eventLoop.Run(ctx, 100*time.Millisecond, func(now time.Time) { ... })
//	eventLoop.Post(func(now time.Time) { state.update(answer, now) })
//
// A posted function must not block. Work that takes time runs on a goroutine of its own, which posts its
// result.
//
// # Turns
//
// A turn is one batch of posted functions and the tick that follows it. Everything that is posted during a turn waits
// for its end, so what a turn does must be bounded. Work that exceeds the bound is continued in a later turn:
// [Loop.Wake] requests that one at once. [Loop.WatchTurns] reports how long turns take.
//
// # Suspension
//
// The monotonic clock stops while the machine is suspended, so an age that is computed from the time
// passed to a function omits the suspension. [Loop.WatchSuspension] sets a handler that runs after each
// suspension, before any other function. The handler adds the suspended time to the ages of what was recorded
// before.
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// queueLength is the number of functions that may be queued before Post blocks.
	queueLength = 4096
	// maxBatch is the maximum number of queued functions that run as one batch after the first one, before
	// tick runs.
	maxBatch = 256
)

// Loop is an event loop. Post and Call may be used by many goroutines.
type Loop struct {
	clock      clockwork.Clock
	queue      chan func(now time.Time)
	done       chan struct{}
	wake       chan struct{}
	onTurn     func(turn Turn) // nil if turns are not watched
	suspension suspension
}

// Turn describes one turn of a loop.
type Turn struct {
	// Functions is how many posted functions ran. FunctionsTook is how long they took together, TickTook how long the
	// tick took.
	Functions     int
	FunctionsTook time.Duration
	TickTook      time.Duration
	// Queued is how many functions waited when the turn ended.
	Queued int
}

// Took returns how long the turn took.
func (turn Turn) Took() time.Duration { return turn.FunctionsTook + turn.TickTook }

// New returns a loop. Posted functions are queued until Run is called.
func New(clock clockwork.Clock) *Loop {
	return &Loop{
		clock: clock, queue: make(chan func(now time.Time), queueLength), done: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// WatchTurns makes the loop call onTurn after each turn. It must be called before Run.
func (loop *Loop) WatchTurns(onTurn func(turn Turn)) { loop.onTurn = onTurn }

// Wake makes the loop begin another turn without waiting for a function or for the interval. Unlike Post it never
// blocks, so functions that run on the loop may call it.
func (loop *Loop) Wake() {
	select {
	case loop.wake <- struct{}{}:
	default:
	}
}

// Post queues a function. It blocks while the queue is full, and does nothing once Run has returned.
func (loop *Loop) Post(run func(now time.Time)) {
	select {
	case loop.queue <- run:
	case <-loop.done:
	}
}

// Call runs a function on the loop and waits until it has returned. It returns false if Run returned or ctx
// ended before the function started; the function then never runs, so the caller may use what it refers to.
func (loop *Loop) Call(ctx context.Context, run func(now time.Time)) bool {
	finished := make(chan struct{})
	// decided is set by whichever comes first: the loop that starts the function, or the caller that abandons
	// it.
	var decided atomic.Bool
	loop.Post(func(now time.Time) {
		if decided.CompareAndSwap(false, true) {
			run(now)
			close(finished)
		}
	})
	select {
	case <-finished:
		return true
	case <-loop.done:
	case <-ctx.Done():
	}
	if decided.CompareAndSwap(false, true) {
		return false
	}
	<-finished
	return true
}

// Run runs posted functions until ctx ends. It calls tick after each batch of functions, and at least once
// every interval.
func (loop *Loop) Run(ctx context.Context, interval time.Duration, tick func(now time.Time)) {
	defer close(loop.done)
	ticker := loop.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		turn, beganAt := Turn{}, time.Time{}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			beganAt = loop.clock.Now()
		case <-loop.wake:
			beganAt = loop.clock.Now()
		case run := <-loop.queue:
			beganAt = loop.clock.Now()
			loop.execute(run)
			turn.Functions = 1 + loop.executeBatch()
		}
		loop.finishTurn(turn, beganAt, tick)
	}
}

// finishTurn runs tick and reports the turn.
func (loop *Loop) finishTurn(turn Turn, beganAt time.Time, tick func(now time.Time)) {
	tickAt := loop.clock.Now()
	loop.execute(tick)
	if loop.onTurn == nil {
		return
	}
	turn.FunctionsTook, turn.TickTook = tickAt.Sub(beganAt), loop.clock.Since(tickAt)
	turn.Queued = len(loop.queue)
	loop.onTurn(turn)
}

// RunNext waits for a posted function and runs it. It is for tests that run functions one by one, without
// Run.
func (loop *Loop) RunNext(now time.Time) {
	run := <-loop.queue
	run(now)
}

// TryRunNext runs the next function if one is queued, and reports whether it did. Like RunNext, it is for
// tests.
func (loop *Loop) TryRunNext(now time.Time) bool {
	select {
	case run := <-loop.queue:
		run(now)
		return true
	default:
		return false
	}
}

// execute runs a function, after the handler of a suspension if there was one.
func (loop *Loop) execute(run func(now time.Time)) {
	now := loop.clock.Now()
	loop.suspension.check(now)
	run(now)
}

// executeBatch runs queued functions, at most maxBatch, so that a full queue doesn't delay tick. It returns how many
// it has run.
func (loop *Loop) executeBatch() int {
	for count := range maxBatch {
		select {
		case run := <-loop.queue:
			loop.execute(run)
		default:
			return count
		}
	}
	return maxBatch
}
