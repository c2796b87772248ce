package share

import "time"

const (
	// minLagTime is the time between two reports of other owners. If owners returned what is owed in less, each would
	// return it before it knew of what the others have returned.
	minLagTime = time.Second
	// maxLagTime limits the time within which a queue gets back what it is owed. Of jobs with a longer target duration
	// most have the time to wait for the room that ends with other tasks.
	maxLagTime = 8 * time.Second
	// maxOwedTargets is how many target durations of its share a queue can be owed. Tasks that have waited longer are
	// too late for their callers, and would take the room from other queues in vain.
	maxOwedTargets = 2
)

// Lag is what a queue has used less than its share, in milli-CPU times milliseconds. It is owed that while it has
// tasks waiting. The lag is negative if the queue has used more than its share.
type Lag int64

// Add returns the lag after a time with a share, as far as queues could use theirs, and a demand. It is at most what
// the share yields in twice the shortest target duration of the queues that compete, which is given. A queue without
// waiting tasks is owed nothing: it could save up claims. One without a known target duration has no lag: long-running
// tasks return nothing.
func (lag Lag) Add(shareMilliCPU int64, demand Demand, shortest, elapsed time.Duration) Lag {
	if demand.Target <= 0 {
		return 0
	}
	lag += Lag((shareMilliCPU - demand.UsedMilliCPU) * elapsed.Milliseconds())
	if demand.WantedMilliCPU == 0 {
		lag = min(lag, 0)
	}
	bound := Lag(maxOwedTargets * shareMilliCPU * lagTime(shortest).Milliseconds())
	return min(max(lag, -bound), bound)
}

// MilliCPU returns how much more than its share the queue should use to get back what it is owed within its shortest
// target duration, or how much less to return what it owes.
func (lag Lag) MilliCPU(target time.Duration) int64 {
	return int64(lag) / lagTime(target).Milliseconds()
}

// lagTime returns the time within which a queue with a target duration gets back what it is owed.
func lagTime(target time.Duration) time.Duration { return min(max(target, minLagTime), maxLagTime) }
