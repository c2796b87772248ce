package guard

import (
	"sync/atomic"
	"time"
)

// latencySmoothing is the weight of a new sample in the moving average, 0 to 1.
const latencySmoothing = 0.1

// latencyAverage is an exponential moving average of request durations. It is safe for
// concurrent use.
type latencyAverage struct {
	nanos atomic.Int64 // 0 until the first sample
}

// add adds a sample. The first sample sets the average.
func (l *latencyAverage) add(sample time.Duration) {
	previous := l.nanos.Load()
	if previous == 0 {
		l.nanos.Store(int64(sample))
		return
	}
	// Of two concurrent calls one may overwrite the other. Losing a sample does no harm.
	l.nanos.Store(previous + int64(latencySmoothing*float64(int64(sample)-previous)))
}

// average returns the current average, or 0 if there is no sample yet.
func (l *latencyAverage) average() time.Duration { return time.Duration(l.nanos.Load()) }
