package owner

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/wire"
)

const evacuatedDomain = "milano-a"

// evacuatedDomainStatus is the status of an empty worker in the failure domain that the tests evacuate.
func evacuatedDomainStatus() *wire.WorkerStatus {
	status := idleWorkerStatus()
	status.FailureDomain, status.ToleratedMilliCpu = evacuatedDomain, status.GetMilliCpu()
	return status
}

// evacuate has the owner read now that domains are evacuated.
func (made *harness) evacuate(version int64, domains ...string) {
	made.owner.applyEvacuations(operator.NewEvacuations(version, domains), made.clock.Now())
}

// collectStarts lets time pass as long as starts could go out, and returns them.
func (made *harness) collectStarts() []*wire.StartOrder {
	var found []*wire.StartOrder
	for range 4 {
		made.step()
		made.awaitWrites()
		found = append(found, startOrders(made.takeSent())...)
		made.clock.Advance(100 * time.Millisecond)
		made.receive(&wire.AgentMessage{Status: evacuatedDomainStatus()})
	}
	return found
}

// TestNothingStartsInEvacuatedDomain: whatever kind of task waits, none is ordered to an
// evacuated failure domain, nothing is stopped to make room there, and all are ordered
// once it is given back.
func TestNothingStartsInEvacuatedDomain(t *testing.T) {
	tests := map[string]func(handed *job.Submission){
		"a task":               func(*job.Submission) {},
		"a gang":               func(handed *job.Submission) { handed.Steps[0].Gang, handed.Steps[0].Count = true, 2 },
		"a task that lasts":    func(handed *job.Submission) { handed.Steps[0].Lasting = true },
		"a task that fills":    func(handed *job.Submission) { handed.Steps[0].Fills = true },
		"a task that serves":   func(handed *job.Submission) { handed.Steps[0].Lasting, handed.Steps[0].TargetMs = true, 20 },
		"a task near its data": func(handed *job.Submission) { handed.Steps[0].Affinity = "r-1" },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			of := made.submitWith(change)
			made.attach()
			made.receive(&wire.AgentMessage{Status: evacuatedDomainStatus()})
			made.evacuate(1, evacuatedDomain)
			if orders := made.collectStarts(); len(orders) != 0 {
				t.Errorf("ordered %v", orders)
			}
			if waited, obstacle := of.Tasks()[0].UnplacedFor(made.clock.Now()); waited == 0 || obstacle != string(obstacleEvacuation) {
				t.Errorf("waits %v for %q", waited, obstacle)
			}
			made.evacuate(2)
			if orders := made.collectStarts(); len(orders) != len(of.Tasks()) {
				t.Errorf("given back: ordered %v", orders)
			}
		})
	}
}

// TestPlacementBeforeEvacuationIsReleased: a start that is on its way to the store when the evacuation
// is read does not go out, and its task waits for another place.
func TestPlacementBeforeEvacuationIsReleased(t *testing.T) {
	made := newHarness(t)
	of := made.submit()
	made.attach()
	made.receive(&wire.AgentMessage{Status: evacuatedDomainStatus()})
	made.step()
	if of.Tasks()[0].State() != job.TaskState_TASK_STARTED {
		t.Fatal("not placed")
	}
	made.evacuate(1, evacuatedDomain)
	if orders := made.collectStarts(); len(orders) != 0 {
		t.Errorf("ordered %v", orders)
	}
	if got := of.Tasks()[0].State(); got != job.TaskState_TASK_WAITING {
		t.Errorf("the task is %v", got)
	}
}

// TestNoPreemptionInEvacuatedDomain: no run is stopped for a task that could not take its
// place.
func TestNoPreemptionInEvacuatedDomain(t *testing.T) {
	made := newHarness(t)
	made.submit()
	made.attach()
	full := evacuatedDomainStatus()
	full.FreeMilliCpu = 0
	full.Reclaimable = []*wire.Reclaimable{{Priority: 2, MilliCpu: 4000, MemoryMb: 4000}}
	made.evacuate(1, evacuatedDomain)
	made.receive(&wire.AgentMessage{Status: full})
	made.step()
	for _, message := range made.takeSent() {
		if len(message.GetPreempts()) > 0 {
			t.Errorf("asked to make room: %v", message.GetPreempts())
		}
	}
}

// TestEvacuationsAreSentToAgents: each message with a start says as of when evacuations are known,
// no later on the agent's clock than they were read; a change is told at once.
func TestEvacuationsAreSentToAgents(t *testing.T) {
	const uptime = 20 * time.Second
	made := newHarness(t)
	made.submit()
	made.attach()
	made.evacuate(1)
	made.clock.Advance(2 * time.Second)
	made.receive(&wire.AgentMessage{UptimeNanos: int64(uptime), Status: evacuatedDomainStatus()})
	made.step()
	made.awaitWrites()
	made.step()
	told := 0
	for _, message := range made.takeSent() {
		if len(message.GetStarts()) == 0 {
			continue
		}
		told++
		asOf := time.Duration(message.GetEvacuations().GetAsOfNanos())
		if message.GetEvacuations().GetVersion() != 1 || asOf > uptime-2*time.Second || asOf < uptime-2200*time.Millisecond {
			t.Errorf("told %v", message.GetEvacuations())
		}
	}
	if told != 1 {
		t.Fatalf("%d messages with starts", told)
	}
	made.evacuate(5, "bergamo")
	made.step()
	messages := made.takeSent()
	if len(messages) != 1 || len(messages[0].GetEvacuations().GetFailureDomains()) != 1 {
		t.Errorf("after a change: %v", messages)
	}
	made.step()
	if again := made.takeSent(); len(again) != 0 {
		t.Errorf("told again: %v", again)
	}
}
