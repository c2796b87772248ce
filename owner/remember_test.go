package owner

import (
	"context"
	"testing"

	"ambertiller.example/ambertiller/job"
)

// sharedShard has the bench's owner own the shard whose owner puts together what has
// been learned.
func (made *harness) sharedShard(ctx context.Context, epoch int64) *shard {
	held := newShard(ctx, job.InterferenceShard, epoch, made.clock.Now())
	held.active = true
	made.owner.shards[job.InterferenceShard] = held
	return held
}

// weightOf returns the weight that an agent would be told of the pair "s" and "f", and on how
// many readings it rests.
func weightOf(told []*job.Interference) (weight float64, readings int32) {
	for _, known := range told {
		if known.GetServing() == "s" && known.GetFill() == "f" {
			return known.GetWeight(), known.GetReadings()
		}
	}
	return 0, 0
}

// TestLearnedIsKept: once all gateways and agents have lost power, the next owner of the
// shared shard tells at once what was learned before.
func TestLearnedIsKept(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	made := newHarness(t)
	held := made.sharedShard(ctx, 4)
	held.learned.update(made.agent, []*job.Interference{{Serving: "s", Fill: "f", Weight: 0.5, Readings: 55}})
	go made.owner.keepLearned(held)
	made.owner.decisions.RunOne(made.clock.Now()) // Nothing is remembered yet.
	for range 2 {
		// The second time it is the same, and is not written again.
		if err := made.clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		made.clock.Advance(rememberEvery)
		made.owner.decisions.RunOne(made.clock.Now())
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
	next := after.sharedShard(ctx, 5)
	after.agent.sharedAt = after.clock.Now()
	go after.owner.keepLearned(next)
	after.owner.decisions.RunOne(after.clock.Now())
	weight, readings := weightOf(next.learned.meansExcluding(after.agent))
	if weight != 0.5 || readings != rememberedReadings {
		t.Errorf("the next owner tells a weight of %v by %d readings", weight, readings)
	}
	if !after.agent.sharedAt.IsZero() {
		t.Error("the agent is not told at once")
	}
}
