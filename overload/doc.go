// Package overload decides what callers are told while more jobs are submitted than can end in time, and while
// the store is away: which jobs are refused, when their callers may come back, and in which order they come in.
//
// It answers two loads. In the first, jobs are submitted faster than they end. Without it they are all accepted,
// most end when their results are of no use any more, and callers learn that only by waiting. In the second, the
// store is away, and all callers come back after the same second until they give up.
//
// The package is pure: it uses no network, no goroutine and no clock. [Table] is the state of one owner of
// shards. It is bounded, and it may be lost at any time: callers are then treated as new ones.
//
// # Order and shares
//
// A job is of use if it ends within the useful time after its caller's first call. It is admitted if the backlog,
// and the refused jobs that called first and can still be in time, leave it the time for that. Room is kept for
// the largest job that has called lately, so that small jobs don't take all room before a large one fits.
//
// Jobs are grouped in classes by queue and size. A class that has had less than its share of the admitted work
// waits for its own jobs only, and the others leave some room for it. So a flood of large jobs, or of jobs of one
// queue, is hardly at the cost of the others.
//
// # Usage
//
//	if !overload.ShouldAsk(end, useful) { accept() }
//	table := overload.NewTable()
//	decision := table.Decide(overload.Request{ID: id, Pool: pool, Queue: queue, ...}, now)
//	if decision.IsDecided() && !decision.IsAdmitted() { tell(decision.RetryAfter()) }
//	table.Settle(id, now) // once the job may be in the store
package overload
