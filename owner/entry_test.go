package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestDescriptionTellsWhatIsLeft: an agent that has been replaced hears what the job may
// lose from now on, not what it could when the run was ordered.
func TestDescriptionTellsWhatIsLeft(t *testing.T) {
	made := newBench(t)
	made.submit()
	made.attachAndStart()
	ordered := made.view.runs[taskOne].demand.GetSpareMs()
	made.clock.Advance(600 * time.Millisecond)
	unready := emptyWorker()
	unready.Ready = false
	made.hear(&wire.AgentMessage{Complete: true, Status: unready, Runs: []*wire.RunStatus{{Task: taskOne, Attempt: 1}}})
	made.step()
	described := descriptions(made.sent())
	if len(described) != 1 {
		t.Fatalf("described: %v", described)
	}
	if got := described[0].GetDemand().GetSpareMs(); got != ordered-600 {
		t.Errorf("%d ms to spare, %d with the order", got, ordered)
	}
}

func descriptions(messages []*wire.OwnerMessage) []*wire.RunDescription {
	var described []*wire.RunDescription
	for _, message := range messages {
		described = append(described, message.GetRuns()...)
	}
	return described
}
