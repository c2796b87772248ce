// Package backlog sums up what the jobs of queues wait for and use, and forecasts from it when a further job
// would end.
package backlog
