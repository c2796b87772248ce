// Package backlog sums up what the jobs of queues wait for and use, and forecasts from it when a further job
// would end.
//
// When jobs arrive faster than the workers take their tasks, the end of a job depends on the work that is ahead of it
// at all owners together, and no owner or gateway knows that by itself. Each owner sums up the jobs of its shards in a
// [Summary], which has a row for each queue and need, whatever the number of jobs. A [Table] holds the backlogs of all
// owners and adds them up, as long as they cover every shard and none is older than [MaxAge]. Otherwise the backlog is
// unknown, and so is every forecast.
//
// A forecast divides the work that waits ahead of a job by the rate at which the workers do such work. What this leaves
// out, such as fill tasks that run slowly, is learned: [Outcomes] compares the time that jobs took with the time that
// was expected by the backlog alone. It does not use the corrected forecasts, because a correct ratio would make their
// error disappear, and the ratio would return to 1.
//
// The package uses no network, no goroutine and no clock; the present time is an argument.
//
// # Usage
//
//	summary := backlog.NewSummary()
//	summary.AddJob(openJob, tasks, now)
//	summary.AddEnded(endCounter, now)
//
//	table := backlog.NewTable()
//	table.Put(member, ownerBacklog, receivedAt)
//	sum := table.Sum(shards, now)
//	if sum.IsKnown() {
//		forecast, known := sum.Summary().Forecast(backlog.NewWork(newJob), sum.Age())
//	}
package backlog
