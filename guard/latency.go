package guard

import (
	"sync/atomic"
	"time"
)

// latencyWeight is the share of a new reading in the smoothed latency.
const latencyWeight = 0.1

// latency is the smoothed time of the backend server.
type latency struct {
	nanos atomic.Int64
}

func (smooth *latency) add(reading time.Duration) {
	before := smooth.nanos.Load()
	if before == 0 {
		smooth.nanos.Store(int64(reading))
		return
	}
	// A reading lost to a race with another one does no harm.
	smooth.nanos.Store(before + int64(latencyWeight*float64(int64(reading)-before)))
}

func (smooth *latency) smoothed() time.Duration { return time.Duration(smooth.nanos.Load()) }
