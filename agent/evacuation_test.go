package agent_test

import (
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/standin/wireworker"
	"ambertiller.example/ambertiller/wire"
)

// newEvacuations is a message that tells which failure domains are evacuated, as of so long ago.
func (h *harness) newEvacuations(version int64, ago time.Duration, domains ...string) *wire.Evacuations {
	return &wire.Evacuations{Version: version, FailureDomains: domains, AsOfNanos: int64(h.uptime() - ago)}
}

// TestEvacuatedDomain: a start is refused where its failure domain is evacuated, and where
// it might have been without anybody having told. Whatever owner tells it, the newest holds.
func TestEvacuatedDomain(t *testing.T) {
	tests := map[string]struct {
		other func(h *harness) *wire.Evacuations // told by another owner before
		with  func(h *harness) *wire.Evacuations // told with the order
		want  wire.StartOutcome
	}{
		"nothing is evacuated": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Second) }, wire.StartOutcome_START_STARTED},
		"another domain is": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, 0, "bergamo") }, wire.StartOutcome_START_STARTED},
		"this domain is": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, 0, "bergamo", testDomain) }, wire.StartOutcome_START_EVACUATED},
		"this domain was a while ago": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Minute, testDomain) }, wire.StartOutcome_START_EVACUATED},
		"the owner has not read for as long as an evacuation takes": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, evacuationDeadline) }, wire.StartOutcome_START_NOT_READY},
		"a start could take until the evacuation holds": {nil,
			func(h *harness) *wire.Evacuations {
				return h.newEvacuations(1, evacuationDeadline-time.Second+time.Millisecond)
			}, wire.StartOutcome_START_NOT_READY},
		"another owner has read lately": {
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, 0) },
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Minute) }, wire.StartOutcome_START_STARTED},
		"another owner knows more": {
			func(h *harness) *wire.Evacuations { return h.newEvacuations(2, time.Second, testDomain) },
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Second) }, wire.StartOutcome_START_EVACUATED},
		"it has been given back": {
			func(h *harness) *wire.Evacuations { return h.newEvacuations(2, time.Second, testDomain) },
			func(h *harness) *wire.Evacuations { return h.newEvacuations(3, 0) }, wire.StartOutcome_START_STARTED},
		"it was given back and evacuated again": {
			func(h *harness) *wire.Evacuations { return h.newEvacuations(4, 0, testDomain) },
			func(h *harness) *wire.Evacuations { return h.newEvacuations(3, 0) }, wire.StartOutcome_START_EVACUATED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			owner := h.attachReadyOwner(1)
			h.advance(2 * time.Second)
			if test.other != nil {
				h.connectOwner(&wire.OwnerMessage{Owner: "edge-2", Evacuations: test.other(h)})
			}
			owner.send(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour), Evacuations: test.with(h), Starts: []*wire.StartOrder{newStartOrder(1)}})
			h.waitFor(func() bool { return owner.startOutcome() != wire.StartOutcome_START_UNSPECIFIED })
			if got := owner.startOutcome(); got != test.want {
				t.Errorf("got %v", got)
			}
			if runs := h.isRunning(); runs != (test.want == wire.StartOutcome_START_STARTED) {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}

// TestStartIsNotRetriedOnceEvacuated: a start that the worker refused for its token is not sent
// again once the failure domain is evacuated.
func TestStartIsNotRetriedOnceEvacuated(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	var sent atomic.Int32
	answer := make(chan struct{})
	h.worker.Fail(func(path string) wireworker.Fault {
		if path == "/v1/run-start" {
			sent.Add(1)
			<-answer
		}
		return wireworker.FaultNone
	})
	h.worker.RaiseToken(time.Hour)
	owner.send(&wire.OwnerMessage{Starts: []*wire.StartOrder{newStartOrder(1)}})
	for sent.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	owner.send(&wire.OwnerMessage{Evacuations: h.newEvacuations(1, 0, testDomain)})
	h.waitFor(func() bool {
		return owner.lastMatching(func(message *wire.AgentMessage) bool { return message.GetHandled() >= owner.sequence }) != nil
	})
	close(answer)
	h.waitFor(func() bool { return owner.startOutcome() != wire.StartOutcome_START_UNSPECIFIED })
	if got := owner.startOutcome(); got != wire.StartOutcome_START_EVACUATED || sent.Load() != 1 {
		t.Errorf("got %v after %d calls", got, sent.Load())
	}
}

// TestOwnerWithoutEvacuations: an owner that tells nothing of evacuations has its orders
// carried out by what the agent reads itself.
func TestOwnerWithoutEvacuations(t *testing.T) {
	tests := map[string]struct {
		written string
		want    wire.StartOutcome
	}{
		"nothing is evacuated": {"", wire.StartOutcome_START_STARTED},
		"this domain is":       {testDomain, wire.StartOutcome_START_EVACUATED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			store := wirestore.New(shardCount, h.clock.Now)
			if test.written != "" {
				store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(test.written), []byte("{}"))
			}
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			go h.agent.FollowOperator(h.ctx, platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.Transport()))
			owner := h.attachReadyOwner(1)
			owner.uptime = nil
			if got := h.orderStart(owner, newStartOrder(1)); got != wire.StartOutcome_START_NOT_READY {
				t.Fatalf("an order by what nobody knows was answered %v", got)
			}
			h.waitFor(func() bool { return store.Calls("/v1/log-newest") > 0 })
			h.advance(200 * time.Millisecond)
			owner.clearReceived()
			if got := h.orderStart(owner, newStartOrder(1)); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestNoPreemptionInEvacuatedDomain: an owner that does not know of the evacuation yet has no
// run stopped for a task that could not take its place.
func TestNoPreemptionInEvacuatedDomain(t *testing.T) {
	h := newHarness(t)
	owner := h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000, MemoryMb: 6000, Priority: 2, Movable: true, Saves: true})
	h.connectOwner(&wire.OwnerMessage{Owner: "edge-2", Evacuations: h.newEvacuations(1, 0, testDomain)})
	owner.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{Shard: testShard, Epoch: 1, Worker: workerID, Demand: &wire.Demand{MemoryMb: 4000}}}})
	h.advance(time.Second)
	if !h.isRunning() {
		t.Error("a run was stopped")
	}
}
