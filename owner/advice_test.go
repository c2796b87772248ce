package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
)

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
