package owner

import (
	"math"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// learnedEstimate returns an estimate of one pair as an agent reports it.
func learnedEstimate(weight float64, readings int32) []*job.Interference {
	return []*job.Interference{{Serving: "s", Fill: "f", Weight: weight, Readings: readings}}
}

// TestLearnedTableMeans: the table has the mean over the last report of each agent, and what is stored.
func TestLearnedTableMeans(t *testing.T) {
	first, second := newAgentView("a"), newAgentView("b")
	tests := map[string]struct {
		update   func(table *learnedTable)
		weight   float64
		readings int32
	}{
		"one agent": {func(table *learnedTable) { table.update(first, learnedEstimate(0.5, 10)) }, 0.5, 10},
		"two agents": {func(table *learnedTable) {
			table.update(first, learnedEstimate(0.5, 10))
			table.update(second, learnedEstimate(0.2, 20))
		}, 0.3, 30},
		"one that reports again": {func(table *learnedTable) {
			table.update(first, learnedEstimate(0.5, 10))
			table.update(first, learnedEstimate(0.4, 20))
		}, 0.4, 20},
		"one that is removed": {func(table *learnedTable) {
			table.update(first, learnedEstimate(0.5, 10))
			table.update(second, learnedEstimate(0.2, 20))
			table.removeAgent(first)
		}, 0.2, 20},
		"one agent and a stored estimate": {func(table *learnedTable) {
			table.addStored(learnedEstimate(0.5, 10))
			table.update(first, learnedEstimate(0.2, 20))
		}, 0.3, 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newLearnedTable()
			test.update(table)
			weight, readings := learnedWeight(table.meansExcluding(nil))
			if math.Abs(weight-test.weight) > 1e-9 || readings != test.readings {
				t.Errorf("a weight of %v by %d readings", weight, readings)
			}
		})
	}
}

// TestAgentsReceiveChangedPairs: an agent that keeps estimates is sent a pair once, and again when its mean
// has changed. Any other agent is sent all pairs each time, without its own estimates.
func TestAgentsReceiveChangedPairs(t *testing.T) {
	h := newHarness(t)
	shard := h.addInterferenceShard(h.owner.ctx, 4)
	other := newAgentView("10.0.0.2:7001")
	h.attach()
	send := func() *wire.OwnerMessage {
		h.clock.Advance(learnedSendInterval)
		h.owner.lastJoinAt = h.clock.Now()
		h.owner.sendUpdate(h.agent, h.clock.Now())
		messages := h.takeSent()
		if len(messages) != 1 {
			t.Fatalf("%d messages, want 1", len(messages))
		}
		return messages[0]
	}
	shard.learned.update(other, learnedEstimate(0.5, 40))
	shard.learned.update(h.agent, learnedEstimate(0.2, 20))
	for range 2 {
		if weight, readings := learnedWeight(send().GetLearned()); weight != 0.5 || readings != 40 {
			t.Errorf("an agent that does not keep estimates is sent a weight of %v by %d readings", weight, readings)
		}
	}
	h.receive(&wire.AgentMessage{KeepsLearned: true})
	message := send()
	if weight, readings := learnedWeight(message.GetLearnedByAll()); math.Abs(weight-0.4) > 1e-9 || readings != 60 || len(message.GetLearned()) > 0 {
		t.Errorf("sent a weight of %v by %d readings, and %v", weight, readings, message.GetLearned())
	}
	shard.learned.update(other, learnedEstimate(0.51, 40))
	if message := send(); len(message.GetLearnedByAll()) > 0 {
		t.Errorf("sent again although the mean has hardly changed: %v", message.GetLearnedByAll())
	}
	shard.learned.update(other, learnedEstimate(0.8, 40))
	if weight, _ := learnedWeight(send().GetLearnedByAll()); math.Abs(weight-0.6) > 1e-9 {
		t.Errorf("the changed mean was not sent, but %v", weight)
	}
	h.attach()
	h.receive(&wire.AgentMessage{KeepsLearned: true})
	if message := send(); len(message.GetLearnedByAll()) != 1 {
		t.Error("not all pairs were sent on a new connection")
	}
}

// TestStoredPairsAreSentAtOnce: the estimates that an owner reads from the store are sent with its next
// message, even if the table has just been published while it was empty. Otherwise, after all agents have
// lost power, they work without estimates for up to 3 s longer than necessary.
func TestStoredPairsAreSentAtOnce(t *testing.T) {
	h := newHarness(t)
	shard := h.addInterferenceShard(h.owner.ctx, 4)
	h.attach()
	h.receive(&wire.AgentMessage{KeepsLearned: true})
	h.owner.sendUpdate(h.agent, h.clock.Now())
	h.takeSent()
	h.owner.applyStoredLearned(shard, learnedEstimate(0.5, 30))
	h.clock.Advance(grantInterval)
	h.owner.lastJoinAt = h.clock.Now()
	h.owner.sendUpdate(h.agent, h.clock.Now())
	messages := h.takeSent()
	if len(messages) != 1 || len(messages[0].GetLearnedByAll()) != 1 {
		t.Errorf("sent %v, want one message with one pair", messages)
	}
}
