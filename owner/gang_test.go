package owner

import (
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestGangStartsAllOrNone: members that started without the others would reserve resources without doing
// any work.
func TestGangStartsAllOrNone(t *testing.T) {
	tests := map[string]struct {
		free int64
		want int
	}{
		"resources for all":         {3000, 3},
		"resources for all but one": {2999, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.submitWith(func(submission *job.Submission) {
				submission.Steps = []*job.StepSpec{{Count: 3, MilliCpu: 1000, MemoryMb: 10, EstimateMs: 1000, Gang: true}}
			})
			h.attach()
			h.receive(&wire.AgentMessage{Status: &wire.WorkerStatus{
				Worker: workerID, Service: "verbale", Ready: true, FreeMilliCpu: test.free, FreeMemoryMb: 4000,
			}})
			h.tick()
			if got := len(h.agent.runs); got != test.want {
				t.Errorf("%d members started", got)
			}
		})
	}
}
