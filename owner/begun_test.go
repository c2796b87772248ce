package owner

import (
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestJobWaitsUntilRunHasBegun: a job counts as pending until one of its runs has certainly begun, whatever the agent says
// of runs whose start was not answered. It guards against a count of 0 while jobs wait for a worker that is gone.
func TestJobWaitsUntilRunHasBegun(t *testing.T) {
	lost := func(reason wire.EndReason, unanswered bool) *wire.AgentMessage {
		return &wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Task: firstTask, Attempt: 1, Reason: reason, Unanswered: unanswered}}}
	}
	list := func(run *wire.RunStatus) *wire.AgentMessage {
		run.Task, run.Attempt = firstTask, 1
		return &wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{run}}
	}
	tests := map[string]struct {
		// tellsBegun is set for an agent of this build, adopted for a run that an earlier owner has started.
		tellsBegun, adopted bool
		message             *wire.AgentMessage
		want                job.State
	}{
		"listed, not begun":                         {true, false, list(&wire.RunStatus{}), job.State_STATE_QUEUED},
		"listed, begun":                             {true, false, list(&wire.RunStatus{Begun: true}), job.State_STATE_RUNNING},
		"adopted and listed, not begun":             {true, true, list(&wire.RunStatus{}), job.State_STATE_QUEUED},
		"adopted and listed, begun":                 {true, true, list(&wire.RunStatus{Begun: true}), job.State_STATE_RUNNING},
		"lost, not begun":                           {true, false, lost(wire.EndReason_END_LOST, true), job.State_STATE_QUEUED},
		"crashed, not begun":                        {true, false, lost(wire.EndReason_END_CRASHED, true), job.State_STATE_QUEUED},
		"lost, begun":                               {true, false, lost(wire.EndReason_END_LOST, false), job.State_STATE_RUNNING},
		"listed by an earlier build":                {false, false, list(&wire.RunStatus{}), job.State_STATE_QUEUED},
		"listed by an earlier build, with progress": {false, false, list(&wire.RunStatus{Percent: 1}), job.State_STATE_RUNNING},
		"adopted and listed by an earlier build":    {false, true, list(&wire.RunStatus{}), job.State_STATE_RUNNING},
		"lost, by an earlier build":                 {false, false, lost(wire.EndReason_END_LOST, false), job.State_STATE_QUEUED},
		"stopped":                                   {false, false, lost(wire.EndReason_END_STOPPED, false), job.State_STATE_RUNNING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			var j *job.Job
			if test.adopted {
				j = h.adoptRun(workerID)
				h.attach()
			} else {
				j = h.submit()
				h.attachAndStart()
			}
			h.receive(&wire.AgentMessage{TellsBegun: test.tellsBegun})
			h.receive(test.message)
			if got := j.State(); got != test.want {
				t.Errorf("the state of the job is %v, want %v", got, test.want)
			}
		})
	}
}

// TestStartResultMarksJobRunning: a listed run that has not begun does not keep the answer to its start from counting.
func TestStartResultMarksJobRunning(t *testing.T) {
	h := newHarness(t)
	j := h.submit()
	h.attachAndStart()
	h.receive(&wire.AgentMessage{TellsBegun: true, Complete: true, Runs: []*wire.RunStatus{{Task: firstTask, Attempt: 1}}})
	h.receive(&wire.AgentMessage{Results: []*wire.StartResult{{Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_STARTED}}})
	if j.State() != job.State_STATE_RUNNING {
		t.Errorf("the state of the job is %v, want STATE_RUNNING", j.State())
	}
}
