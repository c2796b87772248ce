package agent_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// TestBegunIsTold checks that the agent tells of a run that it lists or reports as lost whether the worker has begun it. It
// guards against jobs that are shown as running while none of their tasks has begun.
func TestBegunIsTold(t *testing.T) {
	tests := map[string]struct {
		answers bool
		want    bool
	}{
		"the worker has answered the start":     {true, true},
		"the worker has not answered the start": {false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(1)
			owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Minute)})
			if !test.answers {
				h.worker.InjectFaults(func(string) wireworker.Fault { return wireworker.FaultReset })
			}
			owner.clearReceived()
			owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{newStartOrder(1)}})
			var listed *wire.RunStatus
			h.waitFor(func() bool {
				listing := owner.lastMatching(func(message *wire.AgentMessage) bool { return len(message.GetRuns()) > 0 })
				if listing != nil {
					listed = listing.GetRuns()[0]
				}
				return listed != nil && listed.GetBegun() == test.want
			})
			h.advance(time.Second)
			h.crashWorker()
			h.advance(time.Second)
			h.replaceWorker()
			h.waitFor(func() bool { return owner.firstEnd() != nil })
			if end := owner.firstEnd(); end.GetUnanswered() == test.want {
				t.Errorf("the end of the run says that its start was unanswered: %v", end.GetUnanswered())
			}
		})
	}
}
