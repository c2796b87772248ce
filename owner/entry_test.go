package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestRunDescriptionHasRemainingSlack: an agent that has been replaced hears what the job may
// lose from now on, not what it could when the run was ordered.
func TestRunDescriptionHasRemainingSlack(t *testing.T) {
	made := newHarness(t)
	made.submit()
	made.attachAndStart()
	ordered := made.agent.runs[firstTask].demand.GetSpareMs()
	made.clock.Advance(600 * time.Millisecond)
	unready := idleWorkerStatus()
	unready.Ready = false
	made.receive(&wire.AgentMessage{Complete: true, Status: unready, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1}}})
	made.tick()
	described := runDescriptions(made.takeSent())
	if len(described) != 1 {
		t.Fatalf("described: %v", described)
	}
	if got := described[0].GetDemand().GetSpareMs(); got != ordered-600 {
		t.Errorf("%d ms to spare, %d with the order", got, ordered)
	}
}

// TestIsMovable: a gang that saves nothing is not moved, nor a task that was moved often.
func TestIsMovable(t *testing.T) {
	tests := map[string]struct {
		change func(step *job.StepSpec)
		ends   int // how often the task has been stopped
		want   bool
	}{
		"saves":                     {func(step *job.StepSpec) { step.Checkpointing = true }, 0, true},
		"saves nothing":             {func(*job.StepSpec) {}, 0, true},
		"a gang that saves":         {func(step *job.StepSpec) { step.Gang, step.Checkpointing = true, true }, 0, true},
		"a gang that saves nothing": {func(step *job.StepSpec) { step.Gang = true }, 0, false},
		"was moved often":           {func(step *job.StepSpec) { step.Checkpointing = true }, maxInterruptions, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			handed := newSubmission()
			test.change(handed.Steps[0])
			of := job.New(handed, 0)
			task := of.Tasks()[0]
			for range test.ends {
				of.StartRun(task, job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, time.UnixMilli(0))
				of.EndRun(task, task.Attempt(), job.EndInterrupted, "", time.UnixMilli(0))
			}
			if got := isMovable(task); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func runDescriptions(messages []*wire.OwnerMessage) []*wire.RunDescription {
	var described []*wire.RunDescription
	for _, message := range messages {
		described = append(described, message.GetRuns()...)
	}
	return described
}
