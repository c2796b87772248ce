// Package loop runs the decisions of a process one after another on one
// goroutine, so that what they decide on needs no locks.
//
// # Usage
//
//	decisions := loop.New(clockwork.NewRealClock())
//	go decisions.Run(ctx, 100*time.Millisecond, func(now time.Time) { ... })
//	decisions.Post(func(now time.Time) { state.note(answer, now) })
//
// A posted function must not block: what takes time runs on a goroutine of its
// own and posts what came of it.
//
// # Suspension
//
// The time that a function is given doesn't go on while the machine is suspended. A loop
// that watches for it has what was noted before made older first, and then goes on.
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// queueLength is how many functions may be queued before Post waits.
	queueLength = 4096
	// maxBatch bounds how many functions run before step does.
	maxBatch = 256
)

// Loop is a queue of functions that run one after another.
type Loop struct {
	clock      clockwork.Clock
	queue      chan func(now time.Time)
	done       chan struct{}
	suspension suspension
}

// New returns a loop that runs nothing yet.
func New(clock clockwork.Clock) *Loop {
	return &Loop{clock: clock, queue: make(chan func(now time.Time), queueLength), done: make(chan struct{})}
}

// Post queues a function. It waits while the queue is full, and does nothing
// once the loop has ended.
func (decisions *Loop) Post(run func(now time.Time)) {
	select {
	case decisions.queue <- run:
	case <-decisions.done:
	}
}

// Call runs a function on the loop and waits for it. It reports false when the
// loop or ctx ended first; then the function never runs, so what it refers to may be
// used again.
func (decisions *Loop) Call(ctx context.Context, run func(now time.Time)) bool {
	answered := make(chan struct{})
	// settled is set by whichever is first: the loop that runs the function, or the
	// caller that gives it up.
	var settled atomic.Bool
	decisions.Post(func(now time.Time) {
		if settled.CompareAndSwap(false, true) {
			run(now)
			close(answered)
		}
	})
	select {
	case <-answered:
		return true
	case <-decisions.done:
	case <-ctx.Done():
	}
	if settled.CompareAndSwap(false, true) {
		return false
	}
	<-answered
	return true
}

// Run runs what is posted until ctx ends, and step after each batch and at
// least once every interval.
func (decisions *Loop) Run(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	defer close(decisions.done)
	ticker := decisions.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case run := <-decisions.queue:
			decisions.execute(run)
			decisions.executeBatch()
		}
		decisions.execute(step)
	}
}

// RunNext waits for one function and runs it, for tests that make the decisions of
// a loop themselves.
func (decisions *Loop) RunNext(now time.Time) {
	run := <-decisions.queue
	run(now)
}

// TryRunNext runs the next function if one is queued, for the same tests, and reports whether it has.
func (decisions *Loop) TryRunNext(now time.Time) bool {
	select {
	case run := <-decisions.queue:
		run(now)
		return true
	default:
		return false
	}
}

// execute runs a function, after what a suspension before it has to change.
func (decisions *Loop) execute(run func(now time.Time)) {
	now := decisions.clock.Now()
	decisions.suspension.check(now)
	run(now)
}

// executeBatch runs what is queued, a batch at most, so that step is not kept waiting.
func (decisions *Loop) executeBatch() {
	for range maxBatch {
		select {
		case run := <-decisions.queue:
			decisions.execute(run)
		default:
			return
		}
	}
}
