package agent_test

import (
	"net/http"
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

// newEvacuations returns a message with the evacuated failure domains, which were read the given time ago.
func (h *harness) newEvacuations(version int64, age time.Duration, domains ...string) *wire.Evacuations {
	return &wire.Evacuations{Version: version, FailureDomains: domains, AsOfNanos: int64(h.uptime() - age)}
}

// TestEvacuatedDomain checks that a start is refused if the worker's failure domain is evacuated, or if the
// known evacuations are too old to exclude it. The newest evacuations count, whichever owner sends them.
func TestEvacuatedDomain(t *testing.T) {
	tests := map[string]struct {
		other func(h *harness) *wire.Evacuations // sent by another owner before
		with  func(h *harness) *wire.Evacuations // sent with the order
		want  wire.StartOutcome
	}{
		"no evacuation": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Second) }, wire.StartOutcome_START_STARTED},
		"another domain evacuated": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, 0, "bergamo") }, wire.StartOutcome_START_STARTED},
		"this domain evacuated": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, 0, "bergamo", testDomain) }, wire.StartOutcome_START_EVACUATED},
		"this domain evacuated as of a minute ago": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Minute, testDomain) }, wire.StartOutcome_START_EVACUATED},
		"read as long ago as the deadline": {nil,
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, evacuationDeadline) }, wire.StartOutcome_START_NOT_READY},
		"start could take effect after the deadline": {nil,
			func(h *harness) *wire.Evacuations {
				return h.newEvacuations(1, evacuationDeadline-time.Second+time.Millisecond)
			}, wire.StartOutcome_START_NOT_READY},
		"other owner read more recently": {
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, 0) },
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Minute) }, wire.StartOutcome_START_STARTED},
		"other owner knows a later version": {
			func(h *harness) *wire.Evacuations { return h.newEvacuations(2, time.Second, testDomain) },
			func(h *harness) *wire.Evacuations { return h.newEvacuations(1, time.Second) }, wire.StartOutcome_START_EVACUATED},
		"evacuation ended": {
			func(h *harness) *wire.Evacuations { return h.newEvacuations(2, time.Second, testDomain) },
			func(h *harness) *wire.Evacuations { return h.newEvacuations(3, 0) }, wire.StartOutcome_START_STARTED},
		"evacuated again": {
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
				t.Errorf("start outcome %v, want %v", got, test.want)
			}
			if running := h.isRunning(); running != (test.want == wire.StartOutcome_START_STARTED) {
				t.Errorf("running: %v, want the start outcome %v", running, test.want)
			}
		})
	}
}

// TestStartIsNotRetriedOnceEvacuated checks that a start that the worker refused for its fencing token is not
// sent again once the failure domain is evacuated.
func TestStartIsNotRetriedOnceEvacuated(t *testing.T) {
	h := newHarness(t)
	owner := h.attachReadyOwner(1)
	var sent atomic.Int32
	answer := make(chan struct{})
	h.worker.InjectFaults(func(path string) wireworker.Fault {
		if path == "/v1/run-start" {
			sent.Add(1)
			<-answer
		}
		return wireworker.FaultNone
	})
	h.worker.RaiseFencingToken(time.Hour)
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
		t.Errorf("start outcome %v after %d calls, want START_EVACUATED after 1", got, sent.Load())
	}
}

// TestOwnerWithoutEvacuations checks that orders of an owner that sends no evacuations, like those of earlier
// builds, are decided by the evacuations that the agent reads from the store itself.
func TestOwnerWithoutEvacuations(t *testing.T) {
	tests := map[string]struct {
		evacuated string // failure domain, empty for none
		want      wire.StartOutcome
	}{
		"no evacuation":         {"", wire.StartOutcome_START_STARTED},
		"this domain evacuated": {testDomain, wire.StartOutcome_START_EVACUATED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			store := wirestore.New(shardCount, h.clock.Now)
			if test.evacuated != "" {
				store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(test.evacuated), []byte("{}"))
			}
			reads, answer := make(chan struct{}, 8), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				reads <- struct{}{}
				<-answer
				store.ServeHTTP(w, request)
			}))
			t.Cleanup(server.Close)
			t.Cleanup(func() { close(answer) })
			go h.agent.FollowOperator(h.ctx, platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport()))
			owner := h.attachReadyOwner(1)
			owner.uptime = nil
			if got := h.orderStart(owner, newStartOrder(1)); got != wire.StartOutcome_START_NOT_READY {
				t.Fatalf("start outcome %v before the agent has read evacuations, want START_NOT_READY", got)
			}
			<-reads
			owner.clearReceived()
			if got := h.orderStart(owner, newStartOrder(1)); got != wire.StartOutcome_START_NOT_READY {
				t.Fatalf("start outcome %v while the store has not answered, want START_NOT_READY", got)
			}
			answer <- struct{}{}
			// The second order has requested another read, which begins after the evacuations of the first
			// one are queued for the event loop.
			<-reads
			owner.clearReceived()
			if got := h.orderStart(owner, newStartOrder(1)); got != test.want {
				t.Errorf("start outcome %v, want %v", got, test.want)
			}
		})
	}
}

// TestNoPreemptionInEvacuatedDomain checks that an owner that does not know of the evacuation yet cannot
// preempt a run there: no task could be started in its place.
func TestNoPreemptionInEvacuatedDomain(t *testing.T) {
	h := newHarness(t)
	owner := h.attachOwnerWithRun(&wire.Demand{MilliCpu: 1000, MemoryMb: 6000, Priority: 2, Movable: true, Saves: true})
	h.connectOwner(&wire.OwnerMessage{Owner: "edge-2", Evacuations: h.newEvacuations(1, 0, testDomain)})
	owner.send(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{Shard: testShard, Epoch: 1, Worker: workerID, Demand: &wire.Demand{MemoryMb: 4000}}}})
	h.advance(time.Second)
	if !h.isRunning() {
		t.Error("the run was preempted")
	}
}
