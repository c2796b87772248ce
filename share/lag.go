package share

import "time"

const (
	// minCatchUpTime is the time between two reports of other owners. With less, each owner would compensate for a lag
	// before it knew by how much the others have done so.
	minCatchUpTime = time.Second
	// maxCatchUpTime limits the time within which a lag is compensated. Most jobs with a longer target duration have the
	// time to wait until other tasks end.
	maxCatchUpTime = 8 * time.Second
	// maxLagTargets limits a lag to what the share yields in this many target durations. Tasks that have waited longer
	// are too late for their callers, and would take processors from other queues in vain.
	maxLagTargets = 2
)

// Lag is how much less than its share a queue has used, in milli-CPU times milliseconds. The order of placing
// compensates for it while the queue has tasks waiting. It is negative if the queue has used more than its share.
type Lag int64

// Add returns the lag after the elapsed time with a demand and a share, of which only the part that queues could use
// counts. Its amount is at most what the share yields in maxLagTargets times shortest, the shortest target duration of
// the queues that compete. A queue without waiting tasks has no positive lag, or an idle queue could later take
// processors for all of its idle time. One without a known target duration has no lag: long-running tasks don't
// release processors that could compensate for it.
func (lag Lag) Add(shareMilliCPU int64, demand Demand, shortest, elapsed time.Duration) Lag {
	if demand.Target <= 0 {
		return 0
	}
	lag += Lag((shareMilliCPU - demand.UsedMilliCPU) * elapsed.Milliseconds())
	if demand.WantedMilliCPU == 0 {
		lag = min(lag, 0)
	}
	bound := Lag(maxLagTargets * shareMilliCPU * catchUpTime(shortest).Milliseconds())
	return min(max(lag, -bound), bound)
}

// MilliCPU returns how much more than its share the queue should use to compensate for its lag within its shortest
// target duration, or how much less if that is negative.
func (lag Lag) MilliCPU(target time.Duration) int64 {
	return int64(lag) / catchUpTime(target).Milliseconds()
}

// catchUpTime returns the time within which the lag of a queue with a target duration is compensated.
func catchUpTime(target time.Duration) time.Duration {
	return min(max(target, minCatchUpTime), maxCatchUpTime)
}
