package share

import "time"

const (
	// maxShortTask is the longest estimated duration of a short task.
	maxShortTask = 2 * time.Second
	// peakDecayTime is how long a peak of use counts. Short tasks arrive in bursts, and the next task of a burst
	// arrives within seconds.
	peakDecayTime = 5 * time.Second
	// maxReserveFraction is the largest part of a worker's processors that is kept for short tasks.
	maxReserveFraction = 0.125
	// maxReserveWait is how long a long-running task leaves the reserve to short ones. No job may be
	// without progress for 3 s while there are free processors.
	maxReserveWait = 1500 * time.Millisecond
)

// IsShortTask reports whether a task that reserves processors and ends by itself is a short one.
func IsShortTask(estimate time.Duration) bool { return estimate <= maxShortTask }

// RecentPeak is the most that short tasks have used on a worker lately. It decreases to 0 over peakDecayTime. The
// zero value has no peak.
type RecentPeak struct {
	milliCPU int64
	at       time.Time
}

// Observe records what short tasks use at present.
func (peak *RecentPeak) Observe(milliCPU int64, now time.Time) {
	*peak = RecentPeak{milliCPU: max(milliCPU, peak.MilliCPU(now)), at: now}
}

// MilliCPU returns the peak as of now.
func (peak *RecentPeak) MilliCPU(now time.Time) int64 {
	left := peakDecayTime - now.Sub(peak.at)
	if peak.milliCPU == 0 || left <= 0 {
		return 0
	}
	return int64(float64(peak.milliCPU) * min(left.Seconds()/peakDecayTime.Seconds(), 1))
}

// ShortReserve returns how much of a worker's processors is kept for short tasks.
func ShortReserve(workerMilliCPU, peakMilliCPU int64) int64 {
	return min(peakMilliCPU, int64(maxReserveFraction*float64(workerMilliCPU)))
}

// IsReserved reports whether a long-running task that has waited for a time has to leave a worker's free
// processors to short tasks. It never has to on a worker with twice as many free processors as it needs.
func IsReserved(freeMilliCPU, neededMilliCPU, reserveMilliCPU int64, waited time.Duration) bool {
	return waited <= maxReserveWait && freeMilliCPU-min(reserveMilliCPU, neededMilliCPU) < neededMilliCPU
}
