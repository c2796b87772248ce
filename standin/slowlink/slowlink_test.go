package slowlink

import (
	"testing"
	"time"
)

// TestLateTimersNeverSlowTheLink guards against a link that carries less than its rate on a busy machine, where timers
// expire late, so that a process seems to be slow that only waits for its data.
func TestLateTimersNeverSlowTheLink(t *testing.T) {
	const (
		bytesPerSecond = 1 << 20
		chunkBytes     = 4 << 10
		chunks         = 256
		idle           = time.Second
	)
	tests := map[string]time.Duration{"timers on time": 0, "timers late": 40 * time.Millisecond}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			begin := time.Unix(0, 0)
			link, now := New(bytesPerSecond), begin
			for range chunks {
				carriedAt := link.reserve(chunkBytes, now)
				if carriedAt.After(now) {
					now = carriedAt.Add(late)
				}
				link.recordWakeUp(carriedAt, now)
			}
			if took := now.Sub(begin); took < time.Second-2*link.duration(maxChunkBytes) || took > time.Second+late {
				t.Errorf("1 MiB took %v at 1 MiB/s", took)
			}
			now = now.Add(idle)
			if first := link.reserve(bytesPerSecond, now).Sub(now); first < time.Second-link.duration(maxChunkBytes)-late {
				t.Errorf("after an idle time, 1 MiB takes %v at 1 MiB/s", first)
			}
		})
	}
}
