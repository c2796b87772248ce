package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestStalledRunIsStopped: a run without progress is stopped, one with progress
// or at full work is not.
func TestStalledRunIsStopped(t *testing.T) {
	tests := map[string]struct {
		lasting  bool
		percents []int32
		stops    int
	}{
		"progress":                         {false, []int32{1, 10, 20, 30, 40, 50}, 0},
		"none":                             {false, []int32{10, 10, 10, 10, 10, 10}, 1},
		"a lasting task at full work":      {true, []int32{100, 100, 100, 100, 100, 100}, 0},
		"a lasting task that never begins": {true, []int32{0, 0, 0, 0, 0, 0}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.submitWith(func(handed *job.Submission) { handed.Steps[0].Lasting = test.lasting })
			made.attachAndStart()
			stops := 0
			for _, percent := range test.percents {
				made.clock.Advance(time.Second)
				made.owner.lastJoinAt = made.clock.Now()
				made.receive(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1, Percent: percent}}})
				made.step()
				for _, message := range made.takeSent() {
					stops = max(stops, len(message.GetStops()))
				}
			}
			if stops != test.stops {
				t.Errorf("%d stops", stops)
			}
		})
	}
}
