package owner

import (
	"context"
	"testing"

	"ambertiller.example/ambertiller/job"
)

// addInterferenceShard has the owner own job.InterferenceShard, whose owner combines the interference
// estimates of all agents.
func (h *harness) addInterferenceShard(ctx context.Context, epoch int64) *shard {
	s := newShard(ctx, job.InterferenceShard, epoch, h.clock.Now())
	s.loaded = true
	h.owner.shards[job.InterferenceShard] = s
	return s
}

// learnedWeight returns the estimated weight of the pair "s" and "f", and the number of its readings.
func learnedWeight(estimates []*job.Interference) (weight float64, readings int32) {
	for _, estimate := range estimates {
		if estimate.GetServing() == "s" && estimate.GetFill() == "f" {
			return estimate.GetWeight(), estimate.GetReadings()
		}
	}
	return 0, 0
}

// TestLearnedIsPersisted: after a power loss of all entries and agents, the next owner of
// job.InterferenceShard sends the previously stored estimates to agents at once.
func TestLearnedIsPersisted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := newHarness(t)
	s := h.addInterferenceShard(ctx, 4)
	s.learned.update(h.agent, []*job.Interference{{Serving: "s", Fill: "f", Weight: 0.5, Readings: 55}})
	go h.owner.persistLearned(s)
	h.owner.eventLoop.RunNext(h.clock.Now()) // The store has no estimates yet.
	for range 2 {
		// The estimates are unchanged the second time, so they are not written again.
		if err := h.clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		h.clock.Advance(learnedWriteInterval)
		h.owner.eventLoop.RunNext(h.clock.Now())
	}
	if err := h.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if appends := h.store.Calls("/v1/log-append"); appends != 1 {
		t.Errorf("%d appends, want 1", appends)
	}

	next := newHarness(t)
	next.store = h.store
	next.owner = newOwner(t, next.clock, h.store)
	next.owner.ctx = ctx
	next.owner.agents[agentAddress] = next.agent
	nextShard := next.addInterferenceShard(ctx, 5)
	next.agent.learnedSentAt = next.clock.Now()
	go next.owner.persistLearned(nextShard)
	next.owner.eventLoop.RunNext(next.clock.Now())
	weight, readings := learnedWeight(nextShard.learned.meansExcluding(next.agent))
	if weight != 0.5 || readings != maxStoredReadings {
		t.Errorf("the next owner has a weight of %v with %d readings", weight, readings)
	}
	if !next.agent.learnedSentAt.IsZero() {
		t.Error("the estimates are not due to be sent to the agent at once")
	}
}
