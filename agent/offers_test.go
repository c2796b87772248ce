package agent

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/relocation"
	"ambertiller.example/ambertiller/wire"
)

const (
	offeredTask  = "0123456789abcdef.0.0.0"
	offeredShard = int32(3)
)

// offerHarness is an agent whose event loop does not run, with a fill run that has been slowed for long beside a
// serving run that misses its target.
type offerHarness struct {
	agent *Agent
	owner *session
	state *workerState
	run   *runState
	now   time.Time
}

func newOfferHarness(t *testing.T, features ...string) *offerHarness {
	enabled, err := feature.Parse(features)
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClock()
	h := &offerHarness{now: clock.Now(), owner: &session{ownerName: "edge-1", takesOffers: true}}
	h.agent = New(Options{Name: "side-1", Shards: 8, Clock: clock, Events: event.Discard(), Features: enabled, MaxTargetMiss: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.agent.ctx = ctx
	id := incarnation.New("i-1", 1)
	client := platform.NewWorker("127.0.0.1:1", id, platform.NewTransport()) // Nothing answers there.
	h.state = newWorkerState(platform.Heartbeat{Incarnation: id, MilliCPU: 16000}, client, predecessor{}, h.now)
	h.state.runsKnown = true
	h.agent.worker = h.state
	h.agent.sessions[h.owner] = true
	h.agent.claims[offeredShard] = &claim{epoch: 5, session: h.owner}
	h.run = h.addFill(offeredTask)
	h.state.runs["s"] = &runState{task: "s", phase: phaseRunning, reading: 60, demand: &wire.Demand{TargetMs: 20, Image: "s", MilliCpu: 4000}}
	h.observe()
	return h
}

// addFill adds a fill run that has been slowed for 2 s.
func (h *offerHarness) addFill(task string) *runState {
	run := &runState{
		task: task, attempt: 2, shard: offeredShard, phase: phaseRunning, reading: 4000, confirmedAt: h.now.Add(-5 * time.Second), slowedSince: h.now.Add(-2 * time.Second),
		demand: &wire.Demand{Fills: true, Movable: true, Saves: true, Image: "f", MilliCpu: 4000, EstimateMs: 20000},
	}
	h.state.runs[task] = run
	return run
}

// observe has the model read the runs several times.
func (h *offerHarness) observe() {
	for range 5 {
		h.now = h.now.Add(400 * time.Millisecond)
		servings, fills := h.state.interferenceTasks(h.now)
		h.agent.pacer.model.Observe(servings, fills, h.now)
	}
}

// decide has the agent decide about evictions and offers.
func (h *offerHarness) decide() {
	h.agent.expireOffer(h.now)
	servings, fills := h.state.interferenceTasks(h.now)
	h.agent.evictOne(h.state, servings, fills, h.agent.pacer.model.Paces(servings, fills), h.now)
}

func (h *offerHarness) isStopped() bool { return h.run.phase == phaseStopping }

// accept returns an answer that accepts the first offer.
func (h *offerHarness) accept() *wire.MoveAnswer {
	return &wire.MoveAnswer{Number: 1, Shard: offeredShard, Epoch: 5, Task: offeredTask, Attempt: 2, Worker: "i-1", Born: 1, Accepted: true}
}

// TestRunIsStoppedForAcceptedOffer checks that a slowed run goes on until its owner has accepted an offer for
// it, and that no answer stops it that is late, for another run, or not from its present owner.
func TestRunIsStoppedForAcceptedOffer(t *testing.T) {
	tests := map[string]struct {
		change  func(h *offerHarness, answer *wire.MoveAnswer)
		stopped bool
	}{
		"accepted":                 {func(*offerHarness, *wire.MoveAnswer) {}, true},
		"declined":                 {func(_ *offerHarness, answer *wire.MoveAnswer) { answer.Accepted = false }, false},
		"just in time":             {func(h *offerHarness, _ *wire.MoveAnswer) { h.now = h.now.Add(599 * time.Millisecond) }, true},
		"after the lapse":          {func(h *offerHarness, _ *wire.MoveAnswer) { h.now = h.now.Add(600 * time.Millisecond) }, false},
		"for an earlier run":       {func(_ *offerHarness, answer *wire.MoveAnswer) { answer.Attempt = 1 }, false},
		"for another offer":        {func(_ *offerHarness, answer *wire.MoveAnswer) { answer.Number = 7 }, false},
		"for another incarnation":  {func(_ *offerHarness, answer *wire.MoveAnswer) { answer.Born = 2 }, false},
		"the worker has restarted": {func(h *offerHarness, _ *wire.MoveAnswer) { h.state.isSuperseded = true }, false},
		"of an earlier epoch":      {func(_ *offerHarness, answer *wire.MoveAnswer) { answer.Epoch = 4 }, false},
		"the run ends by itself":   {func(h *offerHarness, _ *wire.MoveAnswer) { delete(h.state.runs, offeredTask) }, false},
		"the run is not slowed": {func(h *offerHarness, _ *wire.MoveAnswer) {
			h.state.runs["s"].reading = 2
			h.observe()
			h.now = h.now.Add(-2 * time.Second)
		}, false},
		"the run is nearly done": {func(h *offerHarness, _ *wire.MoveAnswer) { h.run.progressPercent = 100 }, false},
		"on a newer connection of the owner": {func(h *offerHarness, _ *wire.MoveAnswer) {
			h.owner = &session{ownerName: "edge-1", takesOffers: true}
			h.agent.sessions[h.owner] = true
			h.agent.claims[offeredShard].session = h.owner
		}, false},
		"the owner has been replaced": {func(h *offerHarness, _ *wire.MoveAnswer) {
			h.agent.claims[offeredShard] = &claim{epoch: 5, session: &session{}}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newOfferHarness(t, "offers")
			h.decide()
			message := h.agent.nextMessage(h.owner, h.agent.workerStatus(h.now), h.now)
			if len(message.GetOffers()) != 1 || h.isStopped() {
				t.Fatalf("offers %v, stopped %v; want one offer and the run to go on", message.GetOffers(), h.isStopped())
			}
			answer := h.accept()
			test.change(h, answer)
			h.agent.handleMoveAnswer(h.owner, answer, h.now)
			h.agent.handleMoveAnswer(h.owner, answer, h.now) // Told twice.
			if h.isStopped() != test.stopped {
				t.Errorf("stopped %v, want %v", h.isStopped(), test.stopped)
			}
		})
	}
}

// TestEvictionWithoutOffer checks when a slowed run is evicted without an offer.
func TestEvictionWithoutOffer(t *testing.T) {
	tests := map[string]struct {
		features []string
		change   func(h *offerHarness)
		stopped  bool
	}{
		"the feature is off":            {nil, func(*offerHarness) {}, true},
		"stops are short":               {[]string{"offers"}, func(h *offerHarness) { h.agent.options.StopTime = 400 * time.Millisecond }, true},
		"an owner of an earlier build":  {[]string{"offers"}, func(h *offerHarness) { h.owner.takesOffers = false }, true},
		"no owner is attached":          {[]string{"offers"}, func(h *offerHarness) { delete(h.agent.sessions, h.owner) }, false},
		"the target is missed for long": {[]string{"offers"}, func(h *offerHarness) { h.now = h.now.Add(time.Minute); h.observe() }, true},
		"the owner is asked first":      {[]string{"offers"}, func(*offerHarness) {}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newOfferHarness(t, test.features...)
			test.change(h)
			h.decide()
			if h.isStopped() != test.stopped || test.stopped && len(h.owner.offers) > 0 {
				t.Errorf("stopped %v, offers %v; want stopped %v", h.isStopped(), h.owner.offers, test.stopped)
			}
		})
	}
}

// TestOffersTakeTurns checks that a run whose offer was not answered is passed over for another one.
func TestOffersTakeTurns(t *testing.T) {
	h := newOfferHarness(t, "offers")
	other := h.addFill("0123456789abcdef.0.0.1")
	var offered []string
	for begin := h.now; h.now.Sub(begin) < 1900*time.Millisecond; h.now = h.now.Add(50 * time.Millisecond) {
		h.decide()
		for _, offer := range h.owner.offers {
			offered = append(offered, offer.GetTask())
		}
		h.owner.offers = nil
	}
	if len(offered) < 3 || offered[0] == offered[1] || offered[2] != offered[0] {
		t.Fatalf("offered %v, want the runs in turn", offered)
	}
	h.run.slowedSince = h.now.Add(-time.Minute)
	h.run.offerBackoff.Extend(h.now)
	other.offerBackoff = relocation.Backoff{}
	if got := h.state.longestSlowed(h.now, func(run *runState) bool { return run.offerBackoff.IsOver(h.now) }); got == nil || got == h.run {
		t.Errorf("the longest slowed run is %v, want the other one while the first is passed over", got)
	}
}

// TestLongestSlowedRunDelaysNoOther checks that a slowed run that can't be offered now neither keeps others on the
// worker, nor stays there itself once a target has been missed for long. The runs have made too much progress to be
// moved for their interference.
func TestLongestSlowedRunDelaysNoOther(t *testing.T) {
	const otherShard = offeredShard + 1
	tests := map[string]struct {
		change           func(h *offerHarness, other *runState)
		stopped, offered bool
	}{
		"the other has no owner": {func(*offerHarness, *runState) {}, false, true},
		"the owner is of an earlier build, an offer of the other is open": {func(h *offerHarness, other *runState) {
			h.agent.claims[otherShard] = &claim{epoch: 5, session: &session{takesOffers: true}}
			h.agent.sessions[h.agent.claims[otherShard].session] = true
			h.agent.offerTracker.Open(other.task, other.attempt, h.now)
			h.owner.takesOffers = false
		}, true, false},
		"passed over while a target is missed for long": {func(h *offerHarness, other *runState) {
			delete(h.state.runs, other.task)
			h.now = h.now.Add(time.Minute)
			h.observe()
			h.run.offerBackoff.Extend(h.now)
		}, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newOfferHarness(t, "offers")
			other := h.addFill("fedcba9876543210.0.0.0")
			other.shard, other.slowedSince = otherShard, h.now.Add(-time.Minute)
			for _, run := range []*runState{h.run, other} {
				run.demand.Saves, run.progressPercent = false, maxRestartPercent+1
			}
			test.change(h, other)
			h.decide()
			if h.isStopped() != test.stopped || len(h.owner.offers) > 0 != test.offered {
				t.Errorf("stopped %v, offers %v; want %v, %v", h.isStopped(), h.owner.offers, test.stopped, test.offered)
			}
		})
	}
}

// TestNeedlessOfferIsNotRepeated checks that a run that is not stopped though its offer was accepted is passed over
// afterwards, since each further offer would reserve a worker in vain.
func TestNeedlessOfferIsNotRepeated(t *testing.T) {
	tests := map[string]func(h *offerHarness){
		"the run is nearly done":     func(h *offerHarness) { h.run.progressPercent = 100 },
		"another run was just moved": func(h *offerHarness) { h.agent.pacer.lastEvictionAt = h.now },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			h := newOfferHarness(t, "offers")
			h.decide()
			change(h)
			h.agent.handleMoveAnswer(h.owner, h.accept(), h.now)
			h.run.progressPercent = 0
			h.owner.offers = nil
			h.now = h.now.Add(500 * time.Millisecond)
			h.decide()
			if h.isStopped() || len(h.owner.offers) > 0 {
				t.Errorf("stopped %v, offers %v; want neither", h.isStopped(), h.owner.offers)
			}
		})
	}
}

// TestOfferByMessages checks that an owner whose first message says that it takes offers is sent one in a message that
// is due at once, and that its next message stops the run.
func TestOfferByMessages(t *testing.T) {
	h := newOfferHarness(t, "offers")
	h.owner = &session{outbox: make(chan *wire.AgentMessage, outboxSize), closed: make(chan struct{})}
	claims := &wire.OwnerMessage{Owner: "edge-2", TakesOffers: true, Owned: true, Shards: []*wire.ShardEpoch{{Shard: offeredShard, Epoch: 6}}}
	h.agent.handleOwnerMessage(h.owner, claims, h.now)
	h.agent.nextMessage(h.owner, h.agent.workerStatus(h.now), h.now)
	h.decide()
	if h.isStopped() || !h.agent.isUpdateDue(h.owner, h.now) {
		t.Fatalf("stopped %v, want the run to go on and a message to be due", h.isStopped())
	}
	if offers := h.agent.nextMessage(h.owner, h.agent.workerStatus(h.now), h.now).GetOffers(); len(offers) != 1 {
		t.Fatalf("offers %v", offers)
	}
	answer := h.accept()
	answer.Epoch = 6
	h.agent.handleOwnerMessage(h.owner, &wire.OwnerMessage{Moves: []*wire.MoveAnswer{answer}}, h.now)
	if !h.isStopped() {
		t.Error("the accepted offer does not stop the run")
	}
}
