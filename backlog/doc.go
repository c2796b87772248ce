// Package backlog sums up what the jobs of queues wait for and use, and forecasts from it when a further job
// would end.
//
// It answers a load in which jobs arrive faster than the workers take their tasks. The end of a job then depends
// on the work that is ahead of it at all owners together, and no owner or gateway knows that by itself. Each owner
// sums up the jobs of its shards in a [Summary], which has a row for each queue and need, whatever the number of
// jobs. A [Table] holds the backlogs of all owners and adds them up, as long as they cover every shard and none is
// older than [MaxAge]. Otherwise the backlog is unknown, and so is every forecast.
//
// A forecast divides the work that waits ahead of a job by the rate at which the workers do such work. What that
// leaves out, such as fill tasks that run slowly, is learned: [Outcomes] compares what jobs took with what was
// expected of them. It compares the expectation before it is corrected by what was learned. Learning from corrected
// forecasts would lower the ratio as soon as it were right.
//
// All functions are pure: they take the present time as an argument, and neither wait nor call anything.
//
// # Usage
//
//	summary := backlog.NewSummary()
//	summary.AddJob(openJob, tasks, now)
//	summary.AddEnded(ended, now)
//
//	table := backlog.NewTable()
//	table.Put(member, ownerBacklog, receivedAt)
//	sum := table.Sum(shards, now)
//	if sum.IsKnown() {
//		forecast, known := sum.Summary().Forecast(backlog.NewWork(newJob), sum.Age())
//	}
package backlog
