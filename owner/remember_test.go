package owner

import (
	"context"
	"testing"

	"ambertiller.example/ambertiller/job"
)

// addInterferenceShard has the bench's owner own the shard whose owner puts together what has
// been learned.
func (made *harness) addInterferenceShard(ctx context.Context, epoch int64) *shard {
	held := newShard(ctx, job.InterferenceShard, epoch, made.clock.Now())
	held.loaded = true
	made.owner.shards[job.InterferenceShard] = held
	return held
}

// learnedWeight returns the weight that an agent would be told of the pair "s" and "f", and on how
// many readings it rests.
func learnedWeight(told []*job.Interference) (weight float64, readings int32) {
	for _, known := range told {
		if known.GetServing() == "s" && known.GetFill() == "f" {
			return known.GetWeight(), known.GetReadings()
		}
	}
	return 0, 0
}

// TestLearnedIsPersisted: once all gateways and agents have lost power, the next owner of the
// shared shard tells at once what was learned before.
func TestLearnedIsPersisted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	made := newHarness(t)
	held := made.addInterferenceShard(ctx, 4)
	held.learned.update(made.agent, []*job.Interference{{Serving: "s", Fill: "f", Weight: 0.5, Readings: 55}})
	go made.owner.persistLearned(held)
	made.owner.eventLoop.RunNext(made.clock.Now()) // Nothing is remembered yet.
	for range 2 {
		// The second time it is the same, and is not written again.
		if err := made.clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		made.clock.Advance(learnedWriteInterval)
		made.owner.eventLoop.RunNext(made.clock.Now())
	}
	if err := made.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if appends := made.store.Calls("/v1/log-append"); appends != 1 {
		t.Errorf("%d appends", appends)
	}

	after := newHarness(t)
	after.store = made.store
	after.owner = newOwner(t, after.clock, made.store)
	after.owner.ctx = ctx
	after.owner.agents[agentAddress] = after.agent
	next := after.addInterferenceShard(ctx, 5)
	after.agent.learnedSentAt = after.clock.Now()
	go after.owner.persistLearned(next)
	after.owner.eventLoop.RunNext(after.clock.Now())
	weight, readings := learnedWeight(next.learned.meansExcluding(after.agent))
	if weight != 0.5 || readings != maxStoredReadings {
		t.Errorf("the next owner tells a weight of %v by %d readings", weight, readings)
	}
	if !after.agent.learnedSentAt.IsZero() {
		t.Error("the agent is not told at once")
	}
}
