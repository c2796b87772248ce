// Package share divides the workers of a service among its queues while they are too few.
//
// It is for the case that queues of one priority want more than the workers have. In the order of objectives alone,
// a queue of long-running tasks, which keep what they reserve, leaves nothing for a queue of short tasks that need a
// fraction of a core for a second; and all batch jobs of a queue make some progress while none ends in time.
//
// # Shares
//
// A [Table] keeps the shares of an owner, and notices when there are too few workers: tasks of two queues of one
// service and priority have been without a worker for lack of resources within a second, or tasks of one queue that
// uses less than its share while another has a demand. That ends when none has been for a second.
//
// [Divide] gives each queue its max-min fair share of the processors. Priorities come first: what more urgent
// queues use is subtracted before the rest is divided. Within a priority all queues have the same weight, and
// a queue's share is at most its demand, so that other queues use what it doesn't need. A [Division] keeps
// the shares until a demand has changed noticeably or a period has passed that depends on the shortest target
// duration.
//
// Shares are not limits: they only determine the order of placing. [Sequence] gives the next turn to the queue that
// uses the least relative to its share. A queue that got less than its share before, for example because others used
// it, has a [Lag]: it counts as using less until that is compensated, and the others as using more. Within a queue,
// jobs that can still meet their objective come first, and of these the job with the least work left. Every few starts,
// the turn is that of the job that has waited longest, once its wait exceeds a limit given by its target duration.
//
// # Reserve for short tasks
//
// A long-running task that takes the last free processors of a worker keeps them. [ShortReserve] is the part of
// a worker's processors that long-running tasks leave to short ones, and [IsReserved] decides whether a task
// has to.
//
// # Other owners
//
// Each owner decides for its own jobs, by what all owners report of their queues. [Fractions] says how much of
// each report counts, so that no shard is counted twice.
//
// # Usage
//
//	table := share.NewTable()
//	table.NoteUnplaced(key, now) // for each task that lacks resources
//	if table.Expire(now) {
//		if table.IsCountDue(now) {
//			table.BeginCount(now)
//			table.AddJob(job) // and AddPeerDemand for other owners
//			changed := table.EndCount(capacityOf, now)
//		}
//		for _, job := range table.Order(jobs) { ... } // and RecordStart for each task placed
//	}
package share
