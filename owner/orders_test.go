package owner

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

// submitLargeSpec submits a job whose tasks all fit on the harness's worker, and whose orders have 4,000 bytes and more.
func (h *harness) submitLargeSpec(tasks int) *job.Job {
	return h.submitWith(func(submission *job.Submission) {
		submission.Spec = strings.Repeat("s", 4000)
		submission.Steps[0] = &job.StepSpec{Count: int32(tasks), MilliCpu: 1, MemoryMb: 1, EstimateMs: 500}
	})
}

// exchange has the owner act until it sends nothing more, and the agent acknowledge each message that it has been sent.
func (h *harness) exchange(received func(message *wire.OwnerMessage)) {
	h.t.Helper()
	for range 10_000 {
		messages := h.actAndTakeSent()
		for _, message := range messages {
			received(message)
		}
		if len(messages) == 0 && h.owner.pass == nil && !h.agent.maySendOrders() {
			return
		}
		h.receive(&wire.AgentMessage{})
	}
	h.t.Fatal("the owner goes on sending")
}

// TestStartOrdersAreDivided: the start orders of a job for one agent are divided into messages that the agent accepts, and
// each is sent once. It guards against a job that never ends because its orders exceed a message and are sent again for
// ever.
func TestStartOrdersAreDivided(t *testing.T) {
	for _, tasks := range []int{1250, 2500} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			h := newHarness(t)
			h.attach()
			h.submitLargeSpec(tasks)
			ordered := map[string]int64{}
			h.exchange(func(message *wire.OwnerMessage) {
				if size := proto.Size(message); size > rpc.MaxMessageBytes || size > 2*maxOrderBytes {
					t.Errorf("message %d has %d bytes", message.GetSequence(), size)
				}
				for _, order := range message.GetStarts() {
					if ordered[order.GetTask()] != 0 {
						t.Errorf("%s is ordered twice", order.GetTask())
					}
					ordered[order.GetTask()] = message.GetSequence()
				}
			})
			if len(ordered) != tasks {
				t.Errorf("%d tasks are ordered, want %d", len(ordered), tasks)
			}
			for name, run := range h.agent.runs {
				if run.orderSequence != ordered[name] {
					t.Errorf("%s was ordered with message %d, the owner has it with %d", name, ordered[name], run.orderSequence)
				}
			}
		})
	}
}

// TestWaitingOrdersAreKept: orders that wait for the agent to acknowledge others are neither sent nor released, although
// the agent doesn't list their runs. It guards against taking a run that was not ordered yet for one that is over.
func TestWaitingOrdersAreKept(t *testing.T) {
	h := newHarness(t)
	h.attach()
	h.submitLargeSpec(1250)
	sent := 0
	for range 20 {
		sent += len(startOrders(sentTo(h.agent)))
		h.receive(&wire.AgentMessage{Complete: true}) // It acknowledges nothing.
		h.tick()
		h.awaitWrites()
	}
	sent += len(startOrders(sentTo(h.agent)))
	if sent == 0 || sent > (maxFullMessages+1)*maxOrderBytes/4000 {
		t.Errorf("%d orders were sent without an acknowledgment", sent)
	}
	if len(h.agent.runs) != 1250 {
		t.Errorf("%d runs are kept, want 1250", len(h.agent.runs))
	}
}

// TestUnorderedRunsAreReleased: when the connection of an agent ends, the runs that were not ordered yet are released at
// once, since they can't have started, and those that were ordered are kept.
func TestUnorderedRunsAreReleased(t *testing.T) {
	h := newHarness(t)
	h.attach()
	j := h.submitLargeSpec(1250)
	for h.tick(); h.owner.pass != nil || len(h.agent.startsDue) < 500; h.tick() {
		h.awaitWrites()
	}
	ordered := len(startOrders(sentTo(h.agent)))
	h.owner.handleDisconnected(h.agent, h.agent.conn, nil, h.clock.Now())
	h.awaitWrites()
	h.tick()
	if running := len(j.RunningTasks()); ordered == 0 || running != ordered {
		t.Errorf("%d tasks count as started, %d were ordered", running, ordered)
	}
}
