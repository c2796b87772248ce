package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/wire"
)

// evacuatedDomain is the failure domain that the tests evacuate.
const evacuatedDomain = "milano-a"

// evacuatedDomainStatus returns the status of an idle worker in evacuatedDomain.
func evacuatedDomainStatus() *wire.WorkerStatus {
	status := idleWorkerStatus()
	status.FailureDomain, status.ToleratedMilliCpu = evacuatedDomain, status.GetMilliCpu()
	return status
}

// evacuate has the owner read that domains are evacuated as of now.
func (h *harness) evacuate(version int64, domains ...string) {
	h.owner.applyEvacuations(operator.NewEvacuations(version, domains), h.clock.Now())
}

// collectStarts runs the owner for long enough to send start orders, and returns those it sent.
func (h *harness) collectStarts() []*wire.StartOrder {
	var orders []*wire.StartOrder
	for range 4 {
		h.tick()
		h.awaitWrites()
		orders = append(orders, startOrders(h.takeSent())...)
		h.clock.Advance(100 * time.Millisecond)
		h.receive(&wire.AgentMessage{Status: evacuatedDomainStatus()})
	}
	return orders
}

// TestNothingStartsInEvacuatedDomain: no kind of task is started in an evacuated failure domain, and all
// are started once the domain is given back.
func TestNothingStartsInEvacuatedDomain(t *testing.T) {
	tests := map[string]func(submission *job.Submission){
		"a task":               func(*job.Submission) {},
		"a gang":               func(submission *job.Submission) { submission.Steps[0].Gang, submission.Steps[0].Count = true, 2 },
		"a long-running task":  func(submission *job.Submission) { submission.Steps[0].Lasting = true },
		"a fill task":          func(submission *job.Submission) { submission.Steps[0].Fills = true },
		"a serving task":       func(submission *job.Submission) { submission.Steps[0].Lasting, submission.Steps[0].TargetMs = true, 20 },
		"a task near its data": func(submission *job.Submission) { submission.Steps[0].Affinity = "r-1" },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			j := h.submitWith(change)
			h.attach()
			h.receive(&wire.AgentMessage{Status: evacuatedDomainStatus()})
			h.evacuate(1, evacuatedDomain)
			if orders := h.collectStarts(); len(orders) != 0 {
				t.Errorf("start orders %v, want none", orders)
			}
			if unplacedFor, obstacle := j.Tasks()[0].UnplacedFor(h.clock.Now()); unplacedFor == 0 || obstacle != string(obstacleEvacuation) {
				t.Errorf("unplaced for %v, obstacle %q; want the evacuation as the obstacle", unplacedFor, obstacle)
			}
			h.evacuate(2)
			if orders := h.collectStarts(); len(orders) != len(j.Tasks()) {
				t.Errorf("started after the domain was given back: %v", orders)
			}
		})
	}
}

// TestPlacementBeforeEvacuationIsReleased: if the evacuation is read while a start is being stored, the
// start order is not sent and the task waits for another worker.
func TestPlacementBeforeEvacuationIsReleased(t *testing.T) {
	h := newHarness(t)
	j := h.submit()
	h.attach()
	h.receive(&wire.AgentMessage{Status: evacuatedDomainStatus()})
	h.tick()
	if j.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("the task was not placed")
	}
	h.evacuate(1, evacuatedDomain)
	if orders := h.collectStarts(); len(orders) != 0 {
		t.Errorf("start orders %v, want none", orders)
	}
	if got := j.Tasks()[0].State(); got != job.TaskState_TASK_WAITING {
		t.Errorf("the task is %v, want TASK_WAITING", got)
	}
}

// TestNoPreemptionInEvacuatedDomain: no run in an evacuated domain is stopped to free resources, because
// the task could not start there.
func TestNoPreemptionInEvacuatedDomain(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attach()
	occupied := evacuatedDomainStatus()
	occupied.FreeMilliCpu = 0
	occupied.Reclaimable = []*wire.Reclaimable{{Priority: 2, MilliCpu: 4000, MemoryMb: 4000}}
	h.evacuate(1, evacuatedDomain)
	h.receive(&wire.AgentMessage{Status: occupied})
	h.tick()
	for _, message := range h.takeSent() {
		if len(message.GetPreempts()) > 0 {
			t.Errorf("preemption ordered: %v", message.GetPreempts())
		}
	}
}

// TestEvacuationsAreSentToAgents: each message with a start order has the evacuations and the time as of
// which they are known. On the agent's clock that is not later than when they were read. A change is
// sent at once.
func TestEvacuationsAreSentToAgents(t *testing.T) {
	const uptime = 20 * time.Second
	h := newHarness(t)
	h.submit()
	h.attach()
	h.evacuate(1)
	h.clock.Advance(2 * time.Second)
	h.receive(&wire.AgentMessage{UptimeNanos: int64(uptime), Status: evacuatedDomainStatus()})
	sent := 0
	for _, message := range h.actAndTakeSent() {
		if len(message.GetStarts()) == 0 {
			continue
		}
		sent++
		asOf := time.Duration(message.GetEvacuations().GetAsOfNanos())
		if message.GetEvacuations().GetVersion() != 1 || asOf > uptime-2*time.Second || asOf < uptime-2200*time.Millisecond {
			t.Errorf("sent evacuations %v, want version 1 as of about 2 s ago", message.GetEvacuations())
		}
	}
	if sent != 1 {
		t.Fatalf("%d messages with start orders, want 1", sent)
	}
	h.evacuate(5, "bergamo")
	h.tick()
	messages := h.takeSent()
	if len(messages) != 1 || len(messages[0].GetEvacuations().GetFailureDomains()) != 1 {
		t.Errorf("messages after a change: %v, want one with one evacuated domain", messages)
	}
	h.tick()
	if again := h.takeSent(); len(again) != 0 {
		t.Errorf("sent again: %v", again)
	}
}
