package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestGangStartsWholeOrNotAtAll: members that wait for others hold room for
// nothing.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	tests := map[string]struct {
		free int64
		want int
	}{
		"room for all":         {3000, 3},
		"room for all but one": {2999, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			gang := submission()
			gang.Steps = []*job.StepSpec{{Count: 3, MilliCpu: 1000, MemoryMb: 10, EstimateMs: 1000, Gang: true}}
			made.read(record(t, job.SubmissionKey(jobID), gang))
			made.attach()
			made.hear(&wire.AgentMessage{Status: &wire.WorkerStatus{
				Worker: life, Service: "verbale", Ready: true, FreeMilliCpu: test.free, FreeMemoryMb: 4000,
			}})
			made.step()
			if got := len(made.view.runs); got != test.want {
				t.Errorf("%d members started", got)
			}
		})
	}
}

// TestStandingStillMovesOn: a run without progress is stopped, one with progress
// or at full work is not.
func TestStandingStillMovesOn(t *testing.T) {
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
			made := newBench(t)
			handed := submission()
			handed.Steps[0].Lasting = test.lasting
			made.read(record(t, job.SubmissionKey(jobID), handed))
			made.attach()
			made.step()
			made.settle()
			made.step()
			made.sent()
			stops := 0
			for _, percent := range test.percents {
				made.clock.Advance(time.Second)
				made.owner.joinedAt = made.clock.Now()
				made.hear(&wire.AgentMessage{Complete: true, Runs: []*wire.RunStatus{{Task: taskOne, Attempt: 1, Percent: percent}}})
				made.step()
				for _, message := range made.sent() {
					stops = max(stops, len(message.GetStops()))
				}
			}
			if stops != test.stops {
				t.Errorf("%d stops", stops)
			}
		})
	}
}

// TestAdvisedQueueStartsOnlyWithATicket: without the service's word no worker may
// run the step.
func TestAdvisedQueueStartsOnlyWithATicket(t *testing.T) {
	made := newBench(t)
	handed := submission()
	handed.Advice = &job.Advice{DecideMs: 100, EachMs: 10, ValidMs: 3000}
	made.read(record(t, job.SubmissionKey(jobID), handed))
	made.attach()
	made.step()
	if len(made.view.runs) != 0 {
		t.Fatal("placed without a ticket")
	}
	now := made.clock.Now()
	made.owner.advised.steps[jobID+".0.0"] = &stepAdvice{tickets: map[string]string{life: "c81e"}, until: now.Add(3 * time.Second)}
	made.owner.placeDue = true
	made.step()
	made.settle()
	made.step()
	orders := starts(made.sent())
	if len(orders) != 1 || orders[0].GetTicket() != "c81e" {
		t.Errorf("ordered %v", orders)
	}
}
