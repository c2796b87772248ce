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

// evacuated is a message that tells which failure domains are evacuated, as of so long ago.
func (made *bench) evacuated(version int64, ago time.Duration, domains ...string) *wire.Evacuations {
	return &wire.Evacuations{Version: version, FailureDomains: domains, AsOfNanos: int64(made.uptime() - ago)}
}

// TestEvacuatedDomain: a start is refused where its failure domain is evacuated, and where
// it might have been without anybody having told. Whatever owner tells it, the newest holds.
func TestEvacuatedDomain(t *testing.T) {
	tests := map[string]struct {
		other func(made *bench) *wire.Evacuations // told by another owner before
		with  func(made *bench) *wire.Evacuations // told with the order
		want  wire.StartOutcome
	}{
		"nothing is evacuated": {nil,
			func(made *bench) *wire.Evacuations { return made.evacuated(1, time.Second) }, wire.StartOutcome_START_STARTED},
		"another domain is": {nil,
			func(made *bench) *wire.Evacuations { return made.evacuated(1, 0, "bergamo") }, wire.StartOutcome_START_STARTED},
		"this domain is": {nil,
			func(made *bench) *wire.Evacuations { return made.evacuated(1, 0, "bergamo", domain) }, wire.StartOutcome_START_EVACUATED},
		"this domain was a while ago": {nil,
			func(made *bench) *wire.Evacuations { return made.evacuated(1, time.Minute, domain) }, wire.StartOutcome_START_EVACUATED},
		"the owner has not read for as long as an evacuation takes": {nil,
			func(made *bench) *wire.Evacuations { return made.evacuated(1, evacuateWithin) }, wire.StartOutcome_START_NOT_READY},
		"a start could take until the evacuation holds": {nil,
			func(made *bench) *wire.Evacuations {
				return made.evacuated(1, evacuateWithin-time.Second+time.Millisecond)
			}, wire.StartOutcome_START_NOT_READY},
		"another owner has read lately": {
			func(made *bench) *wire.Evacuations { return made.evacuated(1, 0) },
			func(made *bench) *wire.Evacuations { return made.evacuated(1, time.Minute) }, wire.StartOutcome_START_STARTED},
		"another owner knows more": {
			func(made *bench) *wire.Evacuations { return made.evacuated(2, time.Second, domain) },
			func(made *bench) *wire.Evacuations { return made.evacuated(1, time.Second) }, wire.StartOutcome_START_EVACUATED},
		"it has been given back": {
			func(made *bench) *wire.Evacuations { return made.evacuated(2, time.Second, domain) },
			func(made *bench) *wire.Evacuations { return made.evacuated(3, 0) }, wire.StartOutcome_START_STARTED},
		"it was given back and evacuated again": {
			func(made *bench) *wire.Evacuations { return made.evacuated(4, 0, domain) },
			func(made *bench) *wire.Evacuations { return made.evacuated(3, 0) }, wire.StartOutcome_START_EVACUATED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			owner := made.attachReady(1)
			made.pass(2 * time.Second)
			if test.other != nil {
				made.connect(&wire.OwnerMessage{Owner: "edge-2", Evacuations: test.other(made)})
			}
			owner.tell(&wire.OwnerMessage{GrantUntilNanos: int64(time.Hour), Evacuations: test.with(made), Starts: []*wire.StartOrder{start(1)}})
			made.until(func() bool { return owner.outcome() != wire.StartOutcome_START_UNSPECIFIED })
			if got := owner.outcome(); got != test.want {
				t.Errorf("got %v", got)
			}
			if runs := made.runs(); runs != (test.want == wire.StartOutcome_START_STARTED) {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}

// TestEvacuatedWhileStarting: a start that the worker refused for its token is not sent
// again once the failure domain is evacuated.
func TestEvacuatedWhileStarting(t *testing.T) {
	made := newBench(t)
	owner := made.attachReady(1)
	var sent atomic.Int32
	answer := make(chan struct{})
	made.worker.Fail(func(path string) wireworker.Fault {
		if path == "/v1/run-start" {
			sent.Add(1)
			<-answer
		}
		return wireworker.FaultNone
	})
	made.worker.RaiseToken(time.Hour)
	owner.tell(&wire.OwnerMessage{Starts: []*wire.StartOrder{start(1)}})
	for sent.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	owner.tell(&wire.OwnerMessage{Evacuations: made.evacuated(1, 0, domain)})
	made.until(func() bool {
		return owner.last(func(message *wire.AgentMessage) bool { return message.GetHandled() >= owner.sequence }) != nil
	})
	close(answer)
	made.until(func() bool { return owner.outcome() != wire.StartOutcome_START_UNSPECIFIED })
	if got := owner.outcome(); got != wire.StartOutcome_START_EVACUATED || sent.Load() != 1 {
		t.Errorf("got %v after %d calls", got, sent.Load())
	}
}

// TestOwnerOfAnEarlierBuild: an owner that tells nothing of evacuations has its orders
// carried out by what the agent reads itself.
func TestOwnerOfAnEarlierBuild(t *testing.T) {
	tests := map[string]struct {
		written string
		want    wire.StartOutcome
	}{
		"nothing is evacuated": {"", wire.StartOutcome_START_STARTED},
		"this domain is":       {domain, wire.StartOutcome_START_EVACUATED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t)
			store := wirestore.New(shards, made.clock.Now)
			if test.written != "" {
				store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(test.written), []byte("{}"))
			}
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			go made.beside.FollowOperator(made.ctx, platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.Transport()))
			owner := made.attachReady(1)
			owner.uptime = nil
			if got := made.starts(owner, start(1)); got != wire.StartOutcome_START_NOT_READY {
				t.Fatalf("an order by what nobody knows was answered %v", got)
			}
			made.until(func() bool { return store.Calls("/v1/log-newest") > 0 })
			made.pass(200 * time.Millisecond)
			owner.forget()
			if got := made.starts(owner, start(1)); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestNoRoomIsMadeWhereEvacuated: an owner that does not know of the evacuation yet has no
// run stopped for a task that could not take its place.
func TestNoRoomIsMadeWhereEvacuated(t *testing.T) {
	made := newBench(t)
	owner := made.attachRunning(&wire.Demand{MilliCpu: 1000, MemoryMb: 6000, Priority: 2, Movable: true, Saves: true})
	made.connect(&wire.OwnerMessage{Owner: "edge-2", Evacuations: made.evacuated(1, 0, domain)})
	owner.tell(&wire.OwnerMessage{Preempts: []*wire.PreemptOrder{{Shard: shard, Epoch: 1, Worker: worker, Demand: &wire.Demand{MemoryMb: 4000}}}})
	made.pass(time.Second)
	if !made.runs() {
		t.Error("a run was stopped")
	}
}
