package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

// terms are those of the service that is asked for advice.
func terms() *job.Advice { return &job.Advice{DecideMs: 100, EachMs: 10, ValidMs: 3000} }

// TestAdvisedQueueStartsOnlyWithATicket: without the service's word no worker may
// run the step.
func TestAdvisedQueueStartsOnlyWithATicket(t *testing.T) {
	made := newBench(t)
	made.submitChanged(func(handed *job.Submission) { handed.Advice = terms() })
	made.attach()
	made.step()
	if len(made.view.runs) != 0 {
		t.Fatal("placed without a ticket")
	}
	now := made.clock.Now()
	made.owner.advised.steps[jobID+".0.0"] = &stepAdvice{tickets: map[incarnation.ID]ticket{incarnation.New(life, 0): {text: "c81e", until: now.Add(3 * time.Second)}}, until: now.Add(3 * time.Second)}
	made.owner.lookout.noteAll()
	made.step()
	made.settle()
	made.step()
	orders := starts(made.sent())
	if len(orders) != 1 || orders[0].GetTicket() != "c81e" {
		t.Errorf("ordered %v", orders)
	}
}

// TestQuestionsThatCannotBeAsked: a step that was forgotten while its question waited,
// or that has no worker to ask about, does not hold up the questions behind it.
func TestQuestionsThatCannotBeAsked(t *testing.T) {
	made := newBench(t)
	made.attach()
	now := made.clock.Now()
	made.owner.options.Advisor = platform.NewAdvisor("127.0.0.1:1", platform.Transport())
	made.owner.advised.steps["no worker"] = &stepAdvice{terms: terms(), service: "another", waiting: true}
	made.owner.advised.steps["last"] = &stepAdvice{terms: terms(), service: "verbale", waiting: true}
	made.owner.advised.queue = []string{"forgotten", "no worker", "last"}
	made.owner.askNext(now)
	if !made.owner.advised.asking || made.owner.advised.steps["last"].askedAt != now {
		t.Error("the last question was not asked")
	}
	if made.owner.advised.steps["no worker"].waiting {
		t.Error("a step without workers to ask about goes on waiting")
	}
}

// TestOldAdviceIsForgotten: steps are not kept for ever.
func TestOldAdviceIsForgotten(t *testing.T) {
	made := newBench(t)
	now := made.clock.Now()
	made.owner.advised.steps["old"] = &stepAdvice{askedAt: now.Add(-2 * adviceKept)}
	made.owner.advised.steps["asked for"] = &stepAdvice{askedAt: now.Add(-2 * adviceKept), waiting: true}
	made.owner.advised.steps["new"] = &stepAdvice{askedAt: now}
	made.owner.forgetAdvice(now)
	if len(made.owner.advised.steps) != 2 || made.owner.advised.steps["old"] != nil {
		t.Errorf("kept %v", made.owner.advised.steps)
	}
}
