package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestStalledRunIsStopped: a run without progress is stopped. A run with progress, or a long-running task
// that works normally, is not.
func TestStalledRunIsStopped(t *testing.T) {
	tests := map[string]struct {
		longRunning bool
		percents    []int32
		stops       int
	}{
		"progress":    {false, []int32{1, 10, 20, 30, 40, 50}, 0},
		"no progress": {false, []int32{10, 10, 10, 10, 10, 10}, 1},
		"a long-running task that works normally":       {true, []int32{100, 100, 100, 100, 100, 100}, 0},
		"a long-running task that never starts working": {true, []int32{0, 0, 0, 0, 0, 0}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.submitWith(func(submission *job.Submission) { submission.Steps[0].Lasting = test.longRunning })
			h.attachAndStart()
			stops := 0
			for _, percent := range test.percents {
				h.clock.Advance(time.Second)
				h.owner.lastJoinAt = h.clock.Now()
				h.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1, Percent: percent}}})
				for _, message := range h.actAndTakeSent() {
					stops = max(stops, len(message.GetStops()))
				}
			}
			if stops != test.stops {
				t.Errorf("%d stops", stops)
			}
		})
	}
}
