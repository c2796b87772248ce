package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

// adviceTiming returns the response times of the service that gives advice.
func adviceTiming() *job.Advice { return &job.Advice{DecideMs: 100, EachMs: 10, ValidMs: 3000} }

// TestStartsWithAdviceNeedTicket: a task of a job with advice starts only on a worker for which the
// service has given a ticket.
func TestStartsWithAdviceNeedTicket(t *testing.T) {
	h := newHarness(t)
	h.submitWith(func(submission *job.Submission) { submission.Advice = adviceTiming() })
	h.attach()
	h.tick()
	if len(h.agent.runs) != 0 {
		t.Fatal("the task was placed without a ticket")
	}
	now := h.clock.Now()
	h.owner.advice.steps[jobID+".0.0"] = &stepAdvice{tickets: map[incarnation.ID]ticket{incarnation.New(workerID, 0): {token: "c81e", expiresAt: now.Add(3 * time.Second)}}, expiresAt: now.Add(3 * time.Second)}
	h.owner.placementChanges.addAll()
	orders := startOrders(h.actAndTakeSent())
	if len(orders) != 1 || orders[0].GetTicket() != "c81e" {
		t.Errorf("start orders %v, want one with the ticket", orders)
	}
}

// TestUnsendableAdviceRequestsDoNotBlockQueue: a step that was removed while its request was queued, or
// that has no worker to ask about, does not block the requests behind it in the queue.
func TestUnsendableAdviceRequestsDoNotBlockQueue(t *testing.T) {
	h := newHarness(t)
	h.attach()
	now := h.clock.Now()
	h.owner.options.Advisor = platform.NewAdvisor("127.0.0.1:1", platform.NewTransport())
	h.owner.advice.steps["no worker"] = &stepAdvice{timing: adviceTiming(), service: "another", pending: true}
	h.owner.advice.steps["last"] = &stepAdvice{timing: adviceTiming(), service: "verbale", pending: true}
	h.owner.advice.queue = []string{"forgotten", "no worker", "last"}
	h.owner.requestNextAdvice(now)
	if !h.owner.advice.inFlight || h.owner.advice.steps["last"].queriedAt != now {
		t.Error("the last request was not sent")
	}
	if h.owner.advice.steps["no worker"].pending {
		t.Error("a step without workers to ask about is still pending")
	}
}

// TestOldAdviceExpires: steps are removed some time after their last request, unless one is pending.
func TestOldAdviceExpires(t *testing.T) {
	h := newHarness(t)
	now := h.clock.Now()
	h.owner.advice.steps["old"] = &stepAdvice{queriedAt: now.Add(-2 * adviceRetention)}
	h.owner.advice.steps["asked for"] = &stepAdvice{queriedAt: now.Add(-2 * adviceRetention), pending: true}
	h.owner.advice.steps["new"] = &stepAdvice{queriedAt: now}
	h.owner.expireAdvice(now)
	if len(h.owner.advice.steps) != 2 || h.owner.advice.steps["old"] != nil {
		t.Errorf("kept the steps %v, want all but the old one", h.owner.advice.steps)
	}
}
