package owner

import (
	"math"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// learnedEstimate is one pair as an agent tells it.
func learnedEstimate(weight float64, readings int32) []*job.Interference {
	return []*job.Interference{{Serving: "s", Fill: "f", Weight: weight, Readings: readings}}
}

func TestLearnedTableMeans(t *testing.T) {
	first, second := newAgentView("a"), newAgentView("b")
	tests := map[string]struct {
		tell     func(table *learnedTable)
		weight   float64
		readings int32
	}{
		"one agent": {func(table *learnedTable) { table.update(first, learnedEstimate(0.5, 10)) }, 0.5, 10},
		"two agents": {func(table *learnedTable) {
			table.update(first, learnedEstimate(0.5, 10))
			table.update(second, learnedEstimate(0.2, 20))
		}, 0.3, 30},
		"one that tells again": {func(table *learnedTable) {
			table.update(first, learnedEstimate(0.5, 10))
			table.update(first, learnedEstimate(0.4, 20))
		}, 0.4, 20},
		"one that is forgotten": {func(table *learnedTable) {
			table.update(first, learnedEstimate(0.5, 10))
			table.update(second, learnedEstimate(0.2, 20))
			table.removeAgent(first)
		}, 0.2, 20},
		"beside what is remembered": {func(table *learnedTable) {
			table.addStored(learnedEstimate(0.5, 10))
			table.update(first, learnedEstimate(0.2, 20))
		}, 0.3, 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newLearnedTable()
			test.tell(table)
			weight, readings := learnedWeight(table.meansExcluding(nil))
			if math.Abs(weight-test.weight) > 1e-9 || readings != test.readings {
				t.Errorf("a weight of %v by %d readings", weight, readings)
			}
		})
	}
}

// TestAgentsReceiveChangedPairs: an agent that keeps what it is told hears of a pair once,
// and again when its mean has moved; one that does not hears of all each time, without
// what it has taught itself.
func TestAgentsReceiveChangedPairs(t *testing.T) {
	made := newHarness(t)
	held := made.addSharedShard(made.owner.ctx, 4)
	other := newAgentView("10.0.0.2:7001")
	made.attach()
	told := func() *wire.OwnerMessage {
		made.clock.Advance(learnedSendInterval)
		made.owner.lastJoinAt = made.clock.Now()
		made.owner.sendUpdate(made.agent, made.clock.Now())
		messages := made.takeSent()
		if len(messages) != 1 {
			t.Fatalf("%d messages", len(messages))
		}
		return messages[0]
	}
	held.learned.update(other, learnedEstimate(0.5, 40))
	held.learned.update(made.agent, learnedEstimate(0.2, 20))
	for range 2 {
		if weight, readings := learnedWeight(told().GetLearned()); weight != 0.5 || readings != 40 {
			t.Errorf("an agent of an earlier build is told a weight of %v by %d readings", weight, readings)
		}
	}
	made.receive(&wire.AgentMessage{KeepsLearned: true})
	message := told()
	if weight, readings := learnedWeight(message.GetLearnedByAll()); math.Abs(weight-0.4) > 1e-9 || readings != 60 || len(message.GetLearned()) > 0 {
		t.Errorf("told a weight of %v by %d readings, and %v", weight, readings, message.GetLearned())
	}
	held.learned.update(other, learnedEstimate(0.51, 40))
	if message := told(); len(message.GetLearnedByAll()) > 0 {
		t.Errorf("told again although it hardly moved: %v", message.GetLearnedByAll())
	}
	held.learned.update(other, learnedEstimate(0.8, 40))
	if weight, _ := learnedWeight(told().GetLearnedByAll()); math.Abs(weight-0.6) > 1e-9 {
		t.Errorf("not told that it moved: %v", weight)
	}
	made.attach()
	made.receive(&wire.AgentMessage{KeepsLearned: true})
	if message := told(); len(message.GetLearnedByAll()) != 1 {
		t.Error("not told everything on a new connection")
	}
}

// TestStoredPairsAreSentAtOnce: what an owner finds in the store goes out with its next message.
// The case that forced it: the table had just been looked through, still empty, and agents
// that had all lost power worked without it for up to 3 s more.
func TestStoredPairsAreSentAtOnce(t *testing.T) {
	made := newHarness(t)
	held := made.addSharedShard(made.owner.ctx, 4)
	made.attach()
	made.receive(&wire.AgentMessage{KeepsLearned: true})
	made.owner.sendUpdate(made.agent, made.clock.Now())
	made.takeSent()
	made.owner.applyStoredLearned(held, learnedEstimate(0.5, 30))
	made.clock.Advance(grantInterval)
	made.owner.lastJoinAt = made.clock.Now()
	made.owner.sendUpdate(made.agent, made.clock.Now())
	messages := made.takeSent()
	if len(messages) != 1 || len(messages[0].GetLearnedByAll()) != 1 {
		t.Errorf("told %v", messages)
	}
}
