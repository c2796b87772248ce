package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

// adviceTiming are those of the service that is asked for advice.
func adviceTiming() *job.Advice { return &job.Advice{DecideMs: 100, EachMs: 10, ValidMs: 3000} }

// TestStartsWithAdviceNeedTicket: without the service's word no worker may
// run the step.
func TestStartsWithAdviceNeedTicket(t *testing.T) {
	made := newHarness(t)
	made.submitWith(func(handed *job.Submission) { handed.Advice = adviceTiming() })
	made.attach()
	made.step()
	if len(made.agent.runs) != 0 {
		t.Fatal("placed without a ticket")
	}
	now := made.clock.Now()
	made.owner.advice.steps[jobID+".0.0"] = &stepAdvice{tickets: map[incarnation.ID]ticket{incarnation.New(workerID, 0): {token: "c81e", expiresAt: now.Add(3 * time.Second)}}, expiresAt: now.Add(3 * time.Second)}
	made.owner.placementChanges.addAll()
	made.step()
	made.awaitWrites()
	made.step()
	orders := startOrders(made.takeSent())
	if len(orders) != 1 || orders[0].GetTicket() != "c81e" {
		t.Errorf("ordered %v", orders)
	}
}

// TestUnansweredAdviceRequestsDoNotBlockQueue: a step that was forgotten while its question waited,
// or that has no worker to ask about, does not hold up the questions behind it.
func TestUnansweredAdviceRequestsDoNotBlockQueue(t *testing.T) {
	made := newHarness(t)
	made.attach()
	now := made.clock.Now()
	made.owner.options.Advisor = platform.NewAdvisor("127.0.0.1:1", platform.Transport())
	made.owner.advice.steps["no worker"] = &stepAdvice{timing: adviceTiming(), service: "another", pending: true}
	made.owner.advice.steps["last"] = &stepAdvice{timing: adviceTiming(), service: "verbale", pending: true}
	made.owner.advice.queue = []string{"forgotten", "no worker", "last"}
	made.owner.requestNextAdvice(now)
	if !made.owner.advice.inFlight || made.owner.advice.steps["last"].queriedAt != now {
		t.Error("the last question was not asked")
	}
	if made.owner.advice.steps["no worker"].pending {
		t.Error("a step without workers to ask about goes on waiting")
	}
}

// TestOldAdviceExpires: steps are not kept for ever.
func TestOldAdviceExpires(t *testing.T) {
	made := newHarness(t)
	now := made.clock.Now()
	made.owner.advice.steps["old"] = &stepAdvice{queriedAt: now.Add(-2 * adviceRetention)}
	made.owner.advice.steps["asked for"] = &stepAdvice{queriedAt: now.Add(-2 * adviceRetention), pending: true}
	made.owner.advice.steps["new"] = &stepAdvice{queriedAt: now}
	made.owner.expireAdvice(now)
	if len(made.owner.advice.steps) != 2 || made.owner.advice.steps["old"] != nil {
		t.Errorf("kept %v", made.owner.advice.steps)
	}
}
