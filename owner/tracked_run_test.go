package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestRunDescriptionHasRemainingSlack: an agent that was restarted is sent the slack that the job has
// left now, not the slack that it had when the run was ordered.
func TestRunDescriptionHasRemainingSlack(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attachAndStart()
	orderedSpareMs := h.agent.runs[firstTask].demand.GetSpareMs()
	h.clock.Advance(600 * time.Millisecond)
	unready := idleWorkerStatus()
	unready.Ready = false
	h.receive(&wire.AgentMessage{Complete: true, Status: unready, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1}}})
	h.tick()
	descriptions := runDescriptions(h.takeSent())
	if len(descriptions) != 1 {
		t.Fatalf("run descriptions: %v", descriptions)
	}
	if got := descriptions[0].GetDemand().GetSpareMs(); got != orderedSpareMs-600 {
		t.Errorf("%d ms of slack, %d with the order 600 ms before", got, orderedSpareMs)
	}
}

// TestIsMovable: members of a gang without checkpoints are not moved, nor are tasks that were interrupted
// often.
func TestIsMovable(t *testing.T) {
	tests := map[string]struct {
		change        func(step *job.StepSpec)
		interruptions int // how often the task has been interrupted
		want          bool
	}{
		"with checkpoints":         {func(step *job.StepSpec) { step.Checkpointing = true }, 0, true},
		"without checkpoints":      {func(*job.StepSpec) {}, 0, true},
		"gang with checkpoints":    {func(step *job.StepSpec) { step.Gang, step.Checkpointing = true, true }, 0, true},
		"gang without checkpoints": {func(step *job.StepSpec) { step.Gang = true }, 0, false},
		"interrupted often":        {func(step *job.StepSpec) { step.Checkpointing = true }, maxInterruptions, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			submission := newSubmission()
			test.change(submission.Steps[0])
			j := job.New(submission, 0)
			task := j.Tasks()[0]
			for range test.interruptions {
				j.StartRun(task, job.Place{Incarnation: incarnation.New(workerID, 0), AgentAddress: agentAddress}, time.UnixMilli(0))
				j.EndRun(task, task.Attempt(), job.EndInterrupted, "", time.UnixMilli(0))
			}
			if got := isMovable(task); got != test.want {
				t.Errorf("isMovable: %v", got)
			}
		})
	}
}

// runDescriptions returns the run descriptions in messages to an agent.
func runDescriptions(messages []*wire.OwnerMessage) []*wire.RunDescription {
	var descriptions []*wire.RunDescription
	for _, message := range messages {
		descriptions = append(descriptions, message.GetRuns()...)
	}
	return descriptions
}
