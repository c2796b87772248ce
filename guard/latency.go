package guard

import (
	"sync/atomic"
	"time"
)

// latencySmoothing is the share of a new reading in the smoothed latency.
const latencySmoothing = 0.1

// latencyAverage is the smoothed time of the backend server.
type latencyAverage struct {
	nanos atomic.Int64
}

func (smooth *latencyAverage) add(reading time.Duration) {
	before := smooth.nanos.Load()
	if before == 0 {
		smooth.nanos.Store(int64(reading))
		return
	}
	// A reading lost to a race with another one does no harm.
	smooth.nanos.Store(before + int64(latencySmoothing*float64(int64(reading)-before)))
}

func (smooth *latencyAverage) average() time.Duration { return time.Duration(smooth.nanos.Load()) }
