package owner

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestGangStartsAllOrNone: members that started without the others would reserve resources without doing
// any work.
func TestGangStartsAllOrNone(t *testing.T) {
	tests := map[string]struct {
		free int64
		want int
	}{
		"resources for all":         {3000, 3},
		"resources for all but one": {2999, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.submitWith(func(submission *job.Submission) {
				submission.Steps = []*job.StepSpec{{Count: 3, MilliCpu: 1000, MemoryMb: 10, EstimateMs: 1000, Gang: true}}
			})
			h.attach()
			h.receive(&wire.AgentMessage{Status: &wire.WorkerStatus{
				Worker: workerID, Service: "verbale", Ready: true, FreeMilliCpu: test.free, FreeMemoryMb: 4000,
			}})
			h.tick()
			if got := len(h.agent.runs); got != test.want {
				t.Errorf("%d members started", got)
			}
		})
	}
}

// attachOther adds another agent whose worker has the given resources, and connects it.
func (h *harness) attachOther(number int, freeMilliCPU int64) *agentView {
	view := newAgentView(fmt.Sprintf("10.0.1.%d:7001", number))
	h.owner.agents[view.address] = view
	conn := &agentConn{outbox: make(chan *wire.OwnerMessage, 64), cancel: func() {}}
	h.owner.handleConnected(view, conn)
	h.owner.handleAgentMessage(view, conn, &wire.AgentMessage{Agent: view.address, Status: &wire.WorkerStatus{
		Worker: fmt.Sprintf("i-1%d", number), Service: "verbale", Ready: true, MilliCpu: freeMilliCPU, MemoryMb: 4000, FreeMilliCpu: freeMilliCPU, FreeMemoryMb: 4000,
	}}, h.clock.Now())
	return view
}

// TestSpreadGangNeverStartsBesideEmptierWorker: a worker that is emptier than the others must not get all members of a
// gang that is to be spread, since the gang is then never placed.
func TestSpreadGangNeverStartsBesideEmptierWorker(t *testing.T) {
	tests := map[string]struct {
		members, maxPerWorker int32
		want                  int
	}{
		"one member a worker":  {4, 1, 4},
		"two members a worker": {8, 2, 8},
		"too few workers":      {5, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			views := []*agentView{h.attachOther(1, 32000), h.attachOther(2, 16000), h.attachOther(3, 16000), h.attachOther(4, 16000)}
			h.submitWith(func(submission *job.Submission) {
				submission.Steps = []*job.StepSpec{{Count: test.members, MilliCpu: 1000, MemoryMb: 10, EstimateMs: 1000, Gang: true, MostPerWorker: test.maxPerWorker}}
			})
			h.tick()
			started := 0
			for _, view := range views {
				if len(view.runs) > int(test.maxPerWorker) {
					t.Errorf("%d members on %s", len(view.runs), view.address)
				}
				started += len(view.runs)
			}
			if started != test.want {
				t.Errorf("%d members started, want %d", started, test.want)
			}
		})
	}
}

// TestGangNeverStartsAgainAfterCrash: the members of a gang that were on a crashed worker are all suspects, often more
// than there are workers. They must start together all the same, one of them on each worker as a suspect.
func TestGangNeverStartsAgainAfterCrash(t *testing.T) {
	h := newHarness(t)
	views := []*agentView{h.attachOther(1, 3000), h.attachOther(2, 3000)}
	j := h.submitWith(func(submission *job.Submission) {
		submission.Attempts = 3
		submission.Steps = []*job.StepSpec{{Count: 6, MilliCpu: 1000, MemoryMb: 10, EstimateMs: 1000, Gang: true}}
	})
	for _, member := range j.Tasks() {
		j.StartRun(member, job.Place{Incarnation: views[0].incarnation(), AgentAddress: views[0].address}, h.clock.Now())
	}
	for _, member := range j.Tasks() {
		j.EndRun(member, 1, job.EndCrashed, "", h.clock.Now())
	}
	h.clock.Advance(time.Second)
	h.owner.lastJoinAt = h.clock.Now()
	for _, view := range views {
		h.owner.handleAgentMessage(view, view.conn, &wire.AgentMessage{Agent: view.address}, h.clock.Now())
	}
	h.owner.placementChanges.addAll()
	h.tick()
	h.awaitWrites()
	h.tick()
	started := 0
	for _, view := range views {
		suspects := 0
		for _, order := range startOrders(sentTo(view)) {
			started++
			if order.GetSuspect() {
				suspects++
			}
		}
		if suspects != 1 {
			t.Errorf("%d members were ordered as suspects on %s, want 1", suspects, view.address)
		}
	}
	if started != len(j.Tasks()) {
		t.Errorf("%d of %d members were started", started, len(j.Tasks()))
	}
}
