// Package overload decides how callers are answered while more jobs are submitted than can end in time, and while
// the store is unavailable: which jobs are refused, when their callers may come back, and in which order their jobs
// are admitted.
//
// Without these decisions, most jobs end in an overload when their results are of no use any more, and callers learn
// that only by waiting. In an outage of the store, all callers come back after the same second until they give up.
//
// The package uses no network, no goroutine and no clock. [Table] is the state of one owner of shards. It is bounded,
// and it may be lost at any time: callers are then treated as new ones. [AppendTracker] is the state of one gateway.
//
// # Order and shares
//
// A job is of use if it ends within the useful time after its caller's first call. It is admitted if the backlog, and
// the refused jobs that called first and can still be in time, leave it the time for that. Room is kept for the largest
// job that has called lately, so that small jobs don't take all room before a large one fits.
//
// Jobs are grouped in classes by queue and size. A job of a class that has had less than its share of the admitted
// work waits only for jobs of its class, and the other classes leave some room for it. So many large jobs, or many jobs
// of one queue, hardly delay the others.
//
// # Usage
//
//	if !overload.ShouldAsk(end, useful) { accept() }
//	table := overload.NewTable()
//	decision := table.Decide(overload.Request{ID: id, Pool: pool, Queue: queue, ...}, now)
//	if decision.IsDecided() && !decision.IsAdmitted() { respond(decision.RetryAfter()) }
//	table.MarkMayBeStored(id, now) // after an unsettled append
//	table.MarkStored(request, now) // once the owner has read the job
package overload
