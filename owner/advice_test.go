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
	made.owner.advised.steps[jobID+".0.0"] = &stepAdvice{tickets: map[incarnation.ID]ticket{incarnation.New(workerID, 0): {token: "c81e", expiresAt: now.Add(3 * time.Second)}}, expiresAt: now.Add(3 * time.Second)}
	made.owner.lookout.addAll()
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
	made.owner.advised.steps["no worker"] = &stepAdvice{timing: adviceTiming(), service: "another", pending: true}
	made.owner.advised.steps["last"] = &stepAdvice{timing: adviceTiming(), service: "verbale", pending: true}
	made.owner.advised.queue = []string{"forgotten", "no worker", "last"}
	made.owner.requestNextAdvice(now)
	if !made.owner.advised.inFlight || made.owner.advised.steps["last"].queriedAt != now {
		t.Error("the last question was not asked")
	}
	if made.owner.advised.steps["no worker"].pending {
		t.Error("a step without workers to ask about goes on waiting")
	}
}

// TestOldAdviceExpires: steps are not kept for ever.
func TestOldAdviceExpires(t *testing.T) {
	made := newHarness(t)
	now := made.clock.Now()
	made.owner.advised.steps["old"] = &stepAdvice{queriedAt: now.Add(-2 * adviceRetention)}
	made.owner.advised.steps["asked for"] = &stepAdvice{queriedAt: now.Add(-2 * adviceRetention), pending: true}
	made.owner.advised.steps["new"] = &stepAdvice{queriedAt: now}
	made.owner.expireAdvice(now)
	if len(made.owner.advised.steps) != 2 || made.owner.advised.steps["old"] != nil {
		t.Errorf("kept %v", made.owner.advised.steps)
	}
}
