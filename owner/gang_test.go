package owner

import (
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestGangStartsAllOrNone: members that wait for others hold room for
// nothing.
func TestGangStartsAllOrNone(t *testing.T) {
	tests := map[string]struct {
		free int64
		want int
	}{
		"room for all":         {3000, 3},
		"room for all but one": {2999, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.submitWith(func(handed *job.Submission) {
				handed.Steps = []*job.StepSpec{{Count: 3, MilliCpu: 1000, MemoryMb: 10, EstimateMs: 1000, Gang: true}}
			})
			made.attach()
			made.receive(&wire.AgentMessage{Status: &wire.WorkerStatus{
				Worker: workerID, Service: "verbale", Ready: true, FreeMilliCpu: test.free, FreeMemoryMb: 4000,
			}})
			made.step()
			if got := len(made.agent.runs); got != test.want {
				t.Errorf("%d members started", got)
			}
		})
	}
}
